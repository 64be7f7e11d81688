package quota

import (
	"math"
	"time"
)

const (
	// reserveTime is for how long a bucket keeps the tokens that the most urgent requests usually ask for while
	// others ask as well. They are at most maxReserveShare of the burst.
	reserveTime     = 250 * time.Millisecond
	maxReserveShare = 0.25
)

// urgency is what a coordinator knows about the priorities of a customer's requests on all nodes.
type urgency struct {
	// first is the most urgent priority for which requests waited in the last urgencyMemory, firstAt the last time
	// for that.
	first   int
	firstAt time.Time
	// leastAt is when a node last reported a less urgent one.
	leastAt time.Time
	// asked is how many tokens a second the most urgent requests wait for, as of askedAt.
	asked   float64
	askedAt time.Time
	// credit is how many tokens others get although the reserve is not full.
	credit float64
}

// note records the priorities in a node's report.
func (u *urgency) note(r Report, now time.Time) {
	if r.Urgent > 0 && (r.Priority <= u.first || now.Sub(u.firstAt) > urgencyMemory) {
		if r.Priority != u.first {
			u.asked = 0
		}
		u.first, u.firstAt = r.Priority, now
		u.asked = u.askedNow(now) + r.Urgent/demandTimeConstant.Seconds()
		u.askedAt = now
	}
	if r.Least > u.first {
		u.leastAt = now
	}
}

func (u *urgency) askedNow(now time.Time) float64 {
	return u.asked * math.Exp(-now.Sub(u.askedAt).Seconds()/demandTimeConstant.Seconds())
}

// isContended reports whether requests of several priorities compete.
func (u *urgency) isContended(now time.Time) bool {
	return now.Sub(u.firstAt) <= urgencyMemory && now.Sub(u.leastAt) <= urgencyMemory
}

// isFirst reports whether a report asks for tokens for the most urgent requests.
func (u *urgency) isFirst(r Report) bool { return r.Urgent > 0 && r.Priority <= u.first }

// availableTo returns how many tokens of the bucket a report may be granted. While requests of several priorities
// compete, all but the most urgent leave a reserve. One of agedTurn tokens is theirs in any case.
func (b *Bucket) availableTo(r Report, now time.Time) float64 {
	if !b.urgency.isContended(now) || b.urgency.isFirst(r) {
		return b.tokens
	}
	return max(0, b.tokens-b.urgentReserve(now), min(b.tokens, b.urgency.credit))
}

// urgentReserve returns how many tokens the bucket keeps for the most urgent requests.
func (b *Bucket) urgentReserve(now time.Time) float64 {
	if !b.urgency.isContended(now) {
		return 0
	}
	return min(maxReserveShare*b.limit.Burst, 1+b.urgency.askedNow(now)*reserveTime.Seconds())
}

// grantByUrgency returns how many tokens a report is granted beside those reserved for its node, while requests of
// several priorities compete: what the most urgent requests wait for, or what is due to the others in any case.
func (b *Bucket) grantByUrgency(r Report, now time.Time) float64 {
	switch {
	case !b.urgency.isContended(now):
		return 0
	case b.urgency.isFirst(r):
		return min(b.tokens, r.Urgent)
	default:
		return min(b.tokens, math.Floor(b.urgency.credit))
	}
}

// charge accounts for a grant among the priorities.
func (u *urgency) charge(r Report, granted float64, now time.Time) {
	if granted <= 0 || !u.isContended(now) {
		return
	}
	if u.isFirst(r) {
		u.credit = min(agedTurn, u.credit+granted/(agedTurn-1))
		return
	}
	u.credit = max(0, u.credit-granted)
}
