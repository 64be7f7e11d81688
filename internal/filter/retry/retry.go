// Package retry is the filter that sends a refused request again when that is safe.
//
// Invariant: a request is sent again only if it provably did not run, or if it is a read outside
// a transaction. A write whose outcome is unknown is never sent twice.
package retry

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/request"
)

// Limits of retries.
const (
	// MaxBudget is the most retries that a profile can accumulate. A profile starts with this many.
	MaxBudget = 10
	// InitialBackoff and MaxBackoff bound the wait before a retry, before jitter. A refusal whose
	// RetryAfter exceeds MaxBackoff is not retried.
	InitialBackoff = 5 * time.Millisecond
	MaxBackoff     = 200 * time.Millisecond
)

// Filter retries requests within their profile's retry budget and their deadline.
type Filter struct {
	next  request.Handler
	clock clock.Clock
	// Retried counts retries by the name of the refusal's code. Exhausted counts requests that
	// were not retried because the budget was used up, by profile.
	Retried, Exhausted expvar.Map

	// budgets maps a profile's name to its *budget.
	budgets sync.Map

	mu     sync.Mutex
	random *rand.Rand
}

// budget is the number of retries that a profile may still make, in thousandths of a retry.
type budget struct{ atomic.Int64 }

// retryCost is the cost of one retry in units of a budget.
const retryCost = 1000

// deposit adds share, in thousandths of a retry, up to MaxBudget.
func (b *budget) deposit(share int64) {
	for {
		old := b.Load()
		sum := min(old+share, MaxBudget*retryCost)
		if sum == old || b.CompareAndSwap(old, sum) {
			return
		}
	}
}

// tryWithdraw takes one retry from the budget. It returns false if less than one is left.
func (b *budget) tryWithdraw() bool {
	for {
		old := b.Load()
		if old < retryCost {
			return false
		}
		if b.CompareAndSwap(old, old-retryCost) {
			return true
		}
	}
}

// New returns a Filter in front of next. It uses random for the jitter of its backoff.
func New(next request.Handler, clock clock.Clock, random *rand.Rand) *Filter {
	return &Filter{next: next, clock: clock, random: random}
}

// Serve implements request.Handler.
func (f *Filter) Serve(ctx context.Context, req *request.Request) (*request.Response, error) {
	f.deposit(req)
	backoff := InitialBackoff
	mayHaveRun := false
	for {
		kind := req.Kind
		resp, err := f.next.Serve(ctx, req)
		if err == nil {
			return resp, nil
		}
		refusal := request.AsRefusal(err)
		mayHaveRun = mayHaveRun || refusal.Code.Fate == request.Unknown
		if !isRetryable(kind, refusal) || refusal.RetryAfter > MaxBackoff || !f.waitForRetry(ctx, req, f.delay(refusal, backoff)) {
			return nil, refusal.WithPriorAttempts(mayHaveRun)
		}
		if refusal.Code == request.CodeReplicaWrite {
			requirePrimary(req)
		}
		f.Retried.Add(refusal.Code.Name, 1)
		backoff = min(2*backoff, MaxBackoff)
	}
}

// End implements request.Handler.
func (f *Filter) End(session string) { f.next.End(session) }

// isRetryable reports whether a refused request may be sent again.
func isRetryable(kind request.Kind, refusal *request.Refusal) bool {
	switch kind {
	case request.KindRead:
		if refusal.Code.Fate == request.Unknown {
			return true
		}
	case request.KindWrite, request.KindBegin, request.KindBeginRead:
	default:
		return false
	}
	return refusal.Code.Fate == request.NotRun && refusal.Code.Retryable
}

// requirePrimary turns a read that a replica refused as a write into a KindWrite, which only the
// primary serves. From then on the rules for writes apply to its retries.
func requirePrimary(req *request.Request) {
	if req.Kind == request.KindRead {
		req.Kind = request.KindWrite
	}
}

// delay returns how long to wait before a retry. Where there was no room, the time that was given for the return is
// kept, since it orders those that return.
func (f *Filter) delay(refusal *request.Refusal, backoff time.Duration) time.Duration {
	delay := f.withJitter(backoff)
	if refusal.Code == request.CodeOverloaded {
		return max(delay, refusal.RetryAfter)
	}
	return delay
}

// waitForRetry takes one retry from the budget and sleeps for delay. It returns false if
// the budget is used up, the deadline would pass first, or ctx is done.
func (f *Filter) waitForRetry(ctx context.Context, req *request.Request, delay time.Duration) bool {
	if !req.Deadline.IsZero() && f.clock.Now().Add(delay).After(req.Deadline) {
		return false
	}
	if !f.tryWithdraw(req.Profile.Name) {
		return false
	}
	return f.clock.Sleep(ctx, delay) == nil
}

// withJitter returns a random duration from half of backoff to one and a half times backoff.
func (f *Filter) withJitter(backoff time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return backoff/2 + time.Duration(f.random.Int64N(int64(backoff)))
}

// deposit adds the request's share to its profile's budget. A profile with a share of 0 has no
// budget at all, not even the initial one.
func (f *Filter) deposit(req *request.Request) {
	share := int64(req.Profile.RetryBudget * retryCost)
	found, ok := f.budgets.Load(req.Profile.Name)
	if !ok {
		created := &budget{}
		created.Store(MaxBudget * retryCost)
		found, _ = f.budgets.LoadOrStore(req.Profile.Name, created)
	}
	b := found.(*budget)
	if share <= 0 {
		b.Store(0)
		return
	}
	b.deposit(share)
}

func (f *Filter) tryWithdraw(profile string) bool {
	found, ok := f.budgets.Load(profile)
	if ok && found.(*budget).tryWithdraw() {
		return true
	}
	f.Exhausted.Add(profile, 1)
	return false
}
