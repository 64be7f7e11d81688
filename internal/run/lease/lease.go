// Package lease implements time-bounded leases on rows of the platform's table. At most one
// node acts under a lease at any time, and each holder gets a fence, a number that is
// higher than that of every earlier holder.
//
// Invariant: a holder acts only while its lease is valid. It counts the validity from
// before it sent the call that renewed the lease, by a clock that includes the time for
// which its VM was suspended. Another node takes the lease over only in one of three cases:
// the holder released it; the store's monotonic clock is more than TTL ahead of RenewedAt in
// the row; or the node itself has seen the row unchanged for more than TTL. RenewedAt is no
// earlier than the start of the lease period. A restarted node may take over its own lease.
//
// A restore of the store from a copy loses rows and brings old ones back. The rows of a lease are
// therefore different ones in each era of the store, and fences grow with the era. A holder whose
// lease is still valid continues it in the new era. Another node takes over a lease that nobody has held
// in the new era only after that era has lasted for RestoreWait: since the node first knew of it, or, by the
// store's clock, since a node that waited as well has written so to the row.
package lease

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/zeebo/errs"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/contain"
	"crocusyoke/internal/platform"
)

// Error is the class of this package's errors. ErrNotHeld means that this node does not
// currently hold the lease.
var (
	Error      = errs.Class("lease")
	ErrNotHeld = errs.Class("lease not held")
	// errOtherEra means that the store was restored between two steps; the next step reads again.
	errOtherEra = errs.Class("store restored")
)

const (
	// TTL is how long a lease is valid after its last renewal.
	TTL = 4 * time.Second
	// renewInterval is the delay between two renewals.
	renewInterval = 1300 * time.Millisecond
	// expiryMargin is how long before expiry the holder stops acting, and how long after
	// expiry another node waits before it takes the lease over.
	expiryMargin = 500 * time.Millisecond
	// pollInterval is the longest delay between two reads of a lease that another node
	// holds: that node may release it before it expires.
	pollInterval = 1500 * time.Millisecond
	// retryInterval is the delay after a failed call.
	retryInterval = 500 * time.Millisecond
)

// keyRoot is the first part of the row keys of leases.
const keyRoot = "lease"

// record is the value of a lease's row.
type record struct {
	// Holder is the name of the holding node; empty once the lease has been released.
	Holder string `cbor:"1,keyasint"`
	// Incarnation distinguishes restarts of the holder's process.
	Incarnation string `cbor:"2,keyasint"`
	// Fence increases with each new holder.
	Fence uint64 `cbor:"3,keyasint"`
	// RenewedAt is a time on the store's clock, no earlier than the start of the current lease
	// period; zero if the holder does not know the store's clock.
	RenewedAt time.Duration `cbor:"4,keyasint,omitempty"`
	// OrderedTerm is the highest replication term for which any holder may have ordered a
	// target to become primary.
	OrderedTerm uint64 `cbor:"5,keyasint,omitempty"`
	// TermUnknown is true if a restore of the store may have lost a higher OrderedTerm.
	TermUnknown bool `cbor:"6,keyasint,omitempty"`
	// EraSeenAt is set in a row of a lease that nobody has held in the row's era yet. It is a time on the
	// store's clock, no earlier than the start of that era.
	EraSeenAt time.Duration `cbor:"7,keyasint,omitempty"`
}

// Options configures a Keeper.
type Options struct {
	Self string
	// Incarnation is a unique ID of this start of the node's process.
	Incarnation string
	Table       platform.Table
	Clock       clock.Clock
	// Suspended returns the total time for which the VM has been suspended since some fixed
	// moment. Clock does not count that time.
	Suspended func() time.Duration
	// RestoreWait is how long a new era of the store has to last before a node takes over a
	// lease that may have been held in the former one. It is more than TTL plus the time for which
	// what a holder began may go on.
	RestoreWait time.Duration
	Logger      log.Logger
}

// Keeper acquires, renews and releases this node's leases. Its methods are safe for
// concurrent use.
type Keeper struct {
	o Options

	mu     sync.Mutex
	leases map[string]*lease
	// storeTime is the store's clock in its most recent response; storeTimeSentAt is when
	// the call for that response was sent.
	storeTime       time.Duration
	storeTimeSentAt time.Time
	// era is the store's latest era in any response, first observed at eraSince.
	era      uint64
	eraSince time.Time
}

// lease is the local state of one lease.
type lease struct {
	wanted bool
	// callMu serializes calls to the store for this lease.
	callMu sync.Mutex
	// inFlight is true while a call that Run started is in progress.
	inFlight   bool
	nextCallAt time.Time
	// endCalls ends the calls of the step under way; nil before the first step.
	endCalls context.CancelFunc
	// expiresAt is the end of this node's lease; zero if it holds none.
	expiresAt time.Time
	fence     uint64
	// inheritedTerm is the OrderedTerm that the row had when this node took the lease;
	// orderedTerm is the one to store with the next write.
	inheritedTerm, orderedTerm uint64
	// inheritedUnknown and orderedUnknown are the same for TermUnknown.
	inheritedUnknown, orderedUnknown bool
	// heldVersion is the version of the row that this node's last renewal wrote; zero if
	// the row has to be read first.
	heldVersion uint64
	// observedVersion is the version of the row as last read while another node held the
	// lease; observedAt is when that version was first read.
	observedVersion uint64
	observedAt      time.Time
}

// New returns a Keeper that holds no leases.
func New(o Options) *Keeper {
	return &Keeper{o: o, leases: make(map[string]*lease)}
}

// now returns the current time, including the time for which the VM was suspended.
func (k *Keeper) now() time.Time { return k.o.Clock.Now().Add(k.o.Suspended()) }

// SetWanted sets whether this node should hold the lease. A held lease that is no longer
// wanted is released.
func (k *Keeper) SetWanted(name string, wanted bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	l := k.leases[name]
	if l == nil {
		l = &lease{}
		k.leases[name] = l
	}
	if l.wanted != wanted {
		l.wanted = wanted
		l.nextCallAt = time.Time{}
	}
}

// Fence returns the fence of a lease that this node currently holds, or ErrNotHeld. Callers
// must call it immediately before the operation that the lease guards.
func (k *Keeper) Fence(name string) (uint64, error) {
	state, err := k.State(name)
	return state.Fence, err
}

// State is the state of a lease that this node holds.
type State struct {
	Fence uint64
	// InheritedTerm is the OrderedTerm of earlier holders.
	InheritedTerm uint64
	// TermUnknown is true if a restore of the store may have lost a higher OrderedTerm.
	TermUnknown bool
}

// State returns the state of a lease that this node currently holds, or ErrNotHeld.
func (k *Keeper) State(name string) (State, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	l := k.leases[name]
	if l == nil || !k.now().Add(expiryMargin).Before(l.expiresAt) {
		return State{}, ErrNotHeld.New("%s", name)
	}
	return State{Fence: l.fence, InheritedTerm: l.inheritedTerm, TermUnknown: l.inheritedUnknown}, nil
}

// Announce records in the row that a promotion to term may be ordered, so that later
// holders learn of it, and renews the lease. After an error the row may or may not contain
// the term.
func (k *Keeper) Announce(ctx context.Context, name string, term uint64) error {
	if _, err := k.Fence(name); err != nil {
		return err
	}
	k.mu.Lock()
	l := k.leases[name]
	l.orderedTerm = max(l.orderedTerm, term)
	k.mu.Unlock()
	l.callMu.Lock()
	defer l.callMu.Unlock()
	_, err := k.stepInEra(ctx, name, l)
	if err != nil {
		k.invalidate(l)
		return err
	}
	_, err = k.Fence(name)
	return err
}

// SetOrderedTerm sets the highest term to which a promotion may have been ordered, which is then
// known; the next write of the row stores it. It has no effect if this node does not currently hold the
// lease under the given fence: a later holder may have written a higher term to the row.
func (k *Keeper) SetOrderedTerm(name string, fence, term uint64) {
	if held, err := k.Fence(name); err != nil || held != fence {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leases[name].orderedTerm, k.leases[name].orderedUnknown = term, false
}

// tickInterval is the delay between two checks for leases that need a call.
const tickInterval = 200 * time.Millisecond

// Run acquires, renews and releases leases until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	var wait sync.WaitGroup
	defer wait.Wait()
	for k.o.Clock.Sleep(ctx, tickInterval) == nil {
		for name, l := range k.takeDue() {
			wait.Go(func() {
				if contain.Step(k.o.Logger, "lease step", func() { k.runStep(ctx, name, l) }) {
					k.endPanickedStep(l)
				}
			})
		}
	}
	return nil
}

// endPanickedStep gives the lease up, as after any failed call, and lets it rest.
func (k *Keeper) endPanickedStep(l *lease) {
	k.invalidate(l)
	k.mu.Lock()
	defer k.mu.Unlock()
	l.inFlight = false
	l.nextCallAt = k.now().Add(contain.PauseAfterPanic)
}

// takeDue returns the leases that need a call and marks them as in flight.
func (k *Keeper) takeDue() map[string]*lease {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	out := make(map[string]*lease)
	for name, l := range k.leases {
		if l.inFlight || now.Before(l.nextCallAt) || !l.wanted && l.expiresAt.IsZero() {
			continue
		}
		l.inFlight = true
		out[name] = l
	}
	return out
}

// runStep runs one step for a lease and schedules the next one.
func (k *Keeper) runStep(ctx context.Context, name string, l *lease) {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	l.callMu.Lock()
	defer l.callMu.Unlock()
	next, err := k.stepInEra(ctx, name, l)
	if err != nil {
		k.invalidate(l)
		next = retryInterval
		if errOtherEra.Has(err) {
			next = 0
		}
		if !platform.ErrOutage.Has(err) {
			_ = k.o.Logger.Log("event", "lease", "name", name, "err", err)
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	l.inFlight = false
	l.nextCallAt = k.now().Add(next)
}
