// Package check verifies the recorded history of a test run, with its load and faults,
// against the rules that must always hold. It is deterministic: the same History always
// gives the same violations. Every rule is one function, and a test feeds each of them a
// history that breaks it.
package check

import "time"

// Outcome is what a caller learned about the fate of one operation.
type Outcome string

// The outcomes.
const (
	// OK means that the operation was acknowledged.
	OK Outcome = "ok"
	// NotRun means that the operation was refused and the refusal says that nothing ran.
	NotRun Outcome = "not run"
	// Unknown means that the refusal says that the outcome is unknown, or that the
	// connection broke.
	Unknown Outcome = "unknown"
	// Failed means that the database answered with an error, for instance because a
	// statement failed.
	Failed Outcome = "failed"
)

// Kind is the kind of an operation.
type Kind string

// The kinds.
const (
	// Book inserts one booking with an idempotency key.
	Book Kind = "book"
	// Transfer inserts two rows in one transaction.
	Transfer Kind = "transfer"
	// ReadOwn reads the newest booking of the same client.
	ReadOwn Kind = "read own"
	// ReadRates reads the whole rate list, as stale as its profile allows.
	ReadRates Kind = "read rates"
	// ForeignAccess connects to a service that the customer may not use.
	ForeignAccess Kind = "trespass"
)

// Op is one operation as its caller saw it. Start and End count from the start of the run.
type Op struct {
	Customer string `json:"customer"`
	KeyID    string `json:"key"`
	Service  string `json:"service"`
	Group    string `json:"group"`
	// Client is the caller's number. A client changes nodes and sends one operation at a
	// time.
	Client  int           `json:"client"`
	Node    string        `json:"node"`
	Kind    Kind          `json:"kind"`
	Start   time.Duration `json:"start"`
	End     time.Duration `json:"end"`
	Outcome Outcome       `json:"outcome"`
	// SQLState is the SQLSTATE of a refusal or failure, empty if there was none.
	SQLState string `json:"sqlstate,omitempty"`
	// Booking identifies the booking of a Book or Transfer; resends share it. Attempt
	// identifies the attempt that the rows carry; resends with the same idempotency key
	// share it too.
	Booking string `json:"booking,omitempty"`
	Attempt string `json:"attempt,omitempty"`
	// Serial is the client's running number of bookings: Book writes it, ReadOwn reads the
	// highest one.
	Serial int `json:"serial,omitempty"`
	// Replica reports whether a replica served the read.
	Replica bool `json:"replica,omitempty"`
	// Crossed reports that the answer belonged to another caller's request, Partial that
	// a part of the answer was missing.
	Crossed bool `json:"crossed,omitempty"`
	Partial bool `json:"partial,omitempty"`
	// Detail is the text of the error that the caller got.
	Detail string `json:"detail,omitempty"`
}

// Row is one row that a group holds at the end of the run.
type Row struct {
	Group    string
	Customer string
	Client   int
	Booking  string
	Attempt  string
	// Step is 1 or 2 for the rows of a transfer and 0 for a booking.
	Step int
}

// Limit is a customer's rate limit: Rate in operations per second, Burst in operations.
type Limit struct {
	Customer string
	Rate     float64
	Burst    float64
}

// Withdrawal records that the withdrawal of a key was accepted at At.
type Withdrawal struct {
	KeyID string
	At    time.Duration
}

// KeyExposure counts how often a target was sent a caller's key.
type KeyExposure struct {
	Target    string
	KeyID     string
	Exposures int
}

// Promotion is a change of a group's primary that was complete at At.
type Promotion struct {
	Group string
	Term  uint64
	At    time.Duration
}

// ConfigSample is the configuration version that was in force on a node at At. Node is the
// name of its VM.
type ConfigSample struct {
	Node    string
	At      time.Duration
	Version uint64
}

// AcceptedVersion is a configuration version whose acceptance was confirmed to an operator
// at At.
type AcceptedVersion struct {
	Version uint64
	At      time.Duration
}

// PlannedStop is a planned stop of a node. It lasts from the signal to the exit of the
// process. Node is the name that operations carry, not the name of the VM.
type PlannedStop struct {
	Node     string
	From, To time.Duration
}

// NodeDowntime is an interval in which a node was not running, was frozen or had just
// started. Node is the name of its VM.
type NodeDowntime struct {
	Node     string
	From, To time.Duration
}

// LeavingTarget counts the statements that a leaving target received after
// LeavingGracePeriod. A leaving target is one that an operator is draining.
type LeavingTarget struct {
	Target         string
	LateStatements int
}

// TargetUsage holds the limits of a target and its peak use. PeakConnections includes refused
// connections.
type TargetUsage struct {
	Target                           string
	Slots, PeakStatements            int
	ConnectionLimit, PeakConnections int
	// MayRunAbandoned reports that the target was frozen or had connections go silent.
	// Statements that were given up then may still run there unnoticed, next to later ones.
	MayRunAbandoned bool
}

// History is everything that was recorded about a run.
type History struct {
	Ops              []Op
	Rows             []Row
	Limits           []Limit
	Withdrawals      []Withdrawal
	KeyExposures     []KeyExposure
	Promotions       []Promotion
	ConfigSamples    []ConfigSample
	AcceptedVersions []AcceptedVersion
	PlannedStops     []PlannedStop
	Downtimes        []NodeDowntime
	LeavingTargets   []LeavingTarget
	Targets          []TargetUsage
	// Length is how long the run took.
	Length time.Duration
}

// Violation is one case in which a rule was broken.
type Violation struct {
	Rule   string `json:"rule"`
	Detail string `json:"detail"`
}

// Result is the outcome of one rule.
type Result struct {
	Rule string `json:"rule"`
	// Checked counts the items that the rule checked. A result with 0 proves nothing.
	Checked    int         `json:"checked"`
	Violations []Violation `json:"violations,omitempty"`
}

// Time limits that the product's specification sets.
const (
	// ConfigPropagationLimit is the longest allowed time from the acceptance of a
	// configuration version until it is in force on every node.
	ConfigPropagationLimit = 9 * time.Second
	// LeavingGracePeriod is how long a leaving target may still receive new work.
	LeavingGracePeriod = 5 * time.Second
)

type rule struct {
	name  string
	check func(*History, *ruleReport)
}

// ruleReport collects the findings of one rule.
type ruleReport struct {
	result Result
}

// rules lists all rules in the order of the specification.
var rules = []rule{
	{"read-your-writes", checkReadYourWrites},
	{"no acknowledged write is lost", checkAcknowledgedWrites},
	{"no acknowledgement by a replaced primary", checkReplacedPrimary},
	{"transactions never mix", checkTransfers},
	{"only for the customer whose key came", checkCustomerIsolation},
	{"no target sees a key", checkKeyExposure},
	{"a withdrawn key stops working", checkWithdrawnKeys},
	{"rate and burst hold in every window", checkRateLimit},
	{"each caller gets its own whole answer", checkAnswers},
	{"not run is true", checkNotRun},
	{"at most once", checkDuplicates},
	{"a leaving target gets no new work", checkLeavingTargets},
	{"a planned stop cuts no request", checkPlannedStops},
	{"configuration never reverts", checkConfigReverts},
	{"configuration is in force in time", checkConfigPropagation},
	{"slots and connections of targets hold", checkTargetLimits},
}

// CheckAll applies every rule to h and returns one result per rule.
func CheckAll(h *History) []Result {
	results := make([]Result, 0, len(rules))
	for _, r := range rules {
		rep := &ruleReport{result: Result{Rule: r.name}}
		r.check(h, rep)
		results = append(results, rep.result)
	}
	return results
}

// NoViolations reports whether all rules held.
func NoViolations(results []Result) bool {
	for _, r := range results {
		if len(r.Violations) > 0 {
			return false
		}
	}
	return true
}
