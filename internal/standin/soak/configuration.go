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

// priorities are the priorities of routes by their kind, where they have any; 0 is the most urgent.
var priorities = map[string]int{kindOrders: 0, kindJobs: 1, kindProofs: 2}

// maxStalenessMS is the highest age of what is read on routes that bound it.
const maxStalenessMS = 1500

// route is a database as callers see it.
type route struct {
	name, kind string
	database   *database
}

// customer is a customer, with one of its keys.
type customer struct{ name, key string }

// changingCustomer has a key that is withdrawn at times; the keys of customers never are.
var (
	changingCustomer = customer{name: "maker", key: "changing-key"}
	customers        = []customer{{name: "maker", key: "steady-key"}, {name: "maker-b", key: "second-key"}, {name: "READ", key: "third-key"}}
)

// pressingCustomer sends more than its rate allows.
var pressingCustomer = customer{name: "presser", key: "pressing-key"}

// configuration says what differs from the usual configuration.
type configuration struct {
	withoutKey  bool // the key of changingCustomer is withdrawn
	withoutJobs bool // the routes of kindJobs are dropped
	extraRoutes int
	loweredRate bool // the rate of pressingCustomer is loweredPressingRate
}

// rate returns the rate of pressingCustomer in operations per second.
func (c configuration) rate() int {
	if c.loweredRate {
		return loweredPressingRate
	}
	return pressingRate
}

// configure writes the next version of the configuration.
func (r *run) configure(c configuration) {
	c.loweredRate = r.lowering > 0
	hasPlaces := r.options.hasPlaces()
	tenants := []any{map[string]any{
		"name": pressingCustomer.name, "api_keys": []string{pressingCustomer.key}, "rate_per_s": c.rate(), "burst": pressingBurst,
	}}
	for _, customer := range customers {
		keys := []string{customer.key}
		if customer.name == changingCustomer.name && !c.withoutKey {
			keys = append(keys, changingCustomer.key)
		}
		tenant := map[string]any{"name": customer.name, "api_keys": keys, "rate_per_s": 10000, "burst": 10000}
		if hasPlaces {
			tenant["allowed_regions"] = customerHomes[customer.name]
		}
		tenants = append(tenants, tenant)
	}
	var routes, services []any
	add := func(name, kind string, d *database) {
		route := map[string]any{
			"name": name, "database": name, "type": routeTypes[kind], "timeout_ms": timeouts[kind].Milliseconds(),
			"service": d.group.Name, "max_staleness_ms": maxStalenessMS,
		}
		if hasPlaces {
			route["allowed_regions"], route["prio"] = routeHomes[name], priorities[kind]
		}
		routes = append(routes, route)
	}
	for _, d := range r.databases {
		service := map[string]any{"name": d.group.Name, "max_conns": 50, "sync_replicas": d.group.SyncReplicas}
		if hasPlaces {
			service["cold_start_s"], service["cold_per_s"] = coldStart.Seconds(), coldRate
		}
		services = append(services, service)
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
		"tenants": tenants,
	})
	r.writing.Lock()
	defer r.writing.Unlock()
	r.document = value
	r.inForce.noteSent(c, time.Now())
	r.store.Put("op", "config", value)
	r.inForce.noteAck(time.Now())
}
