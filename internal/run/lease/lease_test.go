package lease

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/platform"
	"crocusyoke/internal/platform/platformtest"
)

// suspension is the total time for which a VM was suspended, which its clock does not
// count.
type suspension struct {
	mu    sync.Mutex
	total time.Duration
}

func (s *suspension) get() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

func (s *suspension) add(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total += d
}

func newKeeper(store *platformtest.Fake, name, run string, s *suspension) *Keeper {
	return New(Options{
		Self: name, Incarnation: run, Table: store, Clock: clock.Wall{}, Suspended: s.get, RestoreWait: 3 * TTL,
		Logger: log.NewNopLogger(),
	})
}

// start runs a Keeper until the returned function is called.
func start(k *Keeper) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = k.Run(ctx)
	}()
	return func() {
		cancel()
		<-ended
	}
}

func heldFence(k *Keeper) uint64 {
	n, err := k.Fence("g")
	if err != nil {
		return 0
	}
	return n
}

// TestOneHolder checks that a second node takes the lease only after the first one's lease
// must have expired, and that it gets a higher fence.
func TestOneHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.New()
		first, second := newKeeper(store, "n1", "a", &suspension{}), newKeeper(store, "n2", "b", &suspension{})
		stopFirst := start(first)
		first.SetWanted("g", true)
		time.Sleep(time.Second)
		must.Eq(t, 1, heldFence(first))
		defer start(second)()
		second.SetWanted("g", true)
		time.Sleep(3 * TTL)
		must.Eq(t, 1, heldFence(first))
		must.Eq(t, 0, heldFence(second))
		stopFirst()
		for began := time.Now(); heldFence(second) == 0; time.Sleep(50 * time.Millisecond) {
			must.Less(t, 2*TTL, time.Since(began))
			must.True(t, heldFence(first) == 0 || heldFence(second) == 0)
		}
		must.Eq(t, 0, heldFence(first))
		must.Eq(t, 2, heldFence(second))
	})
}

// TestReleasedLeaseIsTakenOver checks that another node takes a released lease within
// pollInterval, and that a restarted process takes over the lease held under its own node
// name at once.
func TestReleasedLeaseIsTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.New()
		first, second := newKeeper(store, "n1", "a", &suspension{}), newKeeper(store, "n2", "b", &suspension{})
		defer start(first)()
		stop := start(second)
		first.SetWanted("g", true)
		time.Sleep(time.Second)
		second.SetWanted("g", true)
		time.Sleep(time.Second)
		first.SetWanted("g", false)
		time.Sleep(pollInterval + time.Second)
		must.Eq(t, 0, heldFence(first))
		must.Eq(t, 2, heldFence(second))
		stop()
		again := newKeeper(store, "n2", "c", &suspension{})
		defer start(again)()
		again.SetWanted("g", true)
		time.Sleep(time.Second)
		must.Eq(t, 3, heldFence(again))
	})
}

// TestSuspendedHolderLosesLease checks that a holder whose VM was suspended past expiry
// does not act under its lease, although its clock has hardly advanced.
func TestSuspendedHolderLosesLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, s := platformtest.New(), &suspension{}
		k := newKeeper(store, "n1", "a", s)
		stop := start(k)
		k.SetWanted("g", true)
		time.Sleep(time.Second)
		must.Eq(t, 1, heldFence(k))
		stop()
		s.add(TTL)
		must.Eq(t, 0, heldFence(k))
	})
}

// TestStoreOutageEndsLease checks that during a store outage a lease stays valid until it
// expires, and no longer.
func TestStoreOutageEndsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.New()
		k := newKeeper(store, "n1", "a", &suspension{})
		defer start(k)()
		k.SetWanted("g", true)
		time.Sleep(time.Second)
		store.SetOutage(true)
		time.Sleep(TTL - renewInterval - time.Second)
		must.Eq(t, 1, heldFence(k))
		time.Sleep(renewInterval + 2*time.Second)
		must.Eq(t, 0, heldFence(k))
		store.SetOutage(false)
		time.Sleep(2 * time.Second)
		must.Eq(t, 1, heldFence(k))
	})
}

// TestLostRenewalAnswerDoesNotExtendLease checks that a renewal whose response is lost does
// not extend the lease: the row is read again first.
func TestLostRenewalAnswerDoesNotExtendLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.New()
		k := newKeeper(store, "n1", "a", &suspension{})
		store.LosePuts(platformtest.LossAfter, platformtest.LossBefore)
		defer start(k)()
		k.SetWanted("g", true)
		time.Sleep(300 * time.Millisecond)
		must.Eq(t, 0, heldFence(k))
		time.Sleep(3 * time.Second)
		must.Eq(t, 1, heldFence(k))
	})
}

// TestTakenOverByTheStoresClock checks that a node that has never read the row takes the
// lease of a dead holder over as soon as the store's clock shows that it has expired, and
// no sooner.
func TestTakenOverByTheStoresClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, began := platformtest.New(), time.Now()
		store.SetClock(func() time.Duration { return time.Hour + time.Since(began) })
		first, second := newKeeper(store, "n1", "a", &suspension{}), newKeeper(store, "n2", "b", &suspension{})
		stop := start(first)
		first.SetWanted("g", true)
		time.Sleep(3 * renewInterval)
		stop()
		time.Sleep(TTL - renewInterval)
		defer start(second)()
		second.SetWanted("g", true)
		for heldFence(first) != 0 {
			must.Eq(t, 0, heldFence(second))
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(2*expiryMargin + retryInterval + renewInterval)
		must.Eq(t, 2, heldFence(second))
	})
}

// inheritedTerm returns the ordered term that the row had when k took the lease.
func inheritedTerm(t *testing.T, k *Keeper) uint64 {
	state, err := k.State("g")
	must.NoError(t, err)
	return state.InheritedTerm
}

// TestAnnouncedTermIsInherited checks that the next holder learns of a promotion that the
// previous one may have ordered, even if the announcement's response was lost and whether
// the previous holder released the lease or died.
func TestAnnouncedTermIsInherited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.New()
		first, second := newKeeper(store, "n1", "a", &suspension{}), newKeeper(store, "n2", "b", &suspension{})
		must.Error(t, first.Announce(t.Context(), "g", 4))
		stopFirst := start(first)
		first.SetWanted("g", true)
		time.Sleep(time.Second)
		must.Eq(t, 0, inheritedTerm(t, first))
		must.NoError(t, first.Announce(t.Context(), "g", 5))
		store.LosePuts(platformtest.LossAfter)
		must.Error(t, first.Announce(t.Context(), "g", 6))
		must.Eq(t, 0, inheritedTerm(t, first))
		time.Sleep(renewInterval)
		first.SetWanted("g", false)
		time.Sleep(time.Second)
		stopFirst()
		stopSecond := start(second)
		second.SetWanted("g", true)
		time.Sleep(time.Second)
		must.Eq(t, 6, inheritedTerm(t, second))
		must.NoError(t, second.Announce(t.Context(), "g", 7))
		stopSecond()
		again := newKeeper(store, "n2", "c", &suspension{})
		defer start(again)()
		again.SetWanted("g", true)
		time.Sleep(time.Second)
		must.Eq(t, 7, inheritedTerm(t, again))
		storedTerm := func() uint64 {
			time.Sleep(2 * renewInterval)
			_, row, err := again.read(t.Context(), "g")
			must.NoError(t, err)
			return row.OrderedTerm
		}
		again.SetOrderedTerm("g", heldFence(again)-1, 3)
		must.Eq(t, 7, storedTerm())
		again.SetOrderedTerm("g", heldFence(again), 3)
		must.Eq(t, 3, storedTerm())
	})
}

// panickingTable panics in its first calls.
type panickingTable struct {
	*platformtest.Fake
	left int
}

func (p *panickingTable) Get(ctx context.Context, key string) (platform.Row, error) {
	if p.left > 0 {
		p.left--
		panic("unexpected value")
	}
	return p.Fake.Get(ctx, key)
}

// TestPanicInAStepEndsTheProcess guards against a panic in a lease's step that ends the process or leaves
// the lease without further steps.
func TestPanicInAStepEndsTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newKeeper(platformtest.New(), "n1", "a", &suspension{})
		k.o.Table = &panickingTable{Fake: platformtest.New(), left: 2}
		defer start(k)()
		k.SetWanted("g", true)
		time.Sleep(4 * time.Second)
		must.Positive(t, heldFence(k))
	})
}
