// Package owner serves requests on the node that owns a database group. It chooses a target,
// waits for one of the target's slots, runs the exchange on a connection and returns the
// answer once it is confirmed.
//
// The packages choose, schedule, evidence and gap make the decisions. This package does the
// I/O: it passes messages and times between them, the connections (package pool) and the
// callers.
//
// Invariants:
//   - A refusal whose fate is "not run" is returned only if nothing was sent to a target, or
//     if the target itself reported that nothing ran.
//   - A request whose outcome is unknown is never sent again, unless it is a read.
//   - A write is acknowledged only after its commit is confirmed.
//
// None of the invariants depends on a group having only one owner.
package owner

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/contain"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/owner/choose"
	"crocusyoke/internal/owner/coldstart"
	"crocusyoke/internal/owner/evacuate"
	"crocusyoke/internal/owner/schedule"
	"crocusyoke/internal/region"
	"crocusyoke/internal/request"
	"crocusyoke/internal/target"

	"github.com/go-kit/log"
)

// ExchangeFunc runs a request that carries an idempotency key on conn. repeated is true if
// the reply is the recorded outcome of an earlier run. sent is false if nothing reached the
// target. An error that is a *request.Refusal is returned to the caller unchanged.
type ExchangeFunc func(ctx context.Context, conn target.Conn, req *request.Request) (reply target.Reply, repeated, sent bool, err error)

// contained returns f, except that a panic becomes an error, and the request counts as sent.
func (f ExchangeFunc) contained() ExchangeFunc {
	if f == nil {
		return nil
	}
	return func(ctx context.Context, conn target.Conn, req *request.Request) (reply target.Reply, repeated, sent bool, err error) {
		sent = true
		reply, err = contain.Call("exchange", func() (answer target.Reply, err error) {
			answer, repeated, sent, err = f(ctx, conn, req)
			return answer, err
		})
		return reply, repeated, sent, err
	}
}

// Times holds the timeouts of transactions, waiting requests and unused groups. A zero field
// takes its default.
type Times struct {
	// TransactionIdleTimeout is how long a transaction may wait for its next statement before it is
	// rolled back.
	TransactionIdleTimeout time.Duration
	// TransactionTotal is how long a transaction may stay open before it is rolled back.
	TransactionTotal time.Duration
	// PrimaryWait is how long a request may wait until the group has a primary.
	PrimaryWait time.Duration
	// CancelWait is how long a cancelled statement may take to answer before its connection
	// is closed.
	CancelWait time.Duration
	// IdleGroup is how long a group that this node does not own is kept without requests.
	IdleGroup time.Duration
}

// Defaults of Times. DefaultTimeout applies to requests without a deadline.
const (
	DefaultTransactionIdle  = 10 * time.Second
	DefaultTransactionTotal = 60 * time.Second
	DefaultPrimaryWait      = 3 * time.Second
	DefaultCancelWait       = 200 * time.Millisecond
	DefaultIdleGroup        = 30 * time.Second
	DefaultTimeout          = 10 * time.Second
)

// Options of a Manager.
type Options struct {
	// Self is the node's name and Domain its failure domain.
	Self   string
	Domain string
	Dialer target.Dialer
	Clock  clock.Clock
	// Suspended returns the total time that the VM has been suspended, which Clock does not
	// count. nil means never.
	Suspended func() time.Duration
	Config    fleet.Source
	// Logger may be nil.
	Logger log.Logger
	// Scheduling and Reads default to schedule.Fair and choose.Replicas.
	Scheduling schedule.Policy
	Reads      choose.Policy
	// HeldTerms is true for targets whose terms are held: a target that adopts a term keeps
	// it only until it restarts or is released (see evidence.Options).
	HeldTerms bool
	// FailFastWithoutPrimary refuses a request that needs a primary at once if no primary can
	// be expected before its deadline. If false, such requests wait up to Times.PrimaryWait.
	FailFastWithoutPrimary bool
	// Split is 0 where groups have owners. In the baseline without owners it is the number
	// of nodes among which each target's slots and connections are divided evenly.
	Split int
	// Priorities orders requests by their Priority wherever they wait for a slot or a connection or are refused.
	Priorities bool
	Times      Times
	// EvacuationBound is how long after an evacuation was ordered requests may still reach the targets; 0 means
	// evacuate.DefaultBound.
	EvacuationBound time.Duration
	// Database returns the name of the database to connect to in a group's targets. nil
	// means the group's own name.
	Database func(group string) string
	// Idempotent runs a write, and IdempotentBegin the start of a transaction, that carries
	// an idempotency key. nil means a plain exchange.
	Idempotent      ExchangeFunc
	IdempotentBegin ExchangeFunc
	// Observe is called after every successful poll, Declined after every one that failed with
	// target.ErrDeclined and Unreachable after any other failed one, from the poller's goroutine.
	// They may be nil.
	Observe     func(group string, sentAt time.Time, status target.Status)
	Declined    func(group, targetName string, sentAt time.Time)
	Unreachable func(group, targetName string, sentAt time.Time)
	// HasReader reports whether another node is the reader of a group's replicas in a failure domain. nil means never.
	HasReader func(group, domain string) bool
	// SoleOrderer reports whether both of these hold: this node is the only one that may order
	// promotions of the group at present, and no promotion to a term above highest has been
	// requested (see evidence.Group.SetSoleOrderer). nil means never.
	SoleOrderer func(group string, highest uint64) bool
	// Regions holds the region of each failure domain (package region).
	Regions region.Map
	// Cold bounds what a cold target gets. ColdHolder returns the fence of the group's lease and whether this node holds
	// it now, TargetLife what a target's entries tell of its process. Without these three no target counts as cold.
	Cold       coldstart.Bound
	ColdHolder func(group string) (fence uint64, held bool)
	TargetLife func(targetName string) coldstart.Life
	// EvenLoad spreads reads evenly over replicas that several nodes use (package balance). Random is the source of its
	// draws; nil means math/rand.
	EvenLoad bool
	Random   func() uint64
}

// Manager serves the requests of every group. It is safe for concurrent use.
type Manager struct {
	options     Options
	counts      *counters
	slotWaiters sync.Pool
	coldWindows coldWindows

	mu        sync.RWMutex
	groups    map[string]*group
	owned     map[string]bool
	reads     map[string]bool
	exclusive map[string]bool
	released  map[string]bool
	draining  bool
}

var _ request.Handler = (*Manager)(nil)

// New returns a Manager without groups.
func New(options Options) *Manager {
	if options.Clock == nil {
		options.Clock = clock.Wall{}
	}
	if options.Logger == nil {
		options.Logger = log.NewNopLogger()
	}
	if options.Database == nil {
		options.Database = func(group string) string { return group }
	}
	if options.Suspended == nil {
		options.Suspended = func() time.Duration { return 0 }
	}
	if options.Random == nil {
		options.Random = rand.Uint64
	}
	options.Times = options.Times.withDefaults()
	if options.EvacuationBound == 0 {
		options.EvacuationBound = evacuate.DefaultBound
	}
	options.Idempotent = options.Idempotent.contained()
	options.IdempotentBegin = options.IdempotentBegin.contained()
	return &Manager{
		options:   options,
		counts:    newCounters(options.Priorities),
		groups:    make(map[string]*group),
		owned:     make(map[string]bool),
		reads:     make(map[string]bool),
		exclusive: make(map[string]bool),
		released:  make(map[string]bool),
	}
}

// Serve implements request.Handler.
func (m *Manager) Serve(ctx context.Context, req *request.Request) (*request.Response, error) {
	began := m.options.Clock.Now()
	g, refusal := m.groupFor(req)
	if refusal == nil {
		var response *request.Response
		response, refusal = g.serve(ctx, req)
		if refusal == nil {
			response.Times.AtOwner = m.options.Clock.Now().Sub(began)
			m.counts.countServed(req, response)
			return response, nil
		}
	}
	m.recordRefusal(req, refusal)
	return nil, refusal
}

// End implements request.Handler.
func (m *Manager) End(session string) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, g := range m.groups {
		g.endSession(session)
	}
}

// SetOwned sets whether this node owns the group. An owned group is polled even without
// requests, and it is not released any further unless the node stops.
func (m *Manager) SetOwned(name string, owned bool) {
	m.mu.Lock()
	m.owned[name] = owned
	if owned {
		delete(m.released, name)
	} else {
		delete(m.owned, name)
	}
	g := m.groups[name]
	if g != nil && owned && !m.draining {
		g.resume()
	}
	m.mu.Unlock()
	if g != nil {
		g.setOwned(owned)
	}
	if owned {
		_, _ = m.groupOf(name)
	}
}

// SetExclusive sets whether every former owner has released the group, so that this node may
// use all of the targets' data connections rather than half of them. This is safe only if the
// next owner opens no connection until Release has returned on this node, or until this node
// has stopped for good.
func (m *Manager) SetExclusive(name string, exclusive bool) {
	m.mu.Lock()
	if exclusive {
		m.exclusive[name] = true
	} else {
		delete(m.exclusive, name)
	}
	g := m.groups[name]
	m.mu.Unlock()
	if g != nil {
		g.setExclusive(exclusive)
	}
}

// Release prepares the handover of a group to another owner. It refuses new work as not run,
// lets active requests and open transactions finish until ctx ends, then closes every
// connection. It returns once no connection is open, or an error if some do not close in time.
// Requests for the group are refused until SetOwned marks it as owned again, which ends a release
// that still waits.
func (m *Manager) Release(ctx context.Context, name string) error {
	m.mu.Lock()
	m.released[name] = true
	delete(m.owned, name)
	delete(m.exclusive, name)
	g := m.groups[name]
	m.mu.Unlock()
	if g == nil {
		return nil
	}
	released, err := g.release(ctx)
	if released {
		m.remove(g)
	}
	return err
}

// Drain refuses new groups and releases every existing one. It returns the first error once
// all releases have returned.
func (m *Manager) Drain(ctx context.Context) error {
	m.mu.Lock()
	m.draining = true
	names := make([]string, 0, len(m.groups))
	for name := range m.groups {
		names = append(names, name)
	}
	m.mu.Unlock()
	results := make(chan error, len(names))
	for _, name := range names {
		go func() { results <- m.Release(ctx, name) }()
	}
	var first error
	for range names {
		if err := <-results; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// groupFor returns the runtime of the request's group. That a configuration older than the one under
// which the request was admitted lacks the group does not show that the service is unknown.
func (m *Manager) groupFor(req *request.Request) (*group, *request.Refusal) {
	g, refusal := m.groupOf(req.Group)
	if refusal != nil && m.isReopened(req) {
		g, refusal = m.groupOf(req.Group)
	}
	if refusal == nil || refusal.Code != request.CodeUnknownService {
		return g, refusal
	}
	if inForce := m.options.Config.Current().Version; inForce < req.ConfigVersion {
		refusal = request.Refuse(request.CodeStaleConfig, "owner", m.options.Self,
			"group %q is not in version %d, the request was admitted under version %d", req.Group, inForce, req.ConfigVersion)
	}
	return nil, refusal
}

// groupOf returns the runtime of the group called name and creates it on first use.
func (m *Manager) groupOf(name string) (*group, *request.Refusal) {
	m.mu.RLock()
	g := m.groups[name]
	m.mu.RUnlock()
	if g != nil {
		return g, nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.groups[name] != nil:
		return m.groups[name], nil
	case m.draining:
		return nil, request.Refuse(request.CodeShutdown, "owner", m.options.Self, "node is stopping")
	case m.released[name]:
		return nil, request.Refuse(request.CodeNoOwner, "owner", m.options.Self, "group %s was handed over", name)
	}
	config := m.options.Config.Current()
	if config == nil {
		return nil, request.Refuse(request.CodeStaleConfig, "owner", m.options.Self, "no configuration yet")
	}
	if config.Group(name) == nil {
		return nil, request.Refuse(request.CodeUnknownService, "owner", m.options.Self, "unknown group %q", name)
	}
	g = newGroup(m, name, m.exclusive[name], m.owned[name], m.reads[name])
	m.groups[name] = g
	return g, nil
}

// isOwned reports whether this node owns the group called name. An owned group is kept even
// without requests.
func (m *Manager) isOwned(name string) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.owned[name]
}

func (m *Manager) remove(g *group) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.groups[g.name] == g {
		delete(m.groups, g.name)
	}
}

func (t Times) withDefaults() Times {
	set := func(d *time.Duration, value time.Duration) {
		if *d == 0 {
			*d = value
		}
	}
	set(&t.TransactionIdleTimeout, DefaultTransactionIdle)
	set(&t.TransactionTotal, DefaultTransactionTotal)
	set(&t.PrimaryWait, DefaultPrimaryWait)
	set(&t.CancelWait, DefaultCancelWait)
	set(&t.IdleGroup, DefaultIdleGroup)
	return t
}
