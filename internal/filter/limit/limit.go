// Package limit is the filter that enforces each customer's rate and burst.
//
// Invariant: a transaction is charged once, when it begins; any other statement is charged
// once. A request that continues or ends a transaction is never refused here. A request is
// charged only if it may have run, so that the refusals of a group without a primary do not use
// up the customer's rate.
package limit

import (
	"context"
	"errors"
	"expvar"
	"sync/atomic"
	"time"

	"crocusyoke/internal/request"
)

const step = "limit"

const (
	// maxCountedCustomers is the number of customers whose refusals are counted one by one, so that the
	// counters stay bounded however often customers are added and removed.
	maxCountedCustomers = 10_000
	// otherCustomers is the counter of all others. No customer that is served has this name.
	otherCustomers = ""
)

// Quota manages this node's share of each customer's rate and burst.
type Quota interface {
	// Admit charges the customer for one request. If the quota is used up, it may wait briefly
	// for more, but not beyond ctx. If it returns false, retryAfter is how long the caller should
	// wait before it sends the request again. Of the customer's requests that wait, those with the lowest
	// priority are admitted first.
	Admit(ctx context.Context, customer string, priority int) (ok bool, retryAfter time.Duration)
	// Settle is called once for each request that Admit let pass. ran is false if the request
	// provably did not run, so that the charge can be returned.
	Settle(customer string, ran bool)
}

// Filter refuses requests above their customer's rate.
type Filter struct {
	next  request.Handler
	quota Quota
	// Refused counts refusals by customer, and those of customers above maxCountedCustomers together.
	Refused expvar.Map
	counted atomic.Int64
}

// New returns a Filter in front of next.
func New(next request.Handler, quota Quota) *Filter {
	return &Filter{next: next, quota: quota}
}

// Serve implements request.Handler.
func (f *Filter) Serve(ctx context.Context, req *request.Request) (*request.Response, error) {
	if !isCharged(req) {
		return f.next.Serve(ctx, req)
	}
	ok, wait := f.quota.Admit(ctx, req.Customer, req.Priority)
	if !ok {
		f.countRefusal(req.Customer)
		return nil, request.Refuse(request.CodeOverRate, step, "",
			"customer %s is over its rate, retry after %s", req.Customer, wait).WithRetryAfter(wait)
	}
	response, err := f.next.Serve(ctx, req)
	f.quota.Settle(req.Customer, err == nil || mayHaveRun(err))
	return response, err
}

func (f *Filter) countRefusal(customer string) {
	if f.Refused.Get(customer) == nil && f.counted.Add(1) > maxCountedCustomers {
		customer = otherCustomers
	}
	f.Refused.Add(customer, 1)
}

// End implements request.Handler.
func (f *Filter) End(session string) { f.next.End(session) }

// mayHaveRun reports whether a target may have run something of a refused request, be it that nothing of
// it is kept: the beginning of a transaction that was lost is refused as not run.
func mayHaveRun(err error) bool {
	refusal := request.AsRefusal(err)
	for refusal.Code.Fate == request.NotRun {
		var cause *request.Refusal
		if !errors.As(refusal.Cause, &cause) {
			return false
		}
		refusal = cause
	}
	return true
}

// isCharged reports whether a request counts against a customer's rate. Callers without a key
// have no customer to charge; requests that continue or end a transaction and preparations
// are free.
func isCharged(req *request.Request) bool {
	if req.Customer == "" || req.PrepareOnly {
		return false
	}
	switch req.Kind {
	case request.KindInTransaction, request.KindCommit, request.KindRollback:
		return false
	}
	return true
}
