package catalog

import (
	"time"

	"crocusyoke/internal/catalog"
	"crocusyoke/internal/contain"
	"crocusyoke/internal/controller/roster"
	"crocusyoke/internal/platform"
)

// rosterInterval is the delay between two checks whether a target without an entry has become unlisted
// or is gone.
const rosterInterval = 250 * time.Millisecond

// decodedTarget is the result of decoding a target's row of one revision.
type decodedTarget struct {
	revision platform.Revision
	target   catalog.Target
	usable   bool
}

// isGroup reports whether the configuration contains the group called name. The caller holds r.mu.
func (r *Runner) isGroup(name string) bool { return r.group(name) != nil }

// isSynchronous reports whether the group called name has synchronous replication. The caller holds
// r.mu.
func (r *Runner) isSynchronous(name string) bool {
	g := r.group(name)
	return g != nil && g.SyncReplicas > 0
}

// group returns the group called name in the newest configuration, or nil. The caller holds r.mu.
func (r *Runner) group(name string) *catalog.Group {
	if r.document.decoded == nil {
		return nil
	}
	for i := range r.document.decoded.Groups {
		if g := &r.document.decoded.Groups[i]; g.Name == name {
			return g
		}
	}
	return nil
}

// updateRoster passes the entries of the table of targets to the roster. restored is true if the store
// was restored since the last update. The caller holds r.mu.
func (r *Runner) updateRoster(restored bool) {
	r.roster.Apply(r.o.Clock.Now(), r.targetEntries(), restored)
	r.logRosterChanges()
	if r.roster.IsAdvanceDue() && !r.advancing {
		r.advancing = true
		r.wait.Go(r.advanceRoster)
	}
}

// targetEntries returns the usable entries of the table of targets. Rows that have not changed are not
// decoded again. The caller holds r.mu.
func (r *Runner) targetEntries() map[string]roster.Entry {
	next := make(map[string]decodedTarget, len(r.targets.rows))
	entries := make(map[string]roster.Entry, len(r.targets.rows))
	for key, row := range r.targets.rows {
		revision := platform.Revision{Era: r.targets.followed.Era, Version: row.Version}
		decoded, known := r.decodedTargets[key]
		if !known || decoded.revision != revision {
			decoded = r.decodeTarget(key, row, revision)
			r.lives.observe(r.o.Clock.Now(), key, decoded)
		}
		next[key] = decoded
		if decoded.usable {
			entries[key] = roster.Entry{Target: decoded.target, Version: row.Version}
		}
	}
	r.decodedTargets = next
	r.lives.retain(next)
	return entries
}

// decodeTarget decodes a target's row. A row that can't be decoded names no target to use.
func (r *Runner) decodeTarget(key string, row platform.Row, revision platform.Revision) decodedTarget {
	var usable bool
	t, err := contain.Call("decode target", func() (decoded catalog.Target, _ error) {
		decoded, usable = r.o.Decoder.Target(key, row.Value)
		return decoded, nil
	})
	if err != nil || !usable {
		_ = r.o.Logger.Log("event", "target unreadable", "target", key, "row_version", row.Version, "err", err)
	}
	return decodedTarget{revision: revision, target: t, usable: usable && err == nil}
}

// advanceRoster lets the roster advance until nothing is due.
func (r *Runner) advanceRoster() {
	for r.o.Clock.Sleep(r.running, rosterInterval) == nil {
		r.mu.Lock()
		now := r.o.Clock.Now()
		if r.roster.Advance(now, r.isStoreAway()) {
			r.logRosterChanges()
			r.publish()
		}
		r.advancing = r.roster.IsAdvanceDue()
		done := !r.advancing
		r.mu.Unlock()
		if done {
			return
		}
	}
}

// logRosterChanges logs the targets that have become unlisted or are gone, and those that are listed
// again. The caller holds r.mu.
func (r *Runner) logRosterChanges() {
	for _, c := range r.roster.TakeChanges() {
		r.Counters.Add("targets_"+c.State.String(), 1)
		_ = r.o.Logger.Log("event", "target", "target", c.Target, "state", c.State)
	}
}

// isStoreAway reports whether the calls about targets fail and neither this node nor a peer has had an
// answer of the store since. The caller holds r.mu.
func (r *Runner) isStoreAway() bool {
	lostAt := r.targets.lostAt
	return !lostAt.IsZero() && r.answeredAt.Before(lostAt)
}

// ObservePoll records whether a target answered this node's poll that was sent at sentAt. A target
// without an entry stays a member of its group while it answers.
func (r *Runner) ObservePoll(targetName string, sentAt time.Time, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roster.ObservePoll(targetName, sentAt, answered)
}
