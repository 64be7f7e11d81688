package roster

import (
	"maps"
	"slices"
	"time"

	"crocusyoke/internal/catalog"
)

const (
	// ListedRetention is how long a target without an entry, or with an entry older than the known
	// one after a restore of the store, is still treated as listed. An entry that was removed while
	// its writer could not reach the store is written again within this time.
	ListedRetention = 3 * time.Second
	// UnlistedRetention is how long a target without an entry stays a member although this node has
	// no answer of it: the node may not poll it, or may be cut off from it.
	UnlistedRetention = time.Minute
	// silenceLimit is how long the polls of a target must have failed before it counts as silent.
	// minFailures is how many polls in a row must have failed.
	silenceLimit = time.Second
	minFailures  = 2
	// answerRetention is the maximum age of an answer that shows that a target still runs.
	answerRetention = 3 * time.Second
)

// Entry is an entry of the platform's list that names a target to use.
type Entry struct {
	Target catalog.Target
	// Version is the version of the entry's row.
	Version uint64
}

// State is how a target is a member.
type State uint8

// The states of a target.
const (
	// Listed means that the target gets requests.
	Listed State = iota
	// Unlisted means that the target counts towards majorities but gets no requests.
	Unlisted
	// Gone means that the target is no longer a member.
	Gone
)

// String returns the name of the state.
func (s State) String() string { return [...]string{"listed", "unlisted", "gone"}[s] }

// Change is a change of one target's state.
type Change struct {
	Target string
	State  State
}

// member is a target and what is known of it.
type member struct {
	target catalog.Target
	state  State
	// missingSince is when the target's entry was found missing, unusable or older than the known
	// one; zero while there is an entry.
	missingSince time.Time
	// older is the entry in whose place target is kept after a restore of the store; nil if none.
	older *Entry
	polls polls
}

// polls is what this node's polls of a target have shown.
type polls struct {
	answeredAt   time.Time
	failingSince time.Time
	failures     int
}

// Options configures a Roster.
type Options struct {
	// IsGroup reports whether the configuration contains the group called name. IsSynchronous
	// reports whether that group has synchronous replication.
	IsGroup       func(name string) bool
	IsSynchronous func(name string) bool
}

// Roster holds the members of all groups. It is not safe for concurrent use.
type Roster struct {
	options Options
	members map[string]*member
	changes []Change
}

// New returns a Roster without members.
func New(options Options) *Roster {
	return &Roster{options: options, members: make(map[string]*member)}
}

// Apply replaces the usable entries of the platform's list, by target. restored is true for the first
// list after a restore of the store: an entry that is older than the known one is then what the copy
// had, and is used only if its writer does not replace it within ListedRetention.
func (r *Roster) Apply(now time.Time, entries map[string]Entry, restored bool) {
	if restored {
		r.prolong(now)
	}
	for name, entry := range entries {
		r.applyEntry(now, name, entry, restored)
	}
	for name, m := range r.members {
		if _, ok := entries[name]; ok {
			continue
		}
		m.older = nil
		if m.missingSince.IsZero() {
			m.missingSince = now
		}
	}
}

func (r *Roster) applyEntry(now time.Time, name string, entry Entry, restored bool) {
	m := r.members[name]
	switch {
	case m == nil:
		r.members[name] = &member{target: entry.Target}
		return
	case r.isForeign(m, entry):
		m.older = nil
		if m.missingSince.IsZero() {
			m.missingSince = now
		}
		return
	case restored && entry.Target.Precedes(m.target):
		m.older, m.missingSince = &entry, now
		return
	case m.older != nil && m.older.Version == entry.Version:
		return
	}
	m.target, m.missingSince, m.older = entry.Target, time.Time{}, nil
	r.setState(m, Listed)
}

// isForeign reports whether an entry would move a known target from its group to one that the
// configuration does not contain. Such an entry is not the target's own.
func (r *Roster) isForeign(m *member, entry Entry) bool {
	return entry.Target.Group != m.target.Group && !r.options.IsGroup(entry.Target.Group) && r.options.IsGroup(m.target.Group)
}

// prolong restarts the retention of the targets without an entry that still count as listed: their
// writers could not reach the store, or a restore may have lost their entries.
func (r *Roster) prolong(now time.Time) {
	for _, m := range r.members {
		if !m.missingSince.IsZero() && m.state == Listed {
			m.missingSince = now
		}
	}
}

// ObservePoll records the result of a poll of the target called name that was sent at sentAt.
func (r *Roster) ObservePoll(name string, sentAt time.Time, answered bool) {
	m := r.members[name]
	if m == nil {
		return
	}
	switch {
	case answered:
		m.polls = polls{answeredAt: sentAt}
	case m.polls.failures == 0:
		m.polls.failingSince, m.polls.failures = sentAt, 1
	default:
		m.polls.failures++
	}
}

// Advance carries out what is due at now and reports whether any target changed. storeAway is true
// while the store does not answer, so that no entry can be written again; nothing is due then.
func (r *Roster) Advance(now time.Time, storeAway bool) bool {
	if storeAway {
		r.prolong(now)
		return false
	}
	changed := false
	for _, m := range r.members {
		if m.missingSince.IsZero() || now.Sub(m.missingSince) < ListedRetention {
			continue
		}
		switch {
		case m.older != nil:
			m.target, m.missingSince, m.older = m.older.Target, time.Time{}, nil
		case r.isGone(now, m):
			r.setState(m, Gone)
		case m.state == Listed:
			r.setState(m, Unlisted)
		default:
			continue
		}
		changed = true
	}
	return changed
}

// isGone reports whether a target that has been without an entry for ListedRetention is known to be
// gone.
func (r *Roster) isGone(now time.Time, m *member) bool {
	if m.target.Leaving {
		return true
	}
	if now.Sub(m.polls.answeredAt) < answerRetention {
		return false
	}
	if now.Sub(m.missingSince) >= UnlistedRetention {
		return true
	}
	silent := m.polls.failures >= minFailures && now.Sub(m.polls.failingSince) >= silenceLimit
	return silent && !r.options.IsSynchronous(m.target.Group)
}

func (r *Roster) setState(m *member, state State) {
	if m.state == state {
		return
	}
	m.state = state
	if state == Gone {
		delete(r.members, m.target.Name)
	}
	r.changes = append(r.changes, Change{Target: m.target.Name, State: state})
}

// IsAdvanceDue reports whether Advance has to be called again although nothing else happens.
func (r *Roster) IsAdvanceDue() bool {
	for _, m := range r.members {
		if !m.missingSince.IsZero() {
			return true
		}
	}
	return false
}

// Targets returns the members in the order of their names. Unlisted is set for those that are unlisted.
func (r *Roster) Targets() []catalog.Target {
	out := make([]catalog.Target, 0, len(r.members))
	for _, name := range slices.Sorted(maps.Keys(r.members)) {
		t := r.members[name].target
		t.Unlisted = r.members[name].state == Unlisted
		out = append(out, t)
	}
	return out
}

// TakeChanges returns the changes of states since its last call.
func (r *Roster) TakeChanges() []Change {
	changes := r.changes
	r.changes = nil
	return changes
}
