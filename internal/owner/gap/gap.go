// Package gap decides what happens to a request that needs a primary during a gap: whether it
// waits or is refused. A gap is a period in which a database group has no usable primary.
//
// Requests keep arriving during a gap. A request whose deadline is earlier than the expected
// end of the gap is refused at once and told when to retry; the others wait for the new
// primary. Once a gap has lasted longer than expected by more than maxOverrun, its end can no
// longer be estimated and every request is refused at once.
//
// The package starts no goroutines, takes no locks and reads no clock.
package gap

import "time"

const (
	// initialEstimate is the expected length of a group's first gap after startup.
	initialEstimate = 2 * time.Second
	// startupEstimate is how long finding a group's primary for the first time may take.
	startupEstimate = 500 * time.Millisecond
	// minEstimate and maxEstimate bound the length that is expected after earlier gaps.
	minEstimate = 500 * time.Millisecond
	maxEstimate = 5 * time.Second
	// maxIgnoredLength is the longest gap that leaves the estimate unchanged: so short a gap
	// means that polls were late, not that the primary was lost.
	maxIgnoredLength = 200 * time.Millisecond
	// maxOverrun is how long past the expected end of a gap requests still wait.
	maxOverrun = 400 * time.Millisecond
	// defaultRetryAfter is the retry delay when the end of the gap can't be estimated.
	defaultRetryAfter = 500 * time.Millisecond
	// minRetryAfter is the shortest retry delay.
	minRetryAfter = 50 * time.Millisecond
)

// Tracker tracks whether a group has a primary and estimates how long a gap lasts. It is not
// safe for concurrent use.
type Tracker struct {
	// lastPrimaryAt is when the group was last known to have a primary, or when the Tracker
	// was created.
	lastPrimaryAt time.Time
	inGap         bool
	// expectedLength is the expected length of the current or next gap.
	expectedLength time.Duration
}

// New returns a Tracker for a group whose primary is not known yet at now.
func New(now time.Time) *Tracker {
	return &Tracker{lastPrimaryAt: now, inGap: true, expectedLength: startupEstimate}
}

// Observe records whether the group has a primary at now.
func (t *Tracker) Observe(now time.Time, hasPrimary bool) {
	if !hasPrimary {
		t.inGap = true
		return
	}
	if length := now.Sub(t.lastPrimaryAt); t.inGap {
		t.updateEstimate(length)
	}
	t.inGap = false
	t.lastPrimaryAt = now
}

// updateEstimate sets the expected length of the next gap from the gap that just ended. An
// estimate equal to startupEstimate is replaced by initialEstimate, whatever the length was.
func (t *Tracker) updateEstimate(length time.Duration) {
	switch {
	case t.expectedLength == startupEstimate:
		t.expectedLength = initialEstimate
	case length > maxIgnoredLength:
		t.expectedLength = min(maxEstimate, max(minEstimate, length))
	}
}

// MaxWait returns how long a request that must end by deadline may wait for a primary. If
// wait is 0, the request is to be refused now and may be retried after retryAfter.
func (t *Tracker) MaxWait(now, deadline time.Time) (wait, retryAfter time.Duration) {
	end := t.lastPrimaryAt.Add(t.expectedLength)
	if now.After(end.Add(maxOverrun)) {
		return 0, defaultRetryAfter
	}
	if deadline.Before(end) {
		return 0, max(minRetryAfter, end.Sub(now))
	}
	wait = end.Add(maxOverrun).Sub(now)
	return min(wait, deadline.Sub(now)), 0
}
