// Package retry is the filter that sends a request again when that is safe.
//
// Invariant: only what provably did not run is sent again, and reads outside a
// transaction. A write whose fate is unknown is never sent twice.
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
	// Reserve is the most retries that a profile may save up; it starts with as many.
	Reserve = 10
	// FirstBackoff and MaxBackoff bound the wait before a retry, before jitter.
	FirstBackoff = 5 * time.Millisecond
	MaxBackoff   = 200 * time.Millisecond
)

// Filter retries requests within their profile's budget and deadline.
type Filter struct {
	next  request.Handler
	clock clock.Clock
	// Retried counts retries by the name of the refusal's code; Exhausted counts
	// requests that were not retried for want of budget, by profile.
	Retried, Exhausted expvar.Map

	// budgets holds a *budget by profile.
	budgets sync.Map

	mu     sync.Mutex
	random *rand.Rand
}

// budget is what a profile may spend on retries, in thousandths of one.
type budget struct{ atomic.Int64 }

// oneRetry is the price of a retry in thousandths.
const oneRetry = 1000

// earn adds share, in thousandths, up to the reserve.
func (b *budget) earn(share int64) {
	for {
		old := b.Load()
		sum := min(old+share, Reserve*oneRetry)
		if sum == old || b.CompareAndSwap(old, sum) {
			return
		}
	}
}

// spend takes one retry if there is one.
func (b *budget) spend() bool {
	for {
		old := b.Load()
		if old < oneRetry {
			return false
		}
		if b.CompareAndSwap(old, old-oneRetry) {
			return true
		}
	}
}

// New returns a Filter in front of next. It draws its jitter from random.
func New(next request.Handler, clock clock.Clock, random *rand.Rand) *Filter {
	return &Filter{next: next, clock: clock, random: random}
}

// Serve implements request.Handler.
func (f *Filter) Serve(ctx context.Context, req *request.Request) (*request.Response, error) {
	f.earn(req)
	backoff := FirstBackoff
	ran := false
	for {
		kind := req.Kind
		resp, err := f.next.Serve(ctx, req)
		if err == nil {
			return resp, nil
		}
		refusal := request.AsRefusal(err)
		ran = ran || refusal.Code.Fate == request.Unknown
		if !safe(kind, refusal) || refusal.RetryAfter > MaxBackoff || !f.wait(ctx, req, backoff) {
			return nil, refusal.Knowing(ran)
		}
		if refusal.Code == request.CodeReplicaWrite {
			toPrimary(req)
		}
		f.Retried.Add(refusal.Code.Name, 1)
		backoff = min(2*backoff, MaxBackoff)
	}
}

// End implements request.Handler.
func (f *Filter) End(session string) { f.next.End(session) }

// safe reports whether a refused request may be sent again.
func safe(kind request.Kind, refusal *request.Refusal) bool {
	switch kind {
	case request.KindRead:
		if refusal.Code.Fate == request.Unknown {
			return true
		}
	case request.KindWrite, request.KindBegin, request.KindBeginRead:
	default:
		return false
	}
	return refusal.Code.Fate == request.NotRun && refusal.Code.Retry
}

// toPrimary makes a request that a replica refused to write one that only the primary
// serves. It counts as a write from here on.
func toPrimary(req *request.Request) {
	if req.Kind == request.KindRead {
		req.Kind = request.KindWrite
	}
}

// wait spends one retry of the budget and backs off. It reports false if the budget or
// the time is used up.
func (f *Filter) wait(ctx context.Context, req *request.Request, backoff time.Duration) bool {
	pause := f.jitter(backoff)
	if !req.Deadline.IsZero() && f.clock.Now().Add(pause).After(req.Deadline) {
		return false
	}
	if !f.spend(req.Profile.Name) {
		return false
	}
	return f.clock.Sleep(ctx, pause) == nil
}

func (f *Filter) jitter(backoff time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return backoff/2 + time.Duration(f.random.Int64N(int64(backoff)))
}

// earn adds the request's share to its profile's budget. A profile whose share is 0 has
// no budget at all.
func (f *Filter) earn(req *request.Request) {
	share := int64(req.Profile.RetryBudget * oneRetry)
	found, ok := f.budgets.Load(req.Profile.Name)
	if !ok {
		fresh := &budget{}
		fresh.Store(Reserve * oneRetry)
		found, _ = f.budgets.LoadOrStore(req.Profile.Name, fresh)
	}
	b := found.(*budget)
	if share <= 0 {
		b.Store(0)
		return
	}
	b.earn(share)
}

func (f *Filter) spend(profile string) bool {
	found, ok := f.budgets.Load(profile)
	if ok && found.(*budget).spend() {
		return true
	}
	f.Exhausted.Add(profile, 1)
	return false
}
