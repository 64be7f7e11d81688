package quota

import (
	"math"
	"time"
)

// Durations of loans and grants.
const (
	// LoanTTL is how long a coordinator counts a share as lent, from when it received the report
	// that lends it.
	LoanTTL = 350 * time.Millisecond
	// MaxReportDelay is the longest time that a report may take to arrive. The timeout of the
	// calls that carry reports is shorter.
	MaxReportDelay = 160 * time.Millisecond
	// GrantTTL is how long a grant lets a node hold more tokens than its own share of the burst.
	// The time starts when the node sends the report that the coordinator answers with the grant.
	GrantTTL = 220 * time.Millisecond
	// LoanSafetyMargin is added to LoanTTL for the lender: it uses its share again only when both
	// have passed since it sent the report. By then the coordinator no longer counts the share,
	// and no node holds tokens that were granted while the coordinator counted it.
	LoanSafetyMargin = MaxReportDelay + GrantTTL
	// maxPrefetchTime is the longest time of expected demand for which a node holds tokens.
	maxPrefetchTime = time.Second
	// demandTimeConstant is the time constant of the exponential moving averages of demand and
	// of granted tokens.
	demandTimeConstant = 400 * time.Millisecond
	// maxUnanswered is the number of consecutive unanswered reports after which a node neither
	// lends its share nor returns tokens.
	maxUnanswered = 1
)

const (
	// maxSpareTokens is the number of tokens that a node holds in addition to those for its demand.
	// All nodes together hold at most maxSpareShare of the burst in this way.
	maxSpareTokens = 2.0
	maxSpareShare  = 0.25
	// prefetchShare is the fraction of the burst that all nodes together hold at full demand.
	// The rest stays in the bucket, so that the coordinator can grant tokens where demand rises.
	prefetchShare = 0.6
	// A node returns tokens when it holds more than returnThreshold times the wanted number.
	returnThreshold = 1.25
)

// Limit is a customer's limit for the whole fleet.
type Limit struct {
	// Rate is in requests per second.
	Rate float64
	// Burst is the number of requests by which the customer may exceed the rate at once.
	Burst float64
}

// Report is what a node tells the coordinator about one customer.
type Report struct {
	Customer string `cbor:"1,keyasint"`
	// Held is the number of tokens that the node holds. Wanted is how many it would like to hold.
	// Both include the pending tokens, which are spent on requests that may still return them.
	Held   float64 `cbor:"2,keyasint"`
	Wanted float64 `cbor:"3,keyasint"`
	// Returned is the number of tokens that the node returns with this report.
	Returned float64 `cbor:"4,keyasint,omitempty"`
	// Lent is true if the report lends the node's share to the coordinator for LoanTTL.
	Lent bool `cbor:"5,keyasint,omitempty"`
	// RecallsLoan is true if the report recalls an earlier loan. Once it has been answered, the
	// coordinator no longer counts the share.
	RecallsLoan bool `cbor:"6,keyasint,omitempty"`
	// Lapses is true if the node has no share of its own, so that it holds nothing more once GrantTTL has
	// passed since it sent its last report.
	Lapses bool `cbor:"7,keyasint,omitempty"`
	// Urgent is how many of the node's most urgent requests wait for a token, Priority their priority, and
	// Least the least urgent priority in use at the node. A lower number is more urgent.
	Urgent   float64 `cbor:"8,keyasint,omitempty"`
	Priority int     `cbor:"9,keyasint,omitempty"`
	Least    int     `cbor:"10,keyasint,omitempty"`
	// Run identifies the node's process, and Number orders its reports about a customer. They are those of the
	// message that contains the report; 0 is a report without a number.
	Run    uint32 `cbor:"-"`
	Number uint64 `cbor:"-"`
}

// Account holds one customer's tokens on one node.
type Account struct {
	limit Limit
	// tokens were granted by the coordinator or earned by the node's own share.
	tokens float64
	// pending is the number of tokens spent on requests whose outcome is unknown: Settle either
	// consumes or returns each of them.
	pending float64
	// holdLimit is the maximum of tokens and pending together, according to the coordinator's
	// answer to the report sent at holdLimitAt.
	holdLimit   float64
	holdLimitAt time.Time
	// share is what this node is entitled to. usesOwnShare is true while the node uses the share
	// itself.
	share        Share
	usesOwnShare bool
	filledAt     time.Time
	// unused is how long nobody had used the share when the Account was created.
	unused time.Duration

	coordinator string
	// knownHeld is the number of tokens that the coordinator believes this node to hold.
	knownHeld float64
	// lentUntil is when this node may use its lent share itself again. The coordinator stops
	// counting the share as lent before that (see LoanSafetyMargin).
	lentUntil time.Time
	// unanswered counts the consecutive reports without an answer.
	unanswered int
	// forgetsLapsed is true if the coordinator stops counting what lapses by itself (see Report.Lapses).
	forgetsLapsed bool

	// demand is in requests per second, as of demandAt.
	demand   float64
	demandAt time.Time
	// grantRate is in tokens granted per second, as of grantRateAt.
	grantRate   float64
	grantRateAt time.Time
	// requested is how many tokens the last report asked for. underGrantedSince is when the
	// coordinator started to grant less than half of that; it is zero if it grants enough.
	requested         float64
	underGrantedSince time.Time
	// waiting is the number of requests that wait for a token. While tokens are granted on demand,
	// the node asks for them again at nextAskAt at the earliest, askBackoff after an answer that
	// granted too few.
	waiting    int
	line       line
	nextAskAt  time.Time
	askBackoff time.Duration
}

// NewAccount returns an Account without tokens.
func NewAccount(now time.Time) *Account {
	return &Account{demandAt: now, filledAt: now}
}

// NewUnusedAccount is NewAccount for a node whose process has run since startedAt, and has neither used nor lent
// its share. What an earlier process of the node lent has ended LoanTTL and LoanSafetyMargin after
// startedAt; until then the share counts as lent. From then on nobody has used it, and it has earned tokens.
func NewUnusedAccount(startedAt, now time.Time) *Account {
	a := NewAccount(now)
	a.lentUntil = startedAt.Add(LoanTTL + LoanSafetyMargin)
	a.unused = max(0, now.Sub(a.lentUntil))
	return a
}

// Configure changes the limit. A lower burst reduces the tokens in proportion.
func (a *Account) Configure(limit Limit, now time.Time) {
	a.fill(now)
	if a.limit.Burst > 0 && limit.Burst < a.limit.Burst {
		a.tokens *= limit.Burst / a.limit.Burst
	}
	a.limit = limit
}

// SetShare sets what this node is entitled to. What an unused share has earned counts when the shareholders are known
// for the first time; later, another node had the share before.
func (a *Account) SetShare(share Share, now time.Time) {
	a.fill(now)
	a.share = share
	if share.Each > 0 && a.unused > 0 {
		a.usesOwnShare = !now.Before(a.lentUntil) && share.Own > 0
		a.tokens = max(a.tokens, min(a.burstShare(), a.unused.Seconds()*a.limit.Rate*share.Own))
		a.unused = 0
	}
}

// AssumeLent makes the account treat its share as lent to the current coordinator: for a customer
// that a new configuration contains, an earlier message of this node may have lent it already.
func (a *Account) AssumeLent(now time.Time) { a.lentUntil = now.Add(LoanTTL + LoanSafetyMargin) }

// SetCoordinator changes the node that the account reports to. Nothing is lent to a new
// coordinator until it has answered a report: after this node has restarted, the coordinator
// may be a dead node whose failure this node has not detected yet.
func (a *Account) SetCoordinator(name string) {
	if name != a.coordinator {
		a.coordinator = name
		a.knownHeld = 0
		a.forgetsLapsed = false
		a.nextAskAt = time.Time{}
		a.unanswered = maxUnanswered
	}
}

// burstShare returns this node's share of the burst.
func (a *Account) burstShare() float64 { return a.limit.Burst * a.share.Own }

// fill adds the tokens that the node's own share has earned since the last call.
func (a *Account) fill(now time.Time) {
	passed := now.Sub(a.filledAt).Seconds()
	a.filledAt = now
	if !a.usesOwnShare || passed <= 0 {
		return
	}
	if maxTokens := a.burstShare() - a.pending; a.tokens < maxTokens {
		a.tokens = min(maxTokens, a.tokens+passed*a.limit.Rate*a.share.Own)
	}
}

// enforceHoldLimit discards the tokens above the hold limit. Without an answer from the
// coordinator within GrantTTL, the limit is the node's own share of the burst. It doesn't rise to that
// while the share is lent, since the coordinator counts no more than what the node stated.
func (a *Account) enforceHoldLimit(now time.Time) {
	if now.Sub(a.holdLimitAt) > GrantTTL {
		limit := a.burstShare()
		if !a.usesOwnShare {
			limit = min(limit, a.holdLimit)
		}
		a.holdLimit = limit
	}
	a.tokens = max(0, min(a.tokens, a.holdLimit-a.pending))
}

// held returns the number of tokens that the node may still spend. It includes the pending
// tokens, because their requests may return them.
func (a *Account) held() float64 { return min(a.tokens+a.pending, a.holdLimit) }

// Take spends a token if there is one. Otherwise retryAfter estimates the time until one may
// be available.
func (a *Account) Take(now time.Time) (ok bool, retryAfter time.Duration) {
	a.recordDemand(now)
	return a.RetryTake(now)
}

// RetryTake is Take for a request that has already been counted as demand.
func (a *Account) RetryTake(now time.Time) (ok bool, retryAfter time.Duration) {
	a.advance(now)
	if a.tokens >= 1 {
		a.tokens--
		a.pending++
		return true, 0
	}
	return false, max(a.retryAfter(), a.nextAskAt.Sub(now))
}

// Settle completes a successful Take: either the request ran, or it provably did not run and
// its token is returned.
func (a *Account) Settle(ran bool, now time.Time) {
	a.advance(now)
	a.pending = max(0, a.pending-1)
	if !ran {
		a.tokens++
		a.enforceHoldLimit(now)
	}
}

// retryAfter estimates the time until the next token from the customer's rate, or from this
// node's share of it while the node uses its own share.
func (a *Account) retryAfter() time.Duration {
	if a.limit.Rate <= 0 {
		return time.Minute
	}
	perToken := time.Duration(float64(time.Second) / a.limit.Rate)
	if a.usesOwnShare && a.share.Own > 0 {
		perToken = time.Duration(float64(perToken) / a.share.Own)
	}
	return max(perToken, minRetryAfter)
}

// minRetryAfter is the shortest time after which a refused caller is told to retry.
const minRetryAfter = 20 * time.Millisecond

// advance brings the account up to date and determines whether the node uses its own share.
func (a *Account) advance(now time.Time) {
	a.fill(now)
	a.enforceHoldLimit(now)
	a.usesOwnShare = !now.Before(a.lentUntil) && a.share.Own > 0
}

// Tokens returns the number of tokens available now.
func (a *Account) Tokens(now time.Time) float64 {
	a.advance(now)
	return a.tokens
}

// UsesOwnShare reports whether the node currently uses its own share.
func (a *Account) UsesOwnShare(now time.Time) bool {
	a.advance(now)
	return a.usesOwnShare
}

// Report returns the report to send to the coordinator now. borrower is the coordinator that
// the share was last lent to. A node whose share is still lent to a former coordinator, or
// whose last report was not answered, lends nothing. If leaving is true, the report returns
// all tokens.
func (a *Account) Report(customer string, borrower string, leaving bool, now time.Time) Report {
	a.advance(now)
	wanted := a.Wanted(now)
	if leaving {
		wanted = 0
	}
	r := Report{Customer: customer, Lapses: !a.IsShareholder()}
	if keep := wanted * returnThreshold; a.tokens > keep && a.unanswered < maxUnanswered {
		r.Returned = returnable(a.tokens, wanted)
		a.tokens -= r.Returned
	}
	a.requested = wanted - a.tokens
	r.Held = a.held()
	r.Wanted = wanted + a.pending
	r.Priority, r.Urgent, r.Least = a.urgent(now)
	if a.canLend(borrower, now) {
		r.Lent = true
		a.lentUntil = now.Add(LoanTTL + LoanSafetyMargin)
		a.usesOwnShare = false
	}
	return r
}

// returnable returns how many of tokens a node returns that would like to hold wanted.
func returnable(tokens, wanted float64) float64 {
	if wanted == 0 {
		return tokens
	}
	return math.Floor(tokens - wanted)
}

// ApplyGrant applies the coordinator's answer to a report that was sent at sentAt. held is the
// report's Held. tokens is negative if the node must give up tokens.
func (a *Account) ApplyGrant(tokens, held float64, sentAt, now time.Time) {
	a.unanswered = 0
	a.advance(now)
	a.tokens += tokens
	a.holdLimit, a.holdLimitAt = held+tokens, sentAt
	a.knownHeld = a.holdLimit
	a.enforceHoldLimit(now)
	a.grantRate = a.TokenRate(now) + max(0, tokens)/demandTimeConstant.Seconds()
	a.grantRateAt = now
	if a.requested < 1 || tokens >= a.requested/2 {
		a.underGrantedSince = time.Time{}
		a.askBackoff, a.nextAskAt = 0, time.Time{}
		return
	}
	if a.underGrantedSince.IsZero() {
		a.underGrantedSince = now
	}
	a.askBackoff = min(maxAskBackoff, max(minAskBackoff, 2*a.askBackoff))
	a.nextAskAt = now.Add(a.askBackoff)
	if priority, waiting := a.line.first(); waiting > 0 && a.IsPreferred(priority, now) {
		a.nextAskAt = now.Add(minAskBackoff)
	}
}

// minAskBackoff and maxAskBackoff bound the time after which a node asks again for tokens that
// are granted on demand, if the coordinator had too few.
const (
	minAskBackoff = 40 * time.Millisecond
	maxAskBackoff = 400 * time.Millisecond
)

// overRateAfter is how long the coordinator must have granted too few tokens before the
// customer counts as over its rate.
const overRateAfter = 500 * time.Millisecond

// IsOverRate reports whether the customer asks for more than its rate. Letting its requests
// wait for tokens would then only delay their refusal.
func (a *Account) IsOverRate(now time.Time) bool {
	if a.share.grantsOnDemand(a.limit) {
		return now.Before(a.nextAskAt) && a.askBackoff == maxAskBackoff
	}
	return !a.underGrantedSince.IsZero() && now.Sub(a.underGrantedSince) > overRateAfter
}

// TokenRate returns the recent number of tokens per second that were granted, or that the
// node's own share earns while the node uses it.
func (a *Account) TokenRate(now time.Time) float64 {
	if a.usesOwnShare {
		return a.limit.Rate * a.share.Own
	}
	passed := now.Sub(a.grantRateAt)
	if passed <= 0 {
		return a.grantRate
	}
	return a.grantRate * math.Exp(-passed.Seconds()/demandTimeConstant.Seconds())
}

// RecordUnanswered records that a report was not answered.
func (a *Account) RecordUnanswered() { a.unanswered++ }
