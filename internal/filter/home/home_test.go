package home

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/region"
	"crocusyoke/internal/request"
)

// last is a handler that keeps the last request, and the source of its configuration.
type last struct {
	req    *request.Request
	config *fleet.Config
}

func (l *last) Serve(_ context.Context, req *request.Request) (*request.Response, error) {
	l.req = req
	return &request.Response{}, nil
}

func (l *last) End(string) {}

func (l *last) Current() *fleet.Config { return l.config }

// TestRequestHasTheHomesOfBoth guards against a request that is bound to the homes of its service or its customer
// alone, and against one that goes on though they have no home in common.
func TestRequestHasTheHomesOfBoth(t *testing.T) {
	next := &last{config: &fleet.Config{
		Services: []fleet.Service{{Name: "free"}, {Name: "ledger", HomeRegions: []string{"east", "west"}}},
		Customers: []fleet.Customer{
			{Name: "any"},
			{Name: "west", HomeRegions: []string{"west", "north"}},
			{Name: "north", HomeRegions: []string{"north"}},
		},
	}}
	f := New(next, next)
	serve := func(service, customer string, kind request.Kind) (region.Set, error) {
		next.req = nil
		_, err := f.Serve(t.Context(), &request.Request{Service: service, Customer: customer, Kind: kind})
		if next.req == nil {
			return region.None, err
		}
		return next.req.HomeRegions, err
	}
	for _, c := range []struct{ service, customer, want string }{
		{"free", "any", "any"},
		{"ledger", "any", "east,west"},
		{"free", "west", "north,west"},
		{"ledger", "west", "west"},
		{"ledger", "", "east,west"},
	} {
		homes, err := serve(c.service, c.customer, request.KindWrite)
		must.NoError(t, err)
		must.Eq(t, c.want, homes.String())
	}
	_, err := serve("ledger", "north", request.KindRead)
	must.Eq(t, request.CodeOutsideHome, request.AsRefusal(err).Code)
	must.Nil(t, next.req)
	must.Eq(t, 1, f.Refused.Value())
	homes, err := serve("ledger", "north", request.KindCommit)
	must.NoError(t, err)
	must.Eq(t, region.None, homes)
	next.config = nil
	_, err = serve("free", "any", request.KindRead)
	must.Eq(t, request.CodeOutsideHome, request.AsRefusal(err).Code)
}
