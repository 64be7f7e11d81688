package deploy

import (
	"time"

	"github.com/zeebo/errs"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/settings"
)

// Error is the class of this package's errors.
var Error = errs.Class("deploy")

// Names of the plans.
const (
	Trust   = "trust"
	Bindery = "bindery"
)

// targetsPerService is the number of targets in each service's group.
const targetsPerService = 3

// Plan describes the size, limits and delays of a deployment.
type Plan struct {
	Name    string
	Domains []string
	// Nodes is the number of VMs that run a node.
	Nodes    int
	Services []string
	// Slots and Connections are the limits of each target: statements that it executes at once,
	// and open connections.
	Slots       int
	Connections int
	// ServiceTime delays every statement at a target, Lag delays replication, and AcceptDelay
	// delays the opening of a connection to a target.
	ServiceTime time.Duration
	Lag         time.Duration
	AcceptDelay time.Duration
	// Echo has targets respond to every statement immediately from memory.
	Echo bool
	// Profiling enables the nodes' pprof endpoints.
	Profiling bool
	// DomainDelay and CallerDelay are the one-way network delays between failure domains and
	// between callers and nodes.
	DomainDelay time.Duration
	CallerDelay time.Duration
	Customers   []CustomerPlan
	// Policy is the policy of every node; the zero value selects the proxy's defaults.
	Policy   settings.Policy
	Profiles []fleet.Profile
	// Profile is the name of the services' default profile.
	Profile string
	// Open is the name of a service on the first service's group that every caller may read,
	// also without a key; empty for none. OpenProfile is its default profile.
	Open        string
	OpenProfile string
}

// CustomerPlan holds one customer's limits: Rate in requests per second, Burst in requests, and
// Weight, its share of a contended target relative to the other customers.
type CustomerPlan struct {
	Name   string
	Rate   float64
	Burst  float64
	Weight int
}

// Limits of large and small customers. Rates are in requests per second, bursts in requests.
const (
	largeRate   = 300
	largeBurst  = 150
	largeWeight = 4
	smallRate   = 60
	smallBurst  = 30
	smallWeight = 1
)

// NewPlan returns the plan called name, which is Trust or Bindery.
func NewPlan(name string) (Plan, error) {
	switch name {
	case Trust:
		return trustPlan(), nil
	case Bindery:
		return binderyPlan(), nil
	}
	return Plan{}, Error.New("%q is neither %s nor %s", name, Trust, Bindery)
}

func trustPlan() Plan {
	return Plan{
		Name:        Trust,
		Domains:     []string{"rajkot-a", "morbi-b", "jamnagar-c", "bhavnagar-d"},
		Nodes:       6,
		Services:    []string{"ledger-orders", "ledger-transfers", "ledger-dispatch"},
		Slots:       5,
		Connections: 35,
		ServiceTime: time.Millisecond,
		Lag:         time.Millisecond,
		AcceptDelay: 12 * time.Millisecond,
		DomainDelay: time.Millisecond,
		CallerDelay: 3 * time.Millisecond,
		Customers: customerPlans("kirana-rajkot", "kirana-morbi", "canteens",
			"hostel-vidya", "hostel-sagar", "maker-sand", "maker-windup", "kirana-wadhwan"),
		Profiles: []fleet.Profile{
			{
				Name: "booking", Reads: fleet.ReadsSession, Confirm: fleet.ConfirmMajority,
				ReplicaWait: millis(20), RetryBudget: 0.1, Timeout: seconds(5),
			},
			{
				Name: "dispatch", Reads: fleet.ReadsAge, MaxAge: seconds(2), Confirm: fleet.ConfirmMajority,
				ReplicaWait: millis(20), RetryBudget: 0.1, Timeout: seconds(3),
			},
			{
				Name: "rates", Reads: fleet.ReadsAge, MaxAge: seconds(60), Confirm: fleet.ConfirmMajority,
				ReplicaWait: millis(5), RetryBudget: 0.05, Timeout: seconds(2),
			},
		},
		Profile:     "booking",
		Open:        "shop-rates",
		OpenProfile: "rates",
	}
}

func binderyPlan() Plan {
	return Plan{
		Name:        Bindery,
		Domains:     []string{"tx-central-a", "tx-central-b", "tx-central-c"},
		Nodes:       6,
		Services:    []string{"orders-proofs", "orders-layouts", "orders-press"},
		Slots:       5,
		Connections: 50,
		ServiceTime: time.Millisecond,
		Lag:         500 * time.Microsecond,
		AcceptDelay: 12 * time.Millisecond,
		DomainDelay: 500 * time.Microsecond,
		CallerDelay: time.Millisecond,
		Customers: customerPlans("studio-austin", "studio-waco", "photo-alamo",
			"photo-brazos", "albums-lone-star", "weddings-hill", "grads-concho", "proofs-llano"),
		Profiles: []fleet.Profile{
			{
				Name: "order", Reads: fleet.ReadsSession, Confirm: fleet.ConfirmMajority,
				ReplicaWait: millis(10), RetryBudget: 0.1, Timeout: seconds(5),
			},
			{
				Name: "preview", Reads: fleet.ReadsAge, MaxAge: seconds(1), Confirm: fleet.ConfirmMajority,
				ReplicaWait: millis(10), RetryBudget: 0.1, Timeout: seconds(2),
			},
		},
		Profile: "order",
	}
}

// customerPlans returns large customers for the first three names and small ones for the rest.
func customerPlans(names ...string) []CustomerPlan {
	const largeCount = 3
	all := make([]CustomerPlan, len(names))
	for i, name := range names {
		all[i] = CustomerPlan{Name: name, Rate: smallRate, Burst: smallBurst, Weight: smallWeight}
		if i < largeCount {
			all[i] = CustomerPlan{Name: name, Rate: largeRate, Burst: largeBurst, Weight: largeWeight}
		}
	}
	return all
}

func millis(n int) fleet.Duration { return fleet.Duration(time.Duration(n) * time.Millisecond) }

func seconds(n int) fleet.Duration { return fleet.Duration(time.Duration(n) * time.Second) }
