package soak

import (
	"encoding/json"
	"fmt"
	"time"
)

// The kinds of routes: reads and writes at the primary, reads of a bounded age, and reads of the
// session's own writes.
const (
	kindOrders = "orders"
	kindProofs = "proofs"
	kindJobs   = "jobs"
)

var kinds = []string{kindOrders, kindProofs, kindJobs}

// routeTypes are the platform's names of the kinds of routes.
var routeTypes = map[string]string{kindOrders: "primary", kindProofs: "bounded_staleness", kindJobs: "read_your_writes"}

// timeouts are the time-outs of a statement by the kind of its route.
var timeouts = map[string]time.Duration{kindOrders: time.Second, kindProofs: 3 * time.Second, kindJobs: time.Second}

// maxStalenessMS is the highest age of what is read on routes that bound it.
const maxStalenessMS = 1500

// route is a database as callers see it.
type route struct {
	name, kind string
	database   *database
}

// configuration says what differs from the usual configuration.
type configuration struct {
	withoutKey  bool // changingKey is withdrawn
	withoutJobs bool // the routes of kindJobs are dropped
	extraRoutes int
}

// configure writes the next version of the configuration.
func (r *run) configure(c configuration) {
	keys := []string{steadyKey}
	if !c.withoutKey {
		keys = append(keys, changingKey)
	}
	var routes, services []any
	add := func(name, kind string, d *database) {
		routes = append(routes, map[string]any{
			"name": name, "database": name, "type": routeTypes[kind], "timeout_ms": timeouts[kind].Milliseconds(),
			"service": d.group.Name, "max_staleness_ms": maxStalenessMS,
		})
	}
	for _, d := range r.databases {
		services = append(services, map[string]any{"name": d.group.Name, "max_conns": 50})
		for _, kind := range kinds {
			if kind != kindJobs || !c.withoutJobs {
				add(d.group.Name+"-"+kind, kind, d)
			}
		}
	}
	for i := range c.extraRoutes {
		add(fmt.Sprint("extra", i), kindOrders, r.databases[0])
	}
	value, _ := json.Marshal(map[string]any{
		"version": r.version.Add(1), "routes": routes, "services": services,
		"tenants": []any{map[string]any{"name": "maker", "api_keys": keys, "rate_per_s": 10000, "burst": 10000}},
	})
	r.store.Put("op", "config", value)
}
