// Package comeback decides when callers that were refused for lack of room are told to come back.
//
// Invariant: a caller is told to come back no earlier than the given time from now, and no later than
// MaxSpread after that. Within MaxSpread, callers of one priority come back one pace apart, and after
// all callers of more urgent priorities that were refused before. Once no room is left there, they share it with
// callers before them, but still come back after the more urgent ones as long as these need no more than half of it.
//
// The package starts no goroutines, takes no locks, reads no clock and uses no randomness.
package comeback

import (
	"slices"
	"time"
)

// MaxSpread is the time over which the callers of one priority are spread at most.
const MaxSpread = 2 * time.Second

// MinWait is the shortest time after which a caller is told to come back.
const MinWait = 10 * time.Millisecond

// maxPriorities bounds the number of priorities that are told apart.
const maxPriorities = 64

// Plan is when the next caller of each priority may come back. The zero value is an empty Plan. It
// must not be used by several goroutines at once.
type Plan struct {
	next []entry
}

type entry struct {
	priority int
	at       time.Time
}

// Next returns how long a caller of priority should wait that is refused at now. earliest is how long there
// is no room for it, and pace the time between two callers that there is room for.
func (p *Plan) Next(now time.Time, priority int, earliest, pace time.Duration) time.Duration {
	p.forget(now)
	first := now.Add(max(MinWait, earliest))
	last := first.Add(MaxSpread)
	at, urgent := first, first
	for i := range p.next {
		e := &p.next[i]
		if e.priority <= priority && e.at.After(at) {
			at = e.at
		}
		if e.priority < priority && e.at.After(urgent) {
			urgent = e.at
		}
	}
	if at.After(last) {
		// No room is left: the spread starts again behind the more urgent callers, but has half of its length.
		at = urgent
		if middle := first.Add(MaxSpread / 2); at.After(middle) {
			at = middle
		}
	}
	p.set(priority, at.Add(pace))
	return at.Sub(now)
}

// forget drops the entries that have passed.
func (p *Plan) forget(now time.Time) {
	p.next = slices.DeleteFunc(p.next, func(e entry) bool { return !e.at.After(now) })
}

func (p *Plan) set(priority int, at time.Time) {
	for i := range p.next {
		if p.next[i].priority == priority {
			p.next[i].at = at
			return
		}
	}
	if len(p.next) < maxPriorities {
		p.next = append(p.next, entry{priority, at})
	}
}
