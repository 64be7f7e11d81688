// Package quota runs the quota controller. It admits requests against this node's tokens,
// reports to the customers' coordinators, and grants tokens to other nodes for the
// customers that this node coordinates.
//
// Each node is entitled to a share of a customer's rate. It normally lends the share for a
// short time to one node, the customer's coordinator, which grants tokens to the nodes where
// the demand is. A node that has lost contact with the coordinator uses its own share once
// the loan has ended.
package quota

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/zeebo/errs"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/controller/membership"
	"crocusyoke/internal/controller/quota"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/peer"
)

// Error is the class of this package's errors.
var Error = errs.Class("quota")

// Options configures a Runner.
type Options struct {
	// Self is this node's name in the list of nodes.
	Self   string
	Peers  peer.Caller
	View   func() *membership.View
	Config fleet.Source
	Clock  clock.Clock
	// Suspended returns the total time for which the VM has been suspended, which Clock
	// does not count; nil if the VM is never suspended.
	Suspended func() time.Duration
	Logger    log.Logger
}

// customerQuota is the quota state of one customer on this node.
type customerQuota struct {
	customer string
	// isSmall is true if the customer's burst is not divided by failure domain.
	isSmall atomic.Bool

	mu sync.Mutex
	// account holds the tokens that this node may spend.
	account *quota.Account
	// bucket holds the tokens that this node grants. It is used only while this node
	// coordinates the customer.
	bucket *quota.Bucket
	// borrower is the coordinator to which this node's share was last lent.
	borrower string
	// recallUnanswered is true if the borrower did not answer a report that recalled the loan.
	recallUnanswered bool
	// coordinator is the customer's coordinator.
	coordinator  string
	usesOwnShare bool
	// inFlight is true while a message that is only about customers that are low on tokens, with this one
	// among them, is in flight.
	inFlight bool
	// exchange is the exchange of tokens with other coordinators that is under way, if any.
	exchange *exchange
	// nextExchangeAt is the earliest time for the next one, exchangeBackoff after one that brought nothing.
	nextExchangeAt  time.Time
	exchangeBackoff time.Duration
	// granted is closed and replaced when tokens are granted while requests wait for them.
	granted chan struct{}
}

type customerQuotas map[string]*customerQuota

// Runner manages the quota of one node. Its methods are safe for concurrent use.
type Runner struct {
	o Options
	// startedAt is when the process started, or later.
	startedAt time.Time
	customers atomic.Pointer[customerQuotas]
	// wake makes Run check for due reports at once.
	wake chan struct{}
	wait sync.WaitGroup

	// Only the loop of Run uses these fields. config and view are those from which customers and
	// partitions were built.
	config     *fleet.Config
	view       *membership.View
	partitions []*partition
	// isSplit is true if failure domains have coordinators and shareholders of their own.
	isSplit bool

	mu sync.Mutex
	// low holds the customers for which a request found too few tokens, until the loop of Run
	// has seen them.
	low     map[*customerQuota]bool
	leaving bool
	// others holds the coordinators in other failure domains.
	others atomic.Pointer[otherCoordinators]
	// limitsVersion is the version of the configuration whose limits are applied.
	limitsVersion atomic.Uint64
}

// New returns a Runner that admits no requests until Run is called.
func New(o Options) *Runner {
	if o.Suspended == nil {
		o.Suspended = func() time.Duration { return 0 }
	}
	r := &Runner{
		o:    o,
		wake: make(chan struct{}, 1),
		low:  make(map[*customerQuota]bool),
	}
	r.customers.Store(&customerQuotas{})
	r.startedAt = r.now()
	return r
}

// now returns the current time, including the time for which the VM was suspended.
func (r *Runner) now() time.Time { return r.o.Clock.Now().Add(r.o.Suspended()) }

// Take admits one request of customer if this node holds a token. If not, retryAfter is an
// estimate of the time until a token may be available.
func (r *Runner) Take(customer string) (ok bool, retryAfter time.Duration) {
	s := (*r.customers.Load())[customer]
	if s == nil {
		return false, unknownCustomerRetryAfter
	}
	return r.take(s, (*quota.Account).Take)
}

type takeFunc func(a *quota.Account, now time.Time) (bool, time.Duration)

func (r *Runner) take(s *customerQuota, take takeFunc) (ok bool, retryAfter time.Duration) {
	now := r.now()
	s.mu.Lock()
	ok, retryAfter = take(s.account, now)
	lowOnTokens := s.account.NeedsTokens(now)
	s.mu.Unlock()
	if lowOnTokens {
		r.markLow(s)
	}
	return ok, retryAfter
}

// markLow makes the loop of Run ask for tokens of s as soon as that is allowed.
func (r *Runner) markLow(s *customerQuota) {
	r.mu.Lock()
	r.low[s] = true
	r.mu.Unlock()
	r.Wake()
}

// Wake makes Run check at once for pending work, such as a new configuration.
func (r *Runner) Wake() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// HasAllCustomers reports whether this node has an account for every customer of the
// configuration in force. It is false as long as there is no configuration.
func (r *Runner) HasAllCustomers() bool {
	config := r.o.Config.Current()
	if config == nil {
		return false
	}
	all := *r.customers.Load()
	for i := range config.Customers {
		if all[config.Customers[i].Name] == nil {
			return false
		}
	}
	return true
}

const (
	// admitTimeout is how long Admit waits for a token.
	admitTimeout = 200 * time.Millisecond
	// retakeInterval is the delay between two attempts to take a token in Admit.
	retakeInterval = 10 * time.Millisecond
	// minWaiters is the lower bound of maxWaiters for a customer within its rate, however
	// few tokens were granted recently.
	minWaiters = 8
	// unknownCustomerRetryAfter is the retryAfter for a customer that the configuration in
	// force does not contain.
	unknownCustomerRetryAfter = 100 * time.Millisecond
)

// Admit is Take for callers that can wait: it waits for a token for at most admitTimeout
// and not beyond the end of ctx. Of the customer's requests that wait, those with the lowest priority get tokens
// first.
func (r *Runner) Admit(ctx context.Context, customer string, priority int) (ok bool, retryAfter time.Duration) {
	s := (*r.customers.Load())[customer]
	if s == nil {
		return false, unknownCustomerRetryAfter
	}
	takeInTurn := func(a *quota.Account, now time.Time) (bool, time.Duration) { return a.TakeInTurn(priority, now) }
	ok, retryAfter = r.take(s, func(a *quota.Account, now time.Time) (bool, time.Duration) {
		a.NoteRequest(priority, now)
		return takeInTurn(a, now)
	})
	if ok || !s.beginWait(priority, r.now()) {
		return ok, retryAfter
	}
	defer s.endWait(priority)
	increment("waits")
	r.markLow(s)
	for until := r.o.Clock.Now().Add(admitTimeout); !ok && r.o.Clock.Now().Before(until); {
		if !s.awaitGrant(ctx) {
			break
		}
		ok, retryAfter = r.take(s, takeInTurn)
	}
	return ok, retryAfter
}

// beginWait reports whether one more request of the given priority may wait for a token, and counts it if so.
func (s *customerQuota) beginWait(priority int, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.account.MayWait(priority, s.maxWaiters(priority, now)) {
		return false
	}
	s.account.BeginWait(priority, now)
	return true
}

func (s *customerQuota) endWait(priority int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account.EndWait(priority)
}

// awaitGrant waits until tokens are granted, but at most for retakeInterval, since the node's own
// share earns tokens without a grant. It returns false if ctx has ended.
func (s *customerQuota) awaitGrant(ctx context.Context) bool {
	s.mu.Lock()
	granted := s.granted
	s.mu.Unlock()
	timer := time.NewTimer(retakeInterval)
	defer timer.Stop()
	select {
	case <-granted:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// signalGranted wakes the requests that wait for a token. s.mu is held.
func (s *customerQuota) signalGranted() {
	if s.account.Waiting() == 0 {
		return
	}
	close(s.granted)
	s.granted = make(chan struct{})
}

// Settle completes a request that Admit or Take admitted. A request that provably did not
// run is not charged.
func (r *Runner) Settle(customer string, ran bool) {
	s := (*r.customers.Load())[customer]
	if s == nil {
		return
	}
	now := r.now()
	s.mu.Lock()
	s.account.Settle(ran, now)
	hasSpent := s.account.HasSpent(now)
	s.mu.Unlock()
	if hasSpent {
		r.markLow(s)
	}
	if !ran {
		increment("returned")
	}
}

// maxWaiters returns how many requests of a priority and of more urgent ones may wait for tokens: as many
// as are likely to get one within admitTimeout. If the customer asks for much more than its rate, that is none, or
// a few of those that go before others. s.mu is held.
func (s *customerQuota) maxWaiters(priority int, now time.Time) float64 {
	if s.account.IsOverRate(now) {
		if s.account.IsPreferred(priority, now) {
			return minWaiters
		}
		return 0
	}
	return max(minWaiters, s.account.TokenRate(now)*admitTimeout.Seconds())
}

// Status is the quota state of one customer, as shown to operators.
type Status struct {
	Customer string  `json:"customer" cbor:"1,keyasint"`
	Tokens   float64 `json:"tokens" cbor:"2,keyasint"`
	// Demand is in requests per second.
	Demand float64 `json:"demand" cbor:"3,keyasint"`
	// OwnShare is true while the node uses its own share of the rate because it has lost contact
	// with the coordinator.
	OwnShare bool `json:"own" cbor:"4,keyasint"`
	// Coordinator is the node to which this one reports.
	Coordinator string `json:"coordinator" cbor:"5,keyasint"`
}

// Snapshot returns the state of every customer on this node.
func (r *Runner) Snapshot() []Status {
	now := r.now()
	all := *r.customers.Load()
	out := make([]Status, 0, len(all))
	for _, s := range all {
		s.mu.Lock()
		out = append(out, Status{
			Customer:    s.customer,
			Tokens:      s.account.Tokens(now),
			Demand:      s.account.Demand(now),
			OwnShare:    s.account.UsesOwnShare(now),
			Coordinator: s.coordinator,
		})
		s.mu.Unlock()
	}
	return out
}
