// Package lease keeps leases in the platform's table: at most one node holds a lease, and
// each holder has a fence, a number higher than that of every holder before.
//
// Invariant: a holder acts only while its lease is valid by a clock that counts the time
// that its VM was suspended, counted from before the call that renewed it was sent. Another
// node takes a lease over only once the holder gave it up, once the store's steady clock is
// further than a lease's length beyond the time that the row names, which is no earlier than
// when the term began, or after it has seen the row unchanged for longer than that.
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

// Error is the class of this package's errors. ErrNotHeld: this node does not hold the
// lease at present.
var (
	Error      = errs.Class("lease")
	ErrNotHeld = errs.Class("lease not held")
)

// Times of a lease.
const (
	// Length is how long a lease lasts without a renewal.
	Length = 4 * time.Second
	// renewEvery is the pause between two renewals.
	renewEvery = 1300 * time.Millisecond
	// margin is how much earlier than its end the holder stops acting, and how much later
	// another node takes the lease over.
	margin = 500 * time.Millisecond
	// lookEvery is the longest pause between two looks at another holder's lease, which it
	// may give up.
	lookEvery = 1500 * time.Millisecond
	// retryEvery is the pause after a call that failed.
	retryEvery = 500 * time.Millisecond
)

// keyPrefix begins the keys of leases' rows.
const keyPrefix = "lease/"

// record is the value of a lease's row.
type record struct {
	// Holder is the node; empty once it gave the lease up.
	Holder string `cbor:"1,keyasint"`
	// Run tells the starts of the holder's process apart.
	Run string `cbor:"2,keyasint"`
	// Fence grows with each holder.
	Fence uint64 `cbor:"3,keyasint"`
	// Began is the store's clock when the term began, or somewhat later; zero if the holder
	// does not know it.
	Began time.Duration `cbor:"4,keyasint,omitempty"`
	// Ordered is the highest term that a holder may have called a promotion for.
	Ordered uint64 `cbor:"5,keyasint,omitempty"`
}

// Options of a Keeper.
type Options struct {
	Self string
	// Run differs between two starts of this node.
	Run   string
	Table platform.Table
	Clock clock.Clock
	// Suspended returns for how long in all the VM was suspended since some moment; Clock
	// does not count that time.
	Suspended func() time.Duration
	Logger    log.Logger
}

// Keeper holds this node's leases. Its methods are safe for concurrent use.
type Keeper struct {
	o Options

	mu     sync.Mutex
	leases map[string]*lease
	// storeTime was told by the newest answer of the store, to a call sent at storeAsked.
	storeTime  time.Duration
	storeAsked time.Time
}

// lease is one lease as this node sees it.
type lease struct {
	wanted bool
	// calls is held while a call is under way.
	calls sync.Mutex
	// busy is true while a call is under way.
	busy   bool
	nextAt time.Time
	// until is the end of this node's lease; zero if it holds none.
	until time.Time
	fence uint64
	// inherited is what the row named as ordered when this node took the lease; ordered is
	// what it is to name from the next write on.
	inherited, ordered uint64
	// held is the version of the row as this node's last renewal left it; zero if it has to
	// be read first.
	held uint64
	// version and seenAt are the row as last seen of another holder, and when it was first
	// seen so.
	version uint64
	seenAt  time.Time
}

// New returns a Keeper without leases.
func New(o Options) *Keeper {
	return &Keeper{o: o, leases: make(map[string]*lease)}
}

// now returns the time including that of suspensions.
func (k *Keeper) now() time.Time { return k.o.Clock.Now().Add(k.o.Suspended()) }

// Want says whether this node should hold the lease. One that is no longer wanted is given
// up.
func (k *Keeper) Want(name string, wanted bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	l := k.leases[name]
	if l == nil {
		l = &lease{}
		k.leases[name] = l
	}
	if l.wanted != wanted {
		l.wanted = wanted
		l.nextAt = time.Time{}
	}
}

// Fence returns the fence of a lease that this node holds now. Call it right before the
// act that it guards.
func (k *Keeper) Fence(name string) (uint64, error) {
	fence, _, err := k.State(name)
	return fence, err
}

// State returns the fence of a lease that this node holds now, and the highest term that the
// row named as ordered when this node took it.
func (k *Keeper) State(name string) (fence, inherited uint64, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	l := k.leases[name]
	if l == nil || !k.now().Add(margin).Before(l.until) {
		return 0, 0, ErrNotHeld.New("%s", name)
	}
	return l.fence, l.inherited, nil
}

// Announce writes into the row that a promotion to term may be called; later holders read it.
// The lease is renewed by it. After an error the row may say so, too.
func (k *Keeper) Announce(ctx context.Context, name string, term uint64) error {
	if _, err := k.Fence(name); err != nil {
		return err
	}
	k.mu.Lock()
	l := k.leases[name]
	l.ordered = max(l.ordered, term)
	k.mu.Unlock()
	l.calls.Lock()
	defer l.calls.Unlock()
	_, err := k.step(ctx, name, l)
	if err != nil {
		k.forget(l)
		return err
	}
	_, err = k.Fence(name)
	return err
}

// SetOrdered says up to which term promotions may have been called, for the next write of the
// row. It is ignored once this node's lease is not the one with this fence: its row may say
// more.
func (k *Keeper) SetOrdered(name string, fence, term uint64) {
	if held, err := k.Fence(name); err != nil || held != fence {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leases[name].ordered = term
}

// tickEvery is the pause between two looks for what is due.
const tickEvery = 200 * time.Millisecond

// Run takes, renews and gives up leases until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	var wait sync.WaitGroup
	defer wait.Wait()
	for k.o.Clock.Sleep(ctx, tickEvery) == nil {
		for name, l := range k.due() {
			wait.Go(func() { k.attend(ctx, name, l) })
		}
	}
	return nil
}

// due returns the leases that need a call, and marks them busy.
func (k *Keeper) due() map[string]*lease {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	out := make(map[string]*lease)
	for name, l := range k.leases {
		if l.busy || now.Before(l.nextAt) || !l.wanted && l.until.IsZero() {
			continue
		}
		l.busy = true
		out[name] = l
	}
	return out
}

// attend makes one call for a lease.
func (k *Keeper) attend(ctx context.Context, name string, l *lease) {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	l.calls.Lock()
	defer l.calls.Unlock()
	next, err := k.step(ctx, name, l)
	if err != nil {
		k.forget(l)
		next = retryEvery
		if !platform.ErrOutage.Has(err) {
			_ = k.o.Logger.Log("event", "lease", "name", name, "err", err)
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	l.busy = false
	l.nextAt = k.now().Add(next)
}

// step takes, renews or gives up the lease. It returns the time until the next step.
func (k *Keeper) step(ctx context.Context, name string, l *lease) (time.Duration, error) {
	k.mu.Lock()
	held, fence := l.held, l.fence
	renew := l.wanted && held > 0
	k.mu.Unlock()
	if renew {
		return renewEvery, k.put(ctx, name, l, held, fence)
	}
	return k.look(ctx, name, l)
}

// forget has the next step read the row: what stands there is not known.
func (k *Keeper) forget(l *lease) {
	k.mu.Lock()
	defer k.mu.Unlock()
	l.held = 0
}

// put writes this node's row in place of version held, which begins a new term of the lease.
func (k *Keeper) put(ctx context.Context, name string, l *lease, held, fence uint64) error {
	began := k.now()
	k.mu.Lock()
	ordered := l.ordered
	k.mu.Unlock()
	next := record{Holder: k.o.Self, Run: k.o.Run, Fence: fence, Began: k.storeNow(began), Ordered: ordered}
	version, err := k.write(ctx, name, held, next)
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	l.until, l.fence, l.held = began.Add(Length), fence, version
	return nil
}

// look reads the row and takes, renews or gives up the lease.
func (k *Keeper) look(ctx context.Context, name string, l *lease) (time.Duration, error) {
	row, current, err := k.read(ctx, name)
	if err != nil {
		return 0, err
	}
	began := k.now()
	mine := current.Holder == k.o.Self && current.Run == k.o.Run
	k.mu.Lock()
	wanted := l.wanted
	free := current.Holder == "" || current.Holder == k.o.Self || l.lapsed(row, current, began)
	k.mu.Unlock()
	switch {
	case !wanted && !mine:
		k.drop(l)
		return renewEvery, nil
	case !wanted:
		k.drop(l)
		_, err := k.write(ctx, name, row.Version, record{Fence: current.Fence, Ordered: current.Ordered})
		return renewEvery, err
	case !mine && !free:
		return k.waitFor(l, began), nil
	case mine:
		return renewEvery, k.put(ctx, name, l, row.Version, current.Fence)
	}
	fence := current.Fence + 1
	k.inherit(l, current.Ordered)
	if err := k.put(ctx, name, l, row.Version, fence); err != nil {
		return 0, err
	}
	_ = k.o.Logger.Log("event", "lease taken", "name", name, "fence", fence, "former", current.Holder)
	return renewEvery, nil
}

// inherit takes over what the row of another holder, or of a former process, named as ordered.
func (k *Keeper) inherit(l *lease, ordered uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	l.inherited = max(l.ordered, ordered)
	l.ordered = l.inherited
}

// lapsed notes the row of another holder and reports whether its lease is over: by the
// store's clock, or because the row has been unchanged for longer than a lease lasts.
func (l *lease) lapsed(row platform.Row, current record, now time.Time) bool {
	if row.Version != l.version || l.seenAt.IsZero() {
		l.version, l.seenAt = row.Version, now
	}
	told := current.Began > 0 && row.StoreTime-current.Began > Length+margin
	return told || now.Sub(l.seenAt) > Length+margin
}

// heard notes the store's clock in an answer to a call that was sent at asked.
func (k *Keeper) heard(storeTime time.Duration, asked time.Time) {
	if storeTime <= 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.storeTime, k.storeAsked = storeTime, asked
}

// storeNow returns the latest that the store's clock may show at now, or zero if it was never
// told: the answer is no older than its call.
func (k *Keeper) storeNow(now time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.storeTime == 0 {
		return 0
	}
	return k.storeTime + now.Sub(k.storeAsked)
}

// waitFor returns the time until another holder's lease may have lapsed.
func (k *Keeper) waitFor(l *lease, now time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return min(lookEvery, max(retryEvery, l.seenAt.Add(Length+2*margin).Sub(now)))
}

// drop notes that this node holds the lease no more.
func (k *Keeper) drop(l *lease) {
	k.mu.Lock()
	defer k.mu.Unlock()
	l.until, l.fence, l.held = time.Time{}, 0, 0
}

func (k *Keeper) read(ctx context.Context, name string) (platform.Row, record, error) {
	var r record
	asked := k.now()
	row, err := k.o.Table.Get(ctx, keyPrefix+name)
	k.heard(row.StoreTime, asked)
	if platform.ErrNotFound.Has(err) {
		return platform.Row{}, r, nil
	}
	if err != nil {
		return row, r, err
	}
	return row, r, Error.Wrap(cbor.Unmarshal(row.Value, &r))
}

// write replaces the row of the given version and returns its new one.
func (k *Keeper) write(ctx context.Context, name string, version uint64, r record) (uint64, error) {
	value, err := cbor.Marshal(r)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	asked := k.now()
	row, err := k.o.Table.Put(ctx, keyPrefix+name, version, value)
	k.heard(row.StoreTime, asked)
	return row.Version, err
}
