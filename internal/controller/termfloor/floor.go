// Package termfloor remembers the highest term of a group's former members. A target that is no
// longer a member can't report its term, but a primary of a lower term has been replaced all the
// same.
//
// Invariant: within Retention after its last poll, the own term of a former member is a lower bound of
// the group's highest term. The package reads no clock.
package termfloor

import "time"

// Retention is how long after its last answered poll the term of a former member counts. A group
// that was set up anew begins with a low term, and is accepted after this time.
const Retention = time.Minute

// Floor is the lower bound of one group's highest term. The zero value is 0.
type Floor struct {
	term  uint64
	until time.Time
}

// Leave records that a target stopped being a member, whose newest poll, sent at polledAt, had
// reported that it was itself in ownTerm.
func (f *Floor) Leave(ownTerm uint64, polledAt time.Time) {
	until := polledAt.Add(Retention)
	if ownTerm == f.term && until.After(f.until) {
		f.until = until
	}
	if ownTerm > f.term {
		f.term, f.until = ownTerm, until
	}
}

// Expire drops the bound if its time has passed at now.
func (f *Floor) Expire(now time.Time) {
	if now.After(f.until) {
		*f = Floor{}
	}
}

// Term returns the bound as of the last call of Leave or Expire.
func (f *Floor) Term() uint64 { return f.term }
