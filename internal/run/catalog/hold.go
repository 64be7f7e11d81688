package catalog

import (
	"time"

	"crocusyoke/internal/platform"
)

const (
	// followWait is how long the store may hold a call without changes about targets or nodes.
	followWait = 28 * time.Second
	// ownFollowWait is the same for the configuration in a fleet all of whose nodes follow it. One of them
	// notices early that calls are no longer answered, and the others hear of changes from it.
	ownFollowWait = 12 * time.Second
	// reliedFollowWait is the same for a node that other nodes rely on: it tells them that the store has
	// answered.
	reliedFollowWait = 4 * time.Second
	// followSlack is added for the timeout of the whole call, configurationSlack for one about the
	// configuration.
	followSlack        = 3 * time.Second
	configurationSlack = 1500 * time.Millisecond
	// notHeld is the wait of a call that is to be answered at once.
	notHeld = time.Millisecond
)

// hold says how long the store may hold a call that follows a table.
type hold uint8

const (
	// holdNot is for the first call, unless the table was just read, and for the one after a failed call, so
	// that it is soon known whether the store answers. Only calls on which other nodes rely are worth that.
	holdNot hold = iota
	// holdPartly is for the call after one that was not held until its end. Its wait depends on the
	// node's place among the readers, so that their calls, which a change ends together, then end one
	// after the other.
	holdPartly
	holdFully
)

// holdTimes returns how long the store may hold the next call about t, and what to add for its timeout.
func (r *Runner) holdTimes(name string, t *table) (wait, slack time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	wait, slack = followWait, followSlack
	if name == platform.TableConfiguration {
		wait, slack = ownFollowWait, configurationSlack
		if r.role.PeersRely() {
			wait = reliedFollowWait
		}
	}
	switch {
	case t.hold == holdFully:
		return wait, slack
	case t.hold == holdNot && r.role.PeersRely():
		return notHeld, slack
	default:
		return r.role.Phase(wait), slack
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
