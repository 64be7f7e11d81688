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
package lease

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/zeebo/errs"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/platform"
)

// Error is the class of this package's errors. ErrNotHeld means that this node does not
// currently hold the lease.
var (
	Error      = errs.Class("lease")
	ErrNotHeld = errs.Class("lease not held")
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

// keyPrefix is the prefix of the row keys of leases.
const keyPrefix = "lease/"

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
	Logger    log.Logger
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
}

// lease is the local state of one lease.
type lease struct {
	wanted bool
	// callMu serializes calls to the store for this lease.
	callMu sync.Mutex
	// inFlight is true while a call that Run started is in progress.
	inFlight   bool
	nextCallAt time.Time
	// expiresAt is the end of this node's lease; zero if it holds none.
	expiresAt time.Time
	fence     uint64
	// inheritedTerm is the OrderedTerm that the row had when this node took the lease;
	// orderedTerm is the one to store with the next write.
	inheritedTerm, orderedTerm uint64
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
	fence, _, err := k.State(name)
	return fence, err
}

// State returns the fence of a lease that this node currently holds, and the OrderedTerm
// inherited from earlier holders (see lease.inheritedTerm). It returns ErrNotHeld if the
// node does not hold the lease.
func (k *Keeper) State(name string) (fence, inherited uint64, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	l := k.leases[name]
	if l == nil || !k.now().Add(expiryMargin).Before(l.expiresAt) {
		return 0, 0, ErrNotHeld.New("%s", name)
	}
	return l.fence, l.inheritedTerm, nil
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
	_, err := k.step(ctx, name, l)
	if err != nil {
		k.invalidate(l)
		return err
	}
	_, err = k.Fence(name)
	return err
}

// SetOrderedTerm sets the highest term to which a promotion may have been ordered; the next
// write of the row stores it. It has no effect if this node does not currently hold the
// lease under the given fence: a later holder may have written a higher term to the row.
func (k *Keeper) SetOrderedTerm(name string, fence, term uint64) {
	if held, err := k.Fence(name); err != nil || held != fence {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leases[name].orderedTerm = term
}

// tickInterval is the delay between two checks for leases that need a call.
const tickInterval = 200 * time.Millisecond

// Run acquires, renews and releases leases until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	var wait sync.WaitGroup
	defer wait.Wait()
	for k.o.Clock.Sleep(ctx, tickInterval) == nil {
		for name, l := range k.takeDue() {
			wait.Go(func() { k.runStep(ctx, name, l) })
		}
	}
	return nil
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
	next, err := k.step(ctx, name, l)
	if err != nil {
		k.invalidate(l)
		next = retryInterval
		if !platform.ErrOutage.Has(err) {
			_ = k.o.Logger.Log("event", "lease", "name", name, "err", err)
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	l.inFlight = false
	l.nextCallAt = k.now().Add(next)
}

// step acquires, renews or releases the lease. It returns the delay until the next step.
func (k *Keeper) step(ctx context.Context, name string, l *lease) (time.Duration, error) {
	k.mu.Lock()
	held, fence := l.heldVersion, l.fence
	renew := l.wanted && held > 0
	k.mu.Unlock()
	if renew {
		return renewInterval, k.claim(ctx, name, l, held, fence)
	}
	return k.readAndStep(ctx, name, l)
}

// invalidate makes the next step read the row, because its current content is unknown.
func (k *Keeper) invalidate(l *lease) {
	k.mu.Lock()
	defer k.mu.Unlock()
	l.heldVersion = 0
}

// claim replaces version held of the row with one that names this node as the holder, which
// starts a new lease period.
func (k *Keeper) claim(ctx context.Context, name string, l *lease, held, fence uint64) error {
	sentAt := k.now()
	k.mu.Lock()
	ordered := l.orderedTerm
	k.mu.Unlock()
	next := record{Holder: k.o.Self, Incarnation: k.o.Incarnation, Fence: fence, RenewedAt: k.latestStoreTime(sentAt), OrderedTerm: ordered}
	version, err := k.write(ctx, name, held, next)
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	l.expiresAt, l.fence, l.heldVersion = sentAt.Add(TTL), fence, version
	return nil
}

// readAndStep reads the row, then acquires, renews or releases the lease.
func (k *Keeper) readAndStep(ctx context.Context, name string, l *lease) (time.Duration, error) {
	row, current, err := k.read(ctx, name)
	if err != nil {
		return 0, err
	}
	readAt := k.now()
	isOwn := current.Holder == k.o.Self && current.Incarnation == k.o.Incarnation
	k.mu.Lock()
	wanted := l.wanted
	isFree := current.Holder == "" || current.Holder == k.o.Self || l.observeExpired(row, current, readAt)
	k.mu.Unlock()
	switch {
	case !wanted && !isOwn:
		k.clearHeld(l)
		return renewInterval, nil
	case !wanted:
		k.clearHeld(l)
		_, err := k.write(ctx, name, row.Version, record{Fence: current.Fence, OrderedTerm: current.OrderedTerm})
		return renewInterval, err
	case !isOwn && !isFree:
		return k.untilNextPoll(l, readAt), nil
	case isOwn:
		return renewInterval, k.claim(ctx, name, l, row.Version, current.Fence)
	}
	fence := current.Fence + 1
	k.inheritTerm(l, current.OrderedTerm)
	if err := k.claim(ctx, name, l, row.Version, fence); err != nil {
		return 0, err
	}
	_ = k.o.Logger.Log("event", "lease taken", "name", name, "fence", fence, "former", current.Holder)
	return renewInterval, nil
}

// inheritTerm takes over OrderedTerm from a row that another holder, or an earlier process
// of this node, wrote. A higher term that this process has recorded itself is kept.
func (k *Keeper) inheritTerm(l *lease, ordered uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	l.inheritedTerm = max(l.orderedTerm, ordered)
	l.orderedTerm = l.inheritedTerm
}

// observeExpired records the row of another holder and reports whether its lease has
// expired: by the store's clock, or because the row has been unchanged for longer than a
// lease is valid.
func (l *lease) observeExpired(row platform.Row, current record, now time.Time) bool {
	if row.Version != l.observedVersion || l.observedAt.IsZero() {
		l.observedVersion, l.observedAt = row.Version, now
	}
	expiredByStore := current.RenewedAt > 0 && row.StoreTime-current.RenewedAt > TTL+expiryMargin
	return expiredByStore || now.Sub(l.observedAt) > TTL+expiryMargin
}

// noteStoreTime records the store's clock from the response to a call that was sent at
// sentAt.
func (k *Keeper) noteStoreTime(storeTime time.Duration, sentAt time.Time) {
	if storeTime <= 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.storeTime, k.storeTimeSentAt = storeTime, sentAt
}

// latestStoreTime returns an upper bound of the store's clock at now, or zero if no
// response has contained it. It is an upper bound because the store read its clock no
// earlier than the call was sent.
func (k *Keeper) latestStoreTime(now time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.storeTime == 0 {
		return 0
	}
	return k.storeTime + now.Sub(k.storeTimeSentAt)
}

// untilNextPoll returns the delay until the next read of a lease that another node holds: the
// time until the lease may have expired, limited to retryInterval through pollInterval.
func (k *Keeper) untilNextPoll(l *lease, now time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return min(pollInterval, max(retryInterval, l.observedAt.Add(TTL+2*expiryMargin).Sub(now)))
}

// clearHeld records that this node no longer holds the lease.
func (k *Keeper) clearHeld(l *lease) {
	k.mu.Lock()
	defer k.mu.Unlock()
	l.expiresAt, l.fence, l.heldVersion = time.Time{}, 0, 0
}

func (k *Keeper) read(ctx context.Context, name string) (platform.Row, record, error) {
	var r record
	sentAt := k.now()
	row, err := k.o.Table.Get(ctx, keyPrefix+name)
	k.noteStoreTime(row.StoreTime, sentAt)
	if platform.ErrNotFound.Has(err) {
		return platform.Row{}, r, nil
	}
	if err != nil {
		return row, r, err
	}
	return row, r, Error.Wrap(cbor.Unmarshal(row.Value, &r))
}

// write replaces the given version of the row and returns the new version.
func (k *Keeper) write(ctx context.Context, name string, version uint64, r record) (uint64, error) {
	value, err := cbor.Marshal(r)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	sentAt := k.now()
	row, err := k.o.Table.Put(ctx, keyPrefix+name, version, value)
	k.noteStoreTime(row.StoreTime, sentAt)
	return row.Version, err
}
