// Package gap decides what becomes of requests that need a primary while a group has none.
//
// Load pattern: a primary is lost while requests go on to arrive. Those whose time ends
// before a new primary can be expected are refused at once, and told when to come back; the
// others wait for it. When the gap lasts longer than expected nobody knows its end, and all
// are refused at once.
//
// The package holds no goroutine, lock or clock.
package gap

import "time"

const (
	// firstLength is the length expected of a group's first gap.
	firstLength = 2 * time.Second
	// startLength is how long a group's first look for its primary may take.
	startLength = 500 * time.Millisecond
	// minLength and maxLength bound what is expected after earlier gaps.
	minLength = 500 * time.Millisecond
	maxLength = 5 * time.Second
	// blink is the longest gap that is not learned from: evidence was late.
	blink = 200 * time.Millisecond
	// overrun is how long after its expected end a gap may still be waited for.
	overrun = 400 * time.Millisecond
	// retryUnknown is when to come back if the end is not known.
	retryUnknown = 500 * time.Millisecond
	// minRetry is the least time to come back after.
	minRetry = 50 * time.Millisecond
)

// Gap follows whether a group has a primary.
type Gap struct {
	// began is when the group was last known to have a primary, or when Gap was made.
	began time.Time
	open  bool
	// expected is the length expected of the present gap.
	expected time.Duration
}

// New returns a Gap of a group that is looked at for the first time at now.
func New(now time.Time) *Gap {
	return &Gap{began: now, open: true, expected: startLength}
}

// Note takes in whether the group has a primary at now.
func (g *Gap) Note(now time.Time, has bool) {
	if !has {
		g.open = true
		return
	}
	if length := now.Sub(g.began); g.open {
		g.learn(length)
	}
	g.open = false
	g.began = now
}

// learn sets what is expected of the next gap.
func (g *Gap) learn(length time.Duration) {
	switch {
	case g.expected == startLength:
		g.expected = firstLength
	case length > blink:
		g.expected = min(maxLength, max(minLength, length))
	}
}

// Wait returns how long a request that must end by deadline may wait for a primary. If that
// is 0 the request is to be refused now, and may come back after retryAfter.
func (g *Gap) Wait(now, deadline time.Time) (wait, retryAfter time.Duration) {
	end := g.began.Add(g.expected)
	if now.After(end.Add(overrun)) {
		return 0, retryUnknown
	}
	if deadline.Before(end) {
		return 0, max(minRetry, end.Sub(now))
	}
	wait = end.Add(overrun).Sub(now)
	return min(wait, deadline.Sub(now)), 0
}
