// Package filter assembles the filter chain of an entry node.
//
// The order of the filters matters. Latency is measured around all other filters. A customer is
// charged only after its key has been checked. A retry is not charged again. The position that a
// request must see is fixed before its first attempt.
package filter

import (
	"expvar"
	"math/rand/v2"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/filter/auth"
	"crocusyoke/internal/filter/home"
	"crocusyoke/internal/filter/latency"
	"crocusyoke/internal/filter/limit"
	"crocusyoke/internal/filter/retry"
	"crocusyoke/internal/filter/route"
	"crocusyoke/internal/filter/session"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/peer"
	"crocusyoke/internal/request"
)

// Options holds the dependencies of the filters.
type Options struct {
	Config fleet.Source
	// Fresh reports whether the current configuration is recent enough to check keys against; nil
	// means always.
	Fresh  func() bool
	Quota  limit.Quota
	Clock  clock.Clock
	Random *rand.Rand
	// Local serves the groups that this node owns.
	Local    request.Handler
	Sessions peer.Sessions
	// OwnWritesOnly is true if every session is a single connection that needs to see only its
	// own writes.
	OwnWritesOnly bool
	Owners        route.Owners
	// Readers are the nodes that serve reads from the replicas of this node's failure domain; nil if there are none.
	Readers route.Readers
}

// Chain is the filter chain of an entry node. Its Handler is the first filter.
type Chain struct {
	request.Handler
	Auth    *auth.Filter
	Home    *home.Filter
	Limit   *limit.Filter
	Session *session.Filter
	Retry   *retry.Filter
	Route   *route.Filter
	Latency *latency.Filter
}

// New returns a Chain of all filters.
func New(o Options) *Chain {
	c := &Chain{}
	c.Route = route.New(o.Local, o.Sessions, o.Owners)
	c.Route.Readers = o.Readers
	c.Retry = retry.New(c.Route, o.Clock, o.Random)
	c.Session = session.New(c.Retry, o.Config)
	if o.OwnWritesOnly {
		c.Session = session.NewOwnWritesOnly(c.Retry, o.Config)
	}
	c.Limit = limit.New(c.Session, o.Quota)
	c.Home = home.New(c.Limit, o.Config)
	c.Auth = auth.New(c.Home, o.Config, o.Fresh)
	c.Latency = latency.New(c.Auth, o.Clock)
	c.Handler = c.Latency
	return c
}

// Vars returns the counters of all filters and the latency summaries.
func (c *Chain) Vars() *expvar.Map {
	all := new(expvar.Map)
	all.Set("auth_refused", &c.Auth.Refused)
	all.Set("home_bound", &c.Home.Bound)
	all.Set("home_refused", &c.Home.Refused)
	all.Set("limit_refused", &c.Limit.Refused)
	all.Set("retry_retried", &c.Retry.Retried)
	all.Set("retry_exhausted", &c.Retry.Exhausted)
	all.Set("route", &c.Route.Counts)
	all.Set("latency", c.Latency.Vars())
	return all
}
