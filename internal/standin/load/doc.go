// Package load simulates callers of running nodes with an unmodified PostgreSQL driver and
// records what each of them saw, for package check to verify.
//
// A client sends one operation at a time. After a number of operations, and after every
// broken connection, it reconnects to a randomly chosen node and presents the session token
// that it received last.
package load

import (
	"sync"
	"time"

	"crocusyoke/internal/standin/check"
)

// Mix holds the share of each kind of operation, from 0 to 1. The remainder up to 1 reads
// the rate list.
type Mix struct {
	Book          float64 `toml:"book"`
	Transfer      float64 `toml:"transfer"`
	ReadOwn       float64 `toml:"read_own"`
	ForeignAccess float64 `toml:"trespass"`
}

// Customer describes the load of one customer.
type Customer struct {
	Name  string
	KeyID string
	Key   string
	// Service receives its operations. ForeignService is a service that it may not use, or
	// empty.
	Service        string
	Group          string
	ForeignService string
	// Rate, in operations per second, and Burst, in operations, are its rate limit.
	Rate  float64
	Burst float64
	// Clients is the number of its callers, OfferedRate the operations per second that they
	// send together.
	Clients     int
	OfferedRate float64
}

// Node is a node that callers may connect to.
type Node struct {
	Name    string
	Address string
}

// Options are the settings of a Generator.
type Options struct {
	Nodes     []Node
	Customers []Customer
	Mix       Mix
	Seed      uint64
	// RunName is the prefix of all names of bookings, which keeps runs on the same database
	// apart.
	RunName string
	// OperationsPerNode is how many operations a client sends before it reconnects to a node
	// chosen anew; 0 means that it does so only after failures.
	OperationsPerNode int
	// Timeout is the caller's own timeout for one operation.
	Timeout time.Duration
	// RatesProfile is the profile under which the rate list is read.
	RatesProfile string
	// OneNodePerCustomer keeps all callers of a customer on one node instead of spreading
	// them over all nodes.
	OneNodePerCustomer bool
}

// Recorder collects the operations of a run. It is safe for concurrent use.
type Recorder struct {
	start time.Time

	mu  sync.Mutex
	ops []check.Op
}

// NewRecorder returns a Recorder whose times are relative to start.
func NewRecorder(start time.Time) *Recorder { return &Recorder{start: start} }

// Now returns the time since the start of the run.
func (r *Recorder) Now() time.Duration { return time.Since(r.start) }

// Ops returns a copy of the operations, in the order in which they ended.
func (r *Recorder) Ops() []check.Op {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]check.Op(nil), r.ops...)
}

func (r *Recorder) add(op check.Op) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, op)
}
