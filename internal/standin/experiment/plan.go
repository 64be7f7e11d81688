// Package experiment runs a plan from a file against real processes: it starts a deployment,
// sends load, injects faults at their times, and lets package check verify the recorded
// history.
package experiment

import (
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/zeebo/errs"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/settings"
	"crocusyoke/internal/standin/load"
)

// Error is the class of this package's errors.
var Error = errs.Class("experiment")

// Plan describes one experiment. It is read from a TOML file.
type Plan struct {
	Name       string `toml:"name"`
	Deployment string `toml:"deployment"`
	Seed       uint64 `toml:"seed"`
	// Length is how long load is sent.
	Length fleet.Duration `toml:"length"`
	// ServiceTime is added to the run time of every statement at the targets; zero means the
	// deployment's value.
	ServiceTime fleet.Duration `toml:"service_time"`
	// Policy is the nodes' policy; the zero value is the product's default.
	Policy settings.Policy `toml:"policy"`
	// MaxGap is the longest allowed time between two acknowledged writes of a group; zero
	// means DefaultMaxGap.
	MaxGap fleet.Duration `toml:"max_gap"`
	// MaxWrongRefusals is the highest allowed share of operations that are refused for their
	// rate although their customer keeps within it. MinWorstSuccess is the lowest allowed
	// share of successful operations of the worst-served customer within its rate. Zero
	// means no bound.
	MaxWrongRefusals float64 `toml:"max_wrong_refusals"`
	MinWorstSuccess  float64 `toml:"min_worst_success"`
	Load             Load    `toml:"load"`
	Events           []Event `toml:"event"`
}

// Load describes the load of a plan.
type Load struct {
	// Share is the offered load of each customer divided by its rate limit.
	Share float64 `toml:"share"`
	// Clients is the number of callers of each customer.
	Clients int `toml:"clients"`
	// OperationsPerNode is the number of operations that a caller sends between two changes
	// of node; 0 means that it changes nodes only after failures.
	OperationsPerNode int `toml:"roam"`
	// OneNodePerCustomer keeps all callers of a customer on one node.
	OneNodePerCustomer bool     `toml:"home"`
	Mix                load.Mix `toml:"mix"`
}

// Action is the kind of fault or change that an Event causes.
type Action string

// The actions. They apply to the Node, Target or Customer of their Event.
const (
	// KillNode kills a node. After a time, its VM leaves the platform's list and a new VM
	// starts in its place.
	KillNode Action = "kill node"
	// FreezeNode suspends a node's process for a time.
	FreezeNode Action = "freeze node"
	// StopNode stops a node gracefully, then starts a new VM in its place.
	StopNode Action = "stop node"
	// ReplaceNodes stops and replaces every node in the same way, one after another.
	ReplaceNodes Action = "roll nodes"
	// KillTarget kills a target and restarts it after a time.
	KillTarget Action = "kill target"
	// FreezeTarget stops all answers and log pulls of a target for a time.
	FreezeTarget Action = "freeze target"
	// IsolateTarget blocks replication from a target for a time; nodes can still reach it.
	IsolateTarget Action = "cut target"
	// DelayReplication delays the log of a replica by Amount for a time.
	DelayReplication Action = "lag target"
	// SilenceConnections makes a share of a target's open connections stop answering
	// without closing them.
	SilenceConnections Action = "silence target"
	// LeaveTarget drains a target with the operators' command.
	LeaveTarget Action = "leave target"
	// StoreOutage makes the platform refuse every call for a time.
	StoreOutage Action = "store outage"
	// StoreSlow delays every call to the platform by Amount for a time.
	StoreSlow Action = "store slow"
	// StoreLosesAnswers makes the platform drop the answers to a share of writes for a time.
	StoreLosesAnswers Action = "store loses answers"
	// WithdrawKey withdraws a customer's key; its callers keep using it.
	WithdrawKey Action = "withdraw key"
	// RaceOperators has two operators change the configuration at the same time, Rounds
	// times.
	RaceOperators Action = "race operators"
	// Overload adds callers to a customer for a time; they offer LoadFactor times its rate.
	Overload Action = "storm"
)

// Event is one fault or change at a given time of a run. An Action uses only some of the
// fields.
type Event struct {
	At     fleet.Duration `toml:"at"`
	Action Action         `toml:"action"`
	// Node is a node's number, counted from 1, or 0 for the owner of Group.
	Node int `toml:"node"`
	// Group is the number of a service, counted from 1.
	Group int `toml:"group"`
	// Target is "primary" or "replica" and selects a target of Group.
	Target string `toml:"target"`
	// Customer is a customer's number, counted from 1.
	Customer int `toml:"customer"`
	// ActionDuration is how long the action lasts, Amount the delay that it adds.
	ActionDuration fleet.Duration `toml:"for"`
	Amount         fleet.Duration `toml:"amount"`
	// Share is a number from 0 to 1.
	Share      float64 `toml:"share"`
	LoadFactor float64 `toml:"factor"`
	Rounds     int     `toml:"times"`
}

// DefaultMaxGap is the specification's limit on the time that a change of primary takes.
const DefaultMaxGap = 13 * time.Second

// LoadPlan reads and validates a plan from a TOML file. Unknown fields are errors.
func LoadPlan(path string) (*Plan, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer file.Close()
	plan := &Plan{}
	if err := toml.NewDecoder(file).DisallowUnknownFields().Decode(plan); err != nil {
		return nil, Error.New("%s: %w", path, err)
	}
	if err := plan.validate(); err != nil {
		return nil, Error.New("%s: %w", path, err)
	}
	return plan, nil
}

// changesPrimary reports whether the plan contains a fault that makes a group promote a new
// primary.
func (p *Plan) changesPrimary() bool {
	return slices.ContainsFunc(p.Events, func(e Event) bool {
		return e.Target == "primary" && (e.Action == KillTarget || e.Action == FreezeTarget || e.Action == IsolateTarget || e.Action == LeaveTarget)
	})
}

func (p *Plan) validate() error {
	var group errs.Group
	if p.Length <= 0 {
		group.Add(errs.New("length must be positive"))
	}
	if p.Load.Share <= 0 || p.Load.Clients <= 0 {
		group.Add(errs.New("load.share and load.clients must be positive"))
	}
	if p.MaxGap == 0 {
		p.MaxGap = fleet.Duration(DefaultMaxGap)
	}
	for i, event := range p.Events {
		if _, ok := actions[event.Action]; !ok {
			group.Add(errs.New("event %d: unknown action %q", i+1, event.Action))
		}
		if event.At >= p.Length {
			group.Add(errs.New("event %d: time %v is not before the end of the run", i+1, event.At.Std()))
		}
	}
	return group.Err()
}

// Baseline returns the simple policy that the product's default is compared with: first in
// first out, reads only at the primary, connections split evenly among nodes.
func Baseline(nodes int) settings.Policy {
	return settings.Policy{Scheduling: "fifo", Reads: "primary-only", Split: nodes}
}

// policyName returns a description of the plan's policy for reports.
func (p *Plan) policyName() string {
	if p.Policy == (settings.Policy{}) {
		return "default"
	}
	return fmt.Sprintf("%s, %s, split %d", p.Policy.Scheduling, p.Policy.Reads, p.Policy.Split)
}

// Variant returns a copy of the plan for a deployment. If baseline is true, it uses the policy
// Baseline(nodes).
func (p *Plan) Variant(deployment string, baseline bool, nodes int) *Plan {
	v := *p
	v.Deployment = deployment
	v.Name += "-" + deployment
	if baseline {
		v.Policy = Baseline(nodes)
		v.Name += "-baseline"
	}
	return &v
}

// IsBaseline reports whether the plan runs with another policy than the product's default.
// Such a run is for comparison only and may break rules and bounds.
func (p *Plan) IsBaseline() bool { return p.Policy != (settings.Policy{}) }
