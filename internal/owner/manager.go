// Package owner serves requests on behalf of the owner of a database group: it chooses a
// target, waits for one of its slots, runs the exchange on a connection and passes the
// answer on once it may.
//
// Decisions are taken by the packages choose, schedule and evidence; this package moves
// bytes and times between them, the connections (package pool) and the callers.
//
// Invariants: a refusal that says "not run" was given before anything was sent, or the
// target said so itself; nothing of unknown fate is sent twice; a write is answered only
// when confirmed. None of them depends on there being one owner of a group.
package owner

import (
	"context"
	"sync"
	"time"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/owner/choose"
	"crocusyoke/internal/owner/schedule"
	"crocusyoke/internal/request"
	"crocusyoke/internal/target"

	"github.com/go-kit/log"
)

// ExchangeFunc runs a request that carries an idempotency key on conn. repeated tells
// that the reply is the recorded outcome of an earlier run. sent is false if nothing
// reached the target. An error that is a *request.Refusal is passed on as it is.
type ExchangeFunc func(ctx context.Context, conn target.Conn, req *request.Request) (reply target.Reply, repeated, sent bool, err error)

// Times bounds what is held for callers. Zero fields take the defaults.
type Times struct {
	// TransactionIdle is how long a transaction may wait for its next statement.
	TransactionIdle time.Duration
	// TransactionTotal is how long a transaction may stay open.
	TransactionTotal time.Duration
	// PrimaryWait is how long a request waits for a primary to be found.
	PrimaryWait time.Duration
	// CancelWait is how long a cancelled statement may take to answer.
	CancelWait time.Duration
	// IdleGroup is how long a group that is not owned is kept without requests.
	IdleGroup time.Duration
}

// Defaults of Times, and the deadline of a request that has none.
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
	// Self is the node's name, Domain its failure domain.
	Self   string
	Domain string
	Dialer target.Dialer
	Clock  clock.Clock
	// Suspended returns for how long in all the VM was suspended, which Clock does not count;
	// nil for never.
	Suspended func() time.Duration
	Config    fleet.Source
	// Logger may be nil.
	Logger log.Logger
	// Scheduling and Reads default to schedule.Fair and choose.Replicas.
	Scheduling schedule.Policy
	Reads      choose.Policy
	// HeldTerms is true for targets that adopt a term only until they restart or are let
	// go (evidence.Rules).
	HeldTerms bool
	// RefuseInGap refuses requests at once that need a primary when none can be expected in
	// their time; else they wait for Times.PrimaryWait.
	RefuseInGap bool
	// Split is the number of nodes that each talk to every target with an even part of
	// its slots and connections, for the baseline without owners; 0 for owners.
	Split int
	Times Times
	// Database gives the database that connections to a group name; nil for the group's
	// own name.
	Database func(group string) string
	// Idempotent and IdempotentBegin run a write, or the opening of a transaction, that
	// carries an idempotency key. nil for a plain exchange.
	Idempotent      ExchangeFunc
	IdempotentBegin ExchangeFunc
	// Observe and Unreachable are called on the result of every poll, from the poller's
	// goroutine. They may be nil.
	Observe     func(group string, sentAt time.Time, status target.Status)
	Unreachable func(group, targetName string, sentAt time.Time)
	// Sole reports whether this node alone may order promotions of the group, and none was
	// called beyond highest (evidence.Group.SetSole). nil for never.
	Sole func(group string, highest uint64) bool
}

// Manager serves the requests of every group.
type Manager struct {
	options     Options
	counts      *counters
	slotWaiters sync.Pool

	mu        sync.RWMutex
	groups    map[string]*group
	owned     map[string]bool
	exclusive map[string]bool
	released  map[string]bool
	draining  bool
}

var _ request.Handler = (*Manager)(nil)

// New returns a Manager that holds nothing yet.
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
	options.Times = options.Times.withDefaults()
	return &Manager{
		options:   options,
		counts:    newCounters(),
		groups:    make(map[string]*group),
		owned:     make(map[string]bool),
		exclusive: make(map[string]bool),
		released:  make(map[string]bool),
	}
}

// Serve implements request.Handler.
func (m *Manager) Serve(ctx context.Context, req *request.Request) (*request.Response, error) {
	began := m.options.Clock.Now()
	g, refusal := m.groupOf(req.Group)
	if refusal == nil {
		var response *request.Response
		response, refusal = g.serve(ctx, req)
		if refusal == nil {
			response.Times.AtOwner = m.options.Clock.Now().Sub(began)
			m.counts.countServed(req, response)
			return response, nil
		}
	}
	m.counts.countRefusal(refusal)
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

// SetOwned tells whether this node is the group's owner. An owned group is polled even
// without requests.
func (m *Manager) SetOwned(name string, owned bool) {
	m.mu.Lock()
	m.owned[name] = owned
	if owned {
		delete(m.released, name)
	} else {
		delete(m.owned, name)
	}
	m.mu.Unlock()
	if owned {
		_, _ = m.groupOf(name)
	}
}

// SetExclusive tells whether every former owner of the group let go, so that this one may use
// all of the targets' connections in place of half. It is safe only as long as the next
// owner opens none before Release returned here or this node is gone for good.
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

// Release hands a group over: new work is refused as not run, open transactions may
// finish until ctx ends, then every connection is closed. It returns once none is held.
// The group is refused from then on until SetOwned says that it is owned again.
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
	err := g.release(ctx)
	m.remove(g)
	return err
}

// Drain refuses new work and releases every group. It returns when none is held.
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

// groupOf returns the runtime of the group called name; it is made on first use.
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
	g = newGroup(m, name, m.exclusive[name])
	m.groups[name] = g
	return g, nil
}

// isOwned reports whether the group called name is to be kept without requests.
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
	set(&t.TransactionIdle, DefaultTransactionIdle)
	set(&t.TransactionTotal, DefaultTransactionTotal)
	set(&t.PrimaryWait, DefaultPrimaryWait)
	set(&t.CancelWait, DefaultCancelWait)
	set(&t.IdleGroup, DefaultIdleGroup)
	return t
}
