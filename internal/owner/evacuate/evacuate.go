// Package evacuate decides how the work at a target ends once its failure domain is evacuated, how it
// returns, and how long a request waits for the primary of an evacuated domain to hand over.
//
// Invariants:
//   - Open transactions end early enough for the order to be in force within its bound, if this node hears of
//     it within the rest of the bound.
//   - The surcharge of a target that was taken back never grows, and is 0 after RampTime.
//   - A request waits for a hand-over only while one can be expected to end before the request's deadline.
//
// The package starts no goroutines, takes no locks and reads no clock.
package evacuate

import "time"

const (
	// DefaultBound is the time within which an order is in force, unless the settings state another one.
	DefaultBound = 5 * time.Second
	// transactionPercent is the part of the bound that open transactions may take, in percent. What is left
	// is for the order to reach the owner.
	transactionPercent = 30
	// RampTime is how long a target that was taken back is passed over for others that are about as fast.
	RampTime = 5 * time.Second
	// maxSurcharge is added to a target's expected wait when it is taken back. It shrinks to 0 within RampTime.
	maxSurcharge = 100 * time.Millisecond
	// expectedHandover is how long after a primary was found evacuated another one is expected to lead, and
	// maxHandover how long requests wait for that.
	expectedHandover = 1500 * time.Millisecond
	maxHandover      = 3 * time.Second
	// overdueRetryAfter is the retry delay while a hand-over takes longer, and onlyRetryAfter while there is no
	// target that could take over.
	overdueRetryAfter = 500 * time.Millisecond
	onlyRetryAfter    = 2 * time.Second
)

// Target is what is known of the evacuations of one target. The zero Target was never evacuated.
type Target struct {
	evacuated bool
	// changedAt is when the target was last evacuated or taken back; zero if never.
	changedAt time.Time
}

// Set records whether the target is evacuated, and reports whether that has changed.
func (t *Target) Set(now time.Time, evacuated bool) bool {
	if t.evacuated == evacuated {
		return false
	}
	t.evacuated, t.changedAt = evacuated, now
	return true
}

// IsEvacuated reports whether the target is evacuated.
func (t *Target) IsEvacuated() bool { return t.evacuated }

// EndsTransactions reports whether the target's open transactions are to be ended now, where an order has to
// be in force within bound.
func (t *Target) EndsTransactions(now time.Time, bound time.Duration) bool {
	return t.evacuated && now.Sub(t.changedAt) >= bound*transactionPercent/100
}

// Surcharge returns what to add to the target's expected wait.
func (t *Target) Surcharge(now time.Time) time.Duration {
	if t.evacuated || t.changedAt.IsZero() {
		return 0
	}
	left := min(RampTime, max(0, RampTime-now.Sub(t.changedAt)))
	return time.Duration(float64(maxSurcharge) * float64(left) / float64(RampTime))
}

// IsReturning reports whether the target was taken back lately, so that it gets only what the owner of its group places
// there by the surcharge.
func (t *Target) IsReturning(now time.Time) bool { return t.Surcharge(now) > 0 }

// Handover tracks how long requests have found the primary evacuated.
type Handover struct {
	since time.Time
}

// End records that a primary serves requests, or that other targets are evacuated than before.
func (h *Handover) End() { h.since = time.Time{} }

// Wait returns how long a request that must end by deadline may wait for another primary. If wait is 0, the
// request is to be refused now and may be retried after retryAfter. hasSuccessor is true if a target that is
// not evacuated could take over.
func (h *Handover) Wait(now, deadline time.Time, hasSuccessor bool) (wait, retryAfter time.Duration) {
	if h.since.IsZero() {
		h.since = now
	}
	expected, last := h.since.Add(expectedHandover), h.since.Add(maxHandover)
	switch {
	case !hasSuccessor:
		return 0, onlyRetryAfter
	case !now.Before(last):
		return 0, overdueRetryAfter
	case deadline.Before(expected):
		return 0, max(overdueRetryAfter, expected.Sub(now))
	default:
		return min(last.Sub(now), deadline.Sub(now)), 0
	}
}
