// Package faults holds the faults that are injected into a stand-in target: replication
// lag, interrupted replication, a frozen target, connections that permanently stop
// answering, clients whose connections hang, and slow statements.
package faults

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// ReplicaPrefix is the prefix of the application_name of a replica's connection to its
// primary. The replica's name follows it.
const ReplicaPrefix = "replica:"

// State is the set of active faults. It is immutable once set.
type State struct {
	// ReplicationLag is the delay between an entry's arrival at a replica and its
	// application.
	ReplicationLag time.Duration
	// CutReplication pauses a replica's pulls and the application of pulled entries.
	CutReplication bool
	// Frozen pauses every answer and all replication.
	Frozen bool
	// ServiceTime is added to the execution time of every statement. A change applies to
	// statements under way too.
	ServiceTime time.Duration
	// Blocked lists the application names whose connections hang.
	Blocked []string
}

// Faults holds the active faults and the connections that they affect. It is safe for
// concurrent use.
type Faults struct {
	state atomic.Pointer[State]

	mu sync.Mutex
	// changed is closed and replaced when the state changes.
	changed chan struct{}
	conns   map[*Connection]struct{}
}

// New returns Faults with the given initial state.
func New(initial State) *Faults {
	f := &Faults{changed: make(chan struct{}), conns: make(map[*Connection]struct{})}
	f.state.Store(&initial)
	return f
}

// State returns the active faults.
func (f *Faults) State() State { return *f.state.Load() }

// Change applies change to a copy of the active faults, makes the copy active and returns
// it.
func (f *Faults) Change(change func(*State)) State {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := *f.state.Load()
	change(&next)
	f.state.Store(&next)
	close(f.changed)
	f.changed = make(chan struct{})
	return next
}

// current returns the active faults and a channel that is closed when they change.
func (f *Faults) current() (*State, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Load(), f.changed
}

// AwaitService waits until the service time since the call has passed. It returns the context's error
// if ctx ends first.
func (f *Faults) AwaitService(ctx context.Context) error {
	began := time.Now()
	for {
		state, changed := f.current()
		left := state.ServiceTime - time.Since(began)
		if left <= 0 {
			return nil
		}
		timer := time.NewTimer(left)
		select {
		case <-timer.C:
		case <-changed:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
	}
}

// Connection is the fault state of one connection.
type Connection struct {
	// Application is the connection's application_name. It must be set before Add.
	Application string
	// OnSilent is called once when the connection is silenced, if it is not nil. It must be
	// set before Add. It is called with the Faults locked and so must not call its methods.
	OnSilent func()
	silent   atomic.Bool
}

// Add registers conn as a connection that Silence may choose, until Remove.
func (f *Faults) Add(conn *Connection) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns[conn] = struct{}{}
}

// Remove unregisters conn. It does nothing if conn is not registered.
func (f *Faults) Remove(conn *Connection) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, conn)
}

// Silence permanently silences each registered connection with probability share and
// returns how many it silenced. The seed determines the random numbers.
func (f *Faults) Silence(share float64, seed uint64) int {
	random := rand.New(rand.NewPCG(seed, seed))
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for conn := range f.conns {
		if random.Float64() >= share || conn.silent.Swap(true) {
			continue
		}
		n++
		if conn.OnSilent != nil {
			conn.OnSilent()
		}
	}
	return n
}

// Wait blocks while a fault stalls conn. It returns ctx's error if ctx ends first, which is
// the only end of the wait for a silenced connection.
func (f *Faults) Wait(ctx context.Context, conn *Connection) error {
	if !f.state.Load().isStalled(conn) {
		return nil
	}
	return f.waitWhile(ctx, func(s *State) bool { return s.isStalled(conn) })
}

// WaitReplication blocks while a fault stops replication. It returns ctx's error if ctx ends
// first.
func (f *Faults) WaitReplication(ctx context.Context) error {
	return f.waitWhile(ctx, func(s *State) bool { return s.Frozen || s.CutReplication })
}

// waitWhile blocks while stalled returns true for the active faults, or until ctx ends.
func (f *Faults) waitWhile(ctx context.Context, stalled func(*State) bool) error {
	for {
		state, changed := f.current()
		if !stalled(state) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// isStalled reports whether conn must not receive answers at present.
func (s *State) isStalled(conn *Connection) bool {
	if s.Frozen || conn.silent.Load() {
		return true
	}
	return len(s.Blocked) > 0 && slices.Contains(s.Blocked, conn.Application)
}
