package quota

import (
	"math"
	"time"
)

// recordDemand counts one request as demand.
func (a *Account) recordDemand(now time.Time) {
	a.decayDemand(now)
	a.demand += 1 / demandTimeConstant.Seconds()
}

func (a *Account) decayDemand(now time.Time) {
	if passed := now.Sub(a.demandAt); passed > 0 {
		a.demand *= math.Exp(-passed.Seconds() / demandTimeConstant.Seconds())
		a.demandAt = now
	}
}

// Demand returns the recent demand in requests per second.
func (a *Account) Demand(now time.Time) float64 {
	a.decayDemand(now)
	return a.demand
}

// Waiting returns the number of requests that wait for a token.
func (a *Account) Waiting() int { return a.waiting }

// Wanted returns how many tokens the node would like to hold, without pending ones. The field
// of the same name in Report includes them.
func (a *Account) Wanted(now time.Time) float64 {
	a.decayDemand(now)
	expected := a.demand * a.prefetchSeconds()
	if a.share.grantsOnDemand(a.limit) {
		// A single request must not leave tokens at a node that may not see another one.
		expected = math.Floor(max(0, expected-1)) + float64(a.waiting)
	}
	return min(a.limit.Burst, a.share.spareTokens(a.limit)+expected)
}

// prefetchSeconds returns for how many seconds of demand the node holds tokens.
func (a *Account) prefetchSeconds() float64 {
	if a.limit.Rate <= 0 {
		return 0
	}
	return min(maxPrefetchTime.Seconds(), prefetchShare*a.limit.Burst/a.limit.Rate)
}

// NeedsTokens reports whether the node should ask for tokens without delay.
func (a *Account) NeedsTokens(now time.Time) bool {
	wanted := a.Wanted(now)
	if !a.share.grantsOnDemand(a.limit) {
		return a.tokens < 1 || a.tokens < wanted/3
	}
	return wanted >= 1 && a.tokens < max(1, wanted/3) && !now.Before(a.nextAskAt)
}

// IsIdle reports whether there is nothing to report about the customer but the loan of the
// node's share: the node holds and wants no tokens, and the coordinator knows, or will without a report.
func (a *Account) IsIdle(now time.Time) bool {
	a.advance(now)
	isKnown := a.knownHeld == 0 || a.forgetsLapsed && !a.IsShareholder() && !a.HasSpent(now)
	return a.held() == 0 && a.pending == 0 && isKnown && a.Wanted(now) == 0
}

// smallBurst is a burst of which a few tokens that are counted as held, but were spent, are a large part.
const smallBurst = 16

// HasSpent reports whether the coordinator should soon be told that tokens were spent: it counts them as held,
// and the burst is so small that this keeps it from filling the bucket.
func (a *Account) HasSpent(now time.Time) bool {
	a.advance(now)
	return a.limit.Burst < smallBurst && a.pending == 0 && a.knownHeld-a.held() >= 1 && a.Wanted(now) == 0
}

// SetForgetsLapsed records whether the coordinator stops counting what lapses by itself.
func (a *Account) SetForgetsLapsed(forgets bool) { a.forgetsLapsed = forgets }

// NeedsTokensAtOnce reports whether the node should ask for tokens without waiting for other customers that
// it could ask for in the same message: requests wait, and tokens are granted on demand.
func (a *Account) NeedsTokensAtOnce(now time.Time) bool {
	return a.waiting > 0 && a.share.grantsOnDemand(a.limit) && a.NeedsTokens(now)
}
