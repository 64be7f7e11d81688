package catalog

import (
	"time"

	"crocusyoke/internal/platform"
)

const (
	// followWait is how long the store may hold a call without changes. For the table of configuration
	// it is reliedFollowWait if other nodes rely on this one, which then tells them that the store has
	// answered.
	followWait       = 28 * time.Second
	reliedFollowWait = 4 * time.Second
	// followSlack and reliedFollowSlack are added for the timeout of the whole call.
	followSlack       = 3 * time.Second
	reliedFollowSlack = 1500 * time.Millisecond
	// notHeld is the wait of a call that is to be answered at once.
	notHeld = time.Millisecond
)

// hold says how long the store may hold a call that follows a table. Only calls on behalf of other nodes
// differ from holdFully.
type hold uint8

const (
	// holdNot is for the first call and for the one after a failed call, so that it is soon known whether
	// the store answers.
	holdNot hold = iota
	// holdPartly is for the call after one that was not held until its end. Its wait depends on the
	// reader, so that the calls of the readers, which a change ends together, then end one after the other.
	holdPartly
	holdFully
)

// holdTimes returns how long the store may hold the next call about t, and what to add for its timeout.
func (r *Runner) holdTimes(name string, t *table) (wait, slack time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !r.role.PeersRely():
		return followWait, followSlack
	case t.hold == holdNot:
		return notHeld, reliedFollowSlack
	case name != platform.TableConfiguration:
		return followWait, followSlack
	case t.hold == holdPartly:
		return r.role.Phase(reliedFollowWait), reliedFollowSlack
	default:
		return reliedFollowWait, reliedFollowSlack
	}
}

func (r *Runner) setHold(t *table, h hold) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.hold = h
}

// noteAnswered records that a call about t, which could be held for wait, was answered with changeCount
// changes.
func (r *Runner) noteAnswered(t *table, wait time.Duration, changeCount int) {
	if changeCount > 0 || wait == notHeld {
		r.setHold(t, holdPartly)
		return
	}
	r.setHold(t, holdFully)
}
