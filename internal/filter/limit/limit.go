// Package limit is the filter that holds each customer to its rate and burst.
//
// Invariant: a transaction is charged once, at its begin; any other statement once. What
// continues or ends a transaction is never refused here. A request is charged only if it may
// have run, so that the refusals of a group without a primary take nothing from the rate.
package limit

import (
	"context"
	"expvar"
	"time"

	"crocusyoke/internal/request"
)

const step = "limit"

// Quota holds this node's part of each customer's rate and burst.
type Quota interface {
	// Admit spends one request of the customer's. If there is none left it may wait a
	// little for more, but not beyond ctx, and else returns after how long to ask again.
	Admit(ctx context.Context, customer string) (ok bool, retryAfter time.Duration)
	// Settle is called once for each request that Admit let pass. ran is false if it provably
	// did not run.
	Settle(customer string, ran bool)
}

// Filter refuses requests beyond their customer's rate.
type Filter struct {
	next  request.Handler
	quota Quota
	// Refused counts refusals by customer.
	Refused expvar.Map
}

// New returns a Filter in front of next.
func New(next request.Handler, quota Quota) *Filter {
	return &Filter{next: next, quota: quota}
}

// Serve implements request.Handler.
func (f *Filter) Serve(ctx context.Context, req *request.Request) (*request.Response, error) {
	if !charged(req) {
		return f.next.Serve(ctx, req)
	}
	ok, wait := f.quota.Admit(ctx, req.Customer)
	if !ok {
		f.Refused.Add(req.Customer, 1)
		return nil, request.Refuse(request.CodeOverRate, step, "",
			"customer %s is over its rate, retry after %s", req.Customer, wait).After(wait)
	}
	response, err := f.next.Serve(ctx, req)
	f.quota.Settle(req.Customer, err == nil || request.AsRefusal(err).Code.Fate != request.NotRun)
	return response, err
}

// End implements request.Handler.
func (f *Filter) End(session string) { f.next.End(session) }

// charged is false for callers without a key, who have no customer to charge, and for
// what continues a transaction or only prepares.
func charged(req *request.Request) bool {
	if req.Customer == "" || req.Preparation {
		return false
	}
	switch req.Kind {
	case request.KindInTransaction, request.KindCommit, request.KindRollback:
		return false
	}
	return true
}
