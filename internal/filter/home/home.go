// Package home is the filter that binds each request to the home regions of its service and its customer.
//
// Invariant: no request goes on without the homes that the configuration in force gives it. One whose service and
// customer have no home in common is refused as not run; if it belongs to an open transaction it goes on with no home
// at all, so that whoever holds the transaction ends it.
package home

import (
	"context"
	"expvar"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/region"
	"crocusyoke/internal/request"
)

const step = "home"

// Filter sets HomeRegions of each request.
type Filter struct {
	next   request.Handler
	source fleet.Source
	// Refused counts the requests without a home in common, Bound those that have homes.
	Refused, Bound expvar.Int
}

// New returns a Filter in front of next.
func New(next request.Handler, source fleet.Source) *Filter {
	return &Filter{next: next, source: source}
}

// Serve implements request.Handler.
func (f *Filter) Serve(ctx context.Context, req *request.Request) (*request.Response, error) {
	req.HomeRegions = f.homesOf(req)
	if req.HomeRegions != region.Any {
		f.Bound.Add(1)
	}
	if req.HomeRegions == region.None && !req.Kind.IsInTransaction() {
		f.Refused.Add(1)
		return nil, request.Refuse(request.CodeOutsideHome, step, "",
			"service %s and customer %s have no home region in common", req.Service, req.Customer)
	}
	return f.next.Serve(ctx, req)
}

func (f *Filter) homesOf(req *request.Request) region.Set {
	config := f.source.Current()
	if config == nil {
		return region.None
	}
	var ofService, ofCustomer []string
	if s := config.Service(req.Service); s != nil {
		ofService = s.HomeRegions
	}
	if c := config.Customer(req.Customer); c != nil {
		ofCustomer = c.HomeRegions
	}
	if len(ofService) == 0 && len(ofCustomer) == 0 {
		return region.Any
	}
	return region.Homes(ofService, ofCustomer)
}

// End implements request.Handler.
func (f *Filter) End(session string) { f.next.End(session) }
