package catalog

import (
	"time"

	"crocusyoke/internal/platform"
)

// heardVersion is a version of the configuration that a peer has told of.
type heardVersion struct {
	version uint64
	at      time.Time
}

// knownVersion returns the operator's version of the newest known configuration.
func (r *Runner) knownVersion() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.document.version()
}

// confirmedAgeMillis returns how long ago the store last confirmed the tables, in milliseconds.
func (r *Runner) confirmedAgeMillis() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.role.ConfirmedAge(r.o.Clock.Now()).Milliseconds()
}

// noteHeard records and logs that the peer at address knows a configuration that is newer than the known
// one and than all that peers have told of before. The caller holds r.mu.
func (r *Runner) noteHeard(address string, k Knowledge) {
	if k.ConfigurationVersion <= max(r.document.version(), r.heard.version) {
		return
	}
	r.heard = heardVersion{version: k.ConfigurationVersion, at: r.o.Clock.Now()}
	_ = r.o.Logger.Log("event", "configuration heard", "version", k.ConfigurationVersion, "known", r.document.version(), "peer", address,
		"confirmed_ago", time.Duration(k.ConfirmedAgeMillis)*time.Millisecond)
}

// logTaken logs that the configuration of the given version, which came from source, replaces the known
// one: how long ago a peer first told of it, if one did, and how old the store's last confirmation is. The
// caller holds r.mu.
func (r *Runner) logTaken(version uint64, revision platform.Revision, source string) {
	now := r.o.Clock.Now()
	var heardAgo time.Duration
	if r.heard.version >= version {
		heardAgo = now.Sub(r.heard.at)
	}
	_ = r.o.Logger.Log("event", "configuration", "version", version, "row_version", revision.Version, "era", revision.Era,
		"source", source, "heard_ago", heardAgo, "confirmed_ago", r.role.ConfirmedAge(now))
}
