// Package quota runs the quota controller: it admits requests from this node's tokens,
// reports to the customers' coordinators, and answers for the customers that this node
// coordinates.
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

// Options of a Runner.
type Options struct {
	// Self is this node's name in the list.
	Self   string
	Peers  peer.Caller
	View   func() *membership.View
	Config fleet.Source
	Clock  clock.Clock
	// Suspended returns for how long in all the VM was suspended, which Clock does not
	// count; nil for never.
	Suspended func() time.Duration
	Logger    log.Logger
}

// slot is one customer on this node.
type slot struct {
	customer string
	waiting  atomic.Int64

	mu      sync.Mutex
	account *quota.Account
	// pool is used while this node coordinates the customer.
	pool *quota.Pool
	// lender is the coordinator that the share was last lent to.
	lender string
	// lost is true if the lender did not answer when the share was taken back.
	lost bool
	// coordinator is the one in the View seen.
	coordinator string
	seen        *membership.View
	own         bool
}

type slots map[string]*slot

// Runner is one node's quota. Its methods are safe for concurrent use.
type Runner struct {
	o     Options
	slots atomic.Pointer[slots]
	// kick asks for reports without delay.
	kick chan struct{}
	wait sync.WaitGroup

	// config is the configuration that the slots were made from. Only Run's loop uses it.
	config *fleet.Config

	mu sync.Mutex
	// busy holds the coordinators with a report under way, due the time of the next one of all
	// customers, urgentDue that of those that have run out of tokens.
	busy      map[string]bool
	due       map[string]time.Time
	urgentDue map[string]time.Time
	leaving   bool
}

// New returns a Runner that admits nothing until Run has been called.
func New(o Options) *Runner {
	if o.Suspended == nil {
		o.Suspended = func() time.Duration { return 0 }
	}
	r := &Runner{
		o:         o,
		kick:      make(chan struct{}, 1),
		busy:      make(map[string]bool),
		due:       make(map[string]time.Time),
		urgentDue: make(map[string]time.Time),
	}
	r.slots.Store(&slots{})
	return r
}

// now returns the time including that of suspensions.
func (r *Runner) now() time.Time { return r.o.Clock.Now().Add(r.o.Suspended()) }

// Take admits one request of customer if this node holds a token. Else retryAfter is about
// how long it takes until that may change.
func (r *Runner) Take(customer string) (ok bool, retryAfter time.Duration) {
	s := (*r.slots.Load())[customer]
	if s == nil {
		return false, startWait
	}
	return r.take(s, (*quota.Account).Take)
}

type takeFunc func(a *quota.Account, now time.Time) (bool, time.Duration)

func (r *Runner) take(s *slot, take takeFunc) (ok bool, retryAfter time.Duration) {
	now := r.now()
	s.mu.Lock()
	ok, retryAfter = take(s.account, now)
	hungry := s.account.Hungry(now)
	s.mu.Unlock()
	if hungry {
		r.Kick()
	}
	return ok, retryAfter
}

// Kick has the Runner look at once for what is due, such as a new configuration.
func (r *Runner) Kick() {
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

// Serves reports whether the customers of the configuration in force are known here.
func (r *Runner) Serves() bool {
	config := r.o.Config.Current()
	if config == nil {
		return false
	}
	all := *r.slots.Load()
	for i := range config.Customers {
		if all[config.Customers[i].Name] == nil {
			return false
		}
	}
	return true
}

const (
	// patience is how long Admit waits for tokens.
	patience = 200 * time.Millisecond
	// retakeEvery is the pause between two looks for one.
	retakeEvery = 10 * time.Millisecond
	// minWaiting is how many requests of one customer may wait in Admit at least, whatever
	// tokens have come of late.
	minWaiting = 2
	// startWait is proposed for a customer that no configuration in force here names.
	startWait = 100 * time.Millisecond
)

// Admit is Take for a caller that can wait a little for tokens that are on their way, but
// not longer than ctx allows.
func (r *Runner) Admit(ctx context.Context, customer string) (ok bool, retryAfter time.Duration) {
	s := (*r.slots.Load())[customer]
	if s == nil {
		return false, startWait
	}
	ok, retryAfter = r.take(s, (*quota.Account).Take)
	if ok || float64(s.waiting.Load()) >= r.mayWait(s) {
		return ok, retryAfter
	}
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
	count("waits")
	for until := r.o.Clock.Now().Add(patience); !ok && r.o.Clock.Now().Before(until); {
		if r.o.Clock.Sleep(ctx, retakeEvery) != nil {
			break
		}
		ok, retryAfter = r.take(s, (*quota.Account).Retake)
	}
	return ok, retryAfter
}

// Settle ends what Admit or Take began. A request that provably did not run is not charged.
func (r *Runner) Settle(customer string, ran bool) {
	s := (*r.slots.Load())[customer]
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account.Settle(ran, r.now())
	if !ran {
		count("returned")
	}
}

// mayWait returns how many requests may wait for tokens: as many as are likely to get one
// within patience. Those of a customer that asks for much more than its rate are refused at
// once.
func (r *Runner) mayWait(s *slot) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.account.Over(r.now()) {
		return 0
	}
	return max(minWaiting, s.account.Income(r.now())*patience.Seconds())
}

// Status is one customer's part for people.
type Status struct {
	Customer string  `json:"customer" cbor:"1,keyasint"`
	Tokens   float64 `json:"tokens" cbor:"2,keyasint"`
	// Demand is in requests per second.
	Demand float64 `json:"demand" cbor:"3,keyasint"`
	// Own is true while the node uses its own share of the rate: its coordinator is lost.
	Own bool `json:"own" cbor:"4,keyasint"`
	// Coordinator is the node that this one reports to.
	Coordinator string `json:"coordinator" cbor:"5,keyasint"`
}

// Snapshot returns the state of every customer on this node.
func (r *Runner) Snapshot() []Status {
	now := r.now()
	all := *r.slots.Load()
	out := make([]Status, 0, len(all))
	for _, s := range all {
		s.mu.Lock()
		out = append(out, Status{
			Customer:    s.customer,
			Tokens:      s.account.Tokens(now),
			Demand:      s.account.Demand(now),
			Own:         s.account.Own(now),
			Coordinator: s.coordinator,
		})
		s.mu.Unlock()
	}
	return out
}

// configure follows the configuration in force. A customer that is no longer named may
// spend nothing.
func (r *Runner) configure(now time.Time) {
	config := r.o.Config.Current()
	if config == nil || config == r.config {
		return
	}
	r.config = config
	before := *r.slots.Load()
	after := make(slots, len(config.Customers))
	for i := range config.Customers {
		c := &config.Customers[i]
		s := before[c.Name]
		if s == nil {
			s = &slot{customer: c.Name, account: quota.NewAccount(now), pool: quota.NewPool(now)}
		}
		s.configure(quota.Limit{Rate: c.Rate, Burst: c.Burst}, now)
		after[c.Name] = s
	}
	r.slots.Store(&after)
}

func (s *slot) configure(limit quota.Limit, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account.Configure(limit, now)
	s.pool.Configure(limit, now)
}
