// Package filter puts the filters of an entry node in their order.
//
// The order matters: latency is measured around all else, nothing is charged to a customer before its key has been checked,
// a retry is not charged again, and the position that a request must see is fixed before
// its first try.
package filter

import (
	"expvar"
	"math/rand/v2"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/filter/auth"
	"crocusyoke/internal/filter/latency"
	"crocusyoke/internal/filter/limit"
	"crocusyoke/internal/filter/retry"
	"crocusyoke/internal/filter/route"
	"crocusyoke/internal/filter/session"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/peer"
	"crocusyoke/internal/request"
)

// Options are what the filters need.
type Options struct {
	Config fleet.Source
	// Fresh reports whether the configuration in force may be relied on; nil means always.
	Fresh  func() bool
	Quota  limit.Quota
	Clock  clock.Clock
	Random *rand.Rand
	// Local serves the groups that this node owns.
	Local    request.Handler
	Sessions peer.Sessions
	// Plain is true where a session is one connection and needs to see its own writes only.
	Plain  bool
	Owners route.Owners
}

// Chain is an entry node's filters, first to last. Its Handler is the first.
type Chain struct {
	request.Handler
	Auth    *auth.Filter
	Limit   *limit.Filter
	Session *session.Filter
	Retry   *retry.Filter
	Route   *route.Filter
	Latency *latency.Filter
}

// New builds a Chain.
func New(o Options) *Chain {
	c := &Chain{}
	c.Route = route.New(o.Local, o.Sessions, o.Owners)
	c.Retry = retry.New(c.Route, o.Clock, o.Random)
	c.Session = session.New(c.Retry, o.Config)
	if o.Plain {
		c.Session = session.NewPlain(c.Retry, o.Config)
	}
	c.Limit = limit.New(c.Session, o.Quota)
	c.Auth = auth.New(c.Limit, o.Config, o.Fresh)
	c.Latency = latency.New(c.Auth, o.Clock)
	c.Handler = c.Latency
	return c
}

// Vars returns the counters of all filters.
func (c *Chain) Vars() *expvar.Map {
	all := new(expvar.Map)
	all.Set("auth_refused", &c.Auth.Refused)
	all.Set("limit_refused", &c.Limit.Refused)
	all.Set("retry_retried", &c.Retry.Retried)
	all.Set("retry_exhausted", &c.Retry.Exhausted)
	all.Set("route", &c.Route.Counts)
	all.Set("latency", c.Latency.Vars())
	return all
}
