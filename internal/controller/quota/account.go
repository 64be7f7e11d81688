package quota

import (
	"math"
	"time"
)

// Times of lending.
const (
	// LoanTerm is how long a coordinator counts a share after a report that lends it.
	LoanTerm = 350 * time.Millisecond
	// ArrivalSlack is the longest that a report may be on its way: the calls that carry one are
	// given up before.
	ArrivalSlack = 160 * time.Millisecond
	// TokenTerm is how long the tokens that a coordinator lets a node hold may exceed the
	// node's part of the burst, counted from the report that they answer.
	TokenTerm = 220 * time.Millisecond
	// LoanSlack is how much later than LoanTerm after it sent the report the lender uses
	// its share again: by then the coordinator counts it no more, and nobody holds tokens
	// that were granted while it did.
	LoanSlack = ArrivalSlack + TokenTerm
	// maxHorizon is the longest time for which a node holds tokens ahead of demand.
	maxHorizon = time.Second
	// demandMemory is the time constant of the measure of demand.
	demandMemory = 400 * time.Millisecond
	// doubtAfter is the number of reports in a row without an answer after which a node
	// lends no more.
	doubtAfter = 1
)

const (
	// spareTokens are held beside the demand's; spareShare is the most of a share's burst
	// that they may be.
	spareTokens = 2.0
	spareShare  = 0.25
	// heldShare is the part of the burst that all nodes together hold at full demand: the
	// rest is left to the bucket, so that it can grant where demand moves to.
	heldShare = 0.6
	// returnAbove is how many times the wanted tokens a node holds before it returns some.
	returnAbove = 1.25
)

// Limit is a customer's limit over the whole fleet.
type Limit struct {
	// Rate is in requests per second.
	Rate float64
	// Burst is the number of requests that may exceed the rate at once.
	Burst float64
}

// Report is what a node tells the coordinator of one customer.
type Report struct {
	Customer string `cbor:"1,keyasint"`
	// Held is the number of tokens that the node holds, with those of requests that may still
	// give theirs back; Wanted is how many it would like to.
	Held   float64 `cbor:"2,keyasint"`
	Wanted float64 `cbor:"3,keyasint"`
	// Returned is the number of tokens that the node gives back with this report.
	Returned float64 `cbor:"4,keyasint,omitempty"`
	// Lent is true if the node lends its share for LoanTerm.
	Lent bool `cbor:"5,keyasint,omitempty"`
	// TakenBack is true if the node ends an earlier loan with this report: once it is
	// answered the coordinator counts the share no more.
	TakenBack bool `cbor:"6,keyasint,omitempty"`
}

// Account is one customer's tokens on one node.
type Account struct {
	limit Limit
	// tokens are held; they were granted, or filled from the node's own share.
	tokens float64
	// pending is the number of tokens spent on requests whose fate is open: each is gone or
	// comes back.
	pending float64
	// allowed is the most that tokens and pending may be, by the coordinator's answer to the
	// report of allowedAt.
	allowed   float64
	allowedAt time.Time
	// share is the node's right, 0 to 1; own is true while the node uses it.
	share  float64
	own    bool
	filled time.Time

	coordinator string
	// lentUntil is the end of the last loan, as the lender must see it.
	lentUntil time.Time
	unheard   int

	// demand is in requests per second, as of demandAt.
	demand   float64
	demandAt time.Time
	// income is in tokens granted per second, as of incomeAt.
	income   float64
	incomeAt time.Time
	// asked is what the last report asked for; shortSince is since when the coordinator has
	// granted less than half of that.
	asked      float64
	shortSince time.Time
}

// NewAccount returns an Account without tokens.
func NewAccount(now time.Time) *Account {
	return &Account{demandAt: now, filled: now}
}

// Configure changes the limit. A lower one takes tokens away in proportion.
func (a *Account) Configure(limit Limit, now time.Time) {
	a.fill(now)
	if a.limit.Burst > 0 && limit.Burst < a.limit.Burst {
		a.tokens *= limit.Burst / a.limit.Burst
	}
	a.limit = limit
}

// SetShare sets the node's right to a part of the whole, 0 to 1.
func (a *Account) SetShare(share float64, now time.Time) {
	a.fill(now)
	a.share = share
}

// SetCoordinator changes the node that the account reports to. Nothing is lent to it until it
// has answered: after a restart it may be a node that is dead and not yet known to be.
func (a *Account) SetCoordinator(name string) {
	if name != a.coordinator {
		a.coordinator = name
		a.unheard = doubtAfter
	}
}

// part is the node's part of the burst.
func (a *Account) part() float64 { return a.limit.Burst * a.share }

// fill adds what the node's own share brought since the last call.
func (a *Account) fill(now time.Time) {
	passed := now.Sub(a.filled).Seconds()
	a.filled = now
	if !a.own || passed <= 0 {
		return
	}
	if most := a.part() - a.pending; a.tokens < most {
		a.tokens = min(most, a.tokens+passed*a.limit.Rate*a.share)
	}
}

// trim takes away what the node may hold no more: without a fresh answer of its coordinator
// that is its own part of the burst.
func (a *Account) trim(now time.Time) {
	if now.Sub(a.allowedAt) > TokenTerm {
		a.allowed = a.part()
	}
	a.tokens = max(0, min(a.tokens, a.allowed-a.pending))
}

// held is the number of tokens that the node may still spend, now or once they come back.
func (a *Account) held() float64 { return min(a.tokens+a.pending, a.allowed) }

// Take spends a token if there is one. Else wait is about how long it takes until there
// may be one.
func (a *Account) Take(now time.Time) (ok bool, wait time.Duration) {
	a.note(now)
	return a.Retake(now)
}

// Retake is Take for a request that has been counted as demand before.
func (a *Account) Retake(now time.Time) (ok bool, wait time.Duration) {
	a.tick(now)
	if a.tokens >= 1 {
		a.tokens--
		a.pending++
		return true, 0
	}
	return false, a.wait()
}

// Settle ends what Take began: the request ran, or it provably did not and its token comes
// back.
func (a *Account) Settle(ran bool, now time.Time) {
	a.tick(now)
	a.pending = max(0, a.pending-1)
	if !ran {
		a.tokens++
		a.trim(now)
	}
}

// wait estimates the time until a token, from the customer's rate and this node's part of
// the demand.
func (a *Account) wait() time.Duration {
	if a.limit.Rate <= 0 {
		return time.Minute
	}
	perToken := time.Duration(float64(time.Second) / a.limit.Rate)
	if a.own && a.share > 0 {
		perToken = time.Duration(float64(perToken) / a.share)
	}
	return max(perToken, minWait)
}

// minWait is the least time that a refused caller is told to wait.
const minWait = 20 * time.Millisecond

// tick decides whether the node uses its own share.
func (a *Account) tick(now time.Time) {
	a.fill(now)
	a.trim(now)
	a.own = !now.Before(a.lentUntil) && a.share > 0
}

// note counts one request as demand.
func (a *Account) note(now time.Time) {
	a.decay(now)
	a.demand += 1 / demandMemory.Seconds()
}

func (a *Account) decay(now time.Time) {
	if passed := now.Sub(a.demandAt); passed > 0 {
		a.demand *= math.Exp(-passed.Seconds() / demandMemory.Seconds())
		a.demandAt = now
	}
}

// Wanted returns how many tokens the node would like to hold.
func (a *Account) Wanted(now time.Time) float64 {
	a.decay(now)
	spare := min(spareTokens, max(1, spareShare*a.limit.Burst*a.share))
	return min(a.limit.Burst, spare+a.demand*a.horizon())
}

// horizon returns for how many seconds of demand the node holds tokens.
func (a *Account) horizon() float64 {
	if a.limit.Rate <= 0 {
		return 0
	}
	return min(maxHorizon.Seconds(), heldShare*a.limit.Burst/a.limit.Rate)
}

// Hungry reports whether the node should ask for tokens without delay.
func (a *Account) Hungry(now time.Time) bool {
	return a.tokens < 1 || a.tokens < a.Wanted(now)/3
}

// Tokens returns the tokens held now.
func (a *Account) Tokens(now time.Time) float64 {
	a.tick(now)
	return a.tokens
}

// Demand returns the requests per second asked for of late.
func (a *Account) Demand(now time.Time) float64 {
	a.decay(now)
	return a.demand
}

// Own reports whether the node uses its own share now.
func (a *Account) Own(now time.Time) bool {
	a.tick(now)
	return a.own
}

// Report returns the report to send to the coordinator now. A node whose share is lent to
// a former coordinator, or whose reports bring no answer, lends nothing. leaving returns
// all tokens.
func (a *Account) Report(customer string, lender string, leaving bool, now time.Time) Report {
	a.tick(now)
	wanted := a.Wanted(now)
	if leaving {
		wanted = 0
	}
	r := Report{Customer: customer}
	if keep := wanted * returnAbove; a.tokens > keep && a.unheard < doubtAfter {
		r.Returned = math.Floor(a.tokens - wanted)
		a.tokens -= r.Returned
	}
	a.asked = wanted - a.tokens
	r.Held = a.held()
	r.Wanted = wanted + a.pending
	if a.mayLend(lender, now) {
		r.Lent = true
		a.lentUntil = now.Add(LoanTerm + LoanSlack)
		a.own = false
	}
	return r
}

// LentElsewhere reports whether the share is lent to a former coordinator, lender.
func (a *Account) LentElsewhere(lender string, now time.Time) bool {
	return lender != "" && lender != a.coordinator && now.Before(a.lentUntil)
}

// TakeBack returns the report to a former coordinator that ends the loan to it.
func (a *Account) TakeBack(customer string, now time.Time) Report {
	a.tick(now)
	a.asked = 0
	return Report{Customer: customer, Held: a.held(), TakenBack: true}
}

// TakenBack notes that the former coordinator has answered TakeBack: the share is free once
// nobody holds tokens that were granted while it was lent.
func (a *Account) TakenBack(now time.Time) {
	a.lentUntil = earlier(a.lentUntil, now.Add(TokenTerm))
	a.unheard = 0
	a.tick(now)
}

// mayLend reports whether the share is free to be lent: it was last lent to the same
// coordinator, or to none that still counts it.
func (a *Account) mayLend(lender string, now time.Time) bool {
	if a.share <= 0 || a.unheard >= doubtAfter {
		return false
	}
	return lender == a.coordinator || !now.Before(a.lentUntil)
}

// Granted takes the coordinator's answer to a report, sent at sentAt, that said held. tokens
// is negative if the node has to give some up.
func (a *Account) Granted(tokens, held float64, sentAt, now time.Time) {
	a.unheard = 0
	a.tick(now)
	a.tokens += tokens
	a.allowed, a.allowedAt = held+tokens, sentAt
	a.trim(now)
	a.income = a.Income(now) + max(0, tokens)/demandMemory.Seconds()
	a.incomeAt = now
	switch {
	case a.asked < 1 || tokens >= a.asked/2:
		a.shortSince = time.Time{}
	case a.shortSince.IsZero():
		a.shortSince = now
	}
}

// overAfter is how long the coordinator must have granted too little before the customer
// counts as over its rate.
const overAfter = 500 * time.Millisecond

// Over reports whether the customer asks for more than its rate: to wait for tokens then
// only makes late what could be refused at once.
func (a *Account) Over(now time.Time) bool {
	return !a.shortSince.IsZero() && now.Sub(a.shortSince) > overAfter
}

// Income returns the tokens per second that came of late, or that the node's own share
// brings.
func (a *Account) Income(now time.Time) float64 {
	if a.own {
		return a.limit.Rate * a.share
	}
	passed := now.Sub(a.incomeAt)
	if passed <= 0 {
		return a.income
	}
	return a.income * math.Exp(-passed.Seconds()/demandMemory.Seconds())
}

// Unheard notes that a report brought no answer.
func (a *Account) Unheard() { a.unheard++ }
