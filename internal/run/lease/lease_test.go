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
	"crocusyoke/internal/platform/platformtest"
)

// suspension is how long a machine was suspended; its clock does not show it.
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

func keeper(store *platformtest.Fake, name, run string, s *suspension) *Keeper {
	return New(Options{
		Self: name, Run: run, Table: store, Clock: clock.Wall{}, Suspended: s.get, Logger: log.NewNopLogger(),
	})
}

// run runs a Keeper until the returned function is called.
func run(k *Keeper) (stop func()) {
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

func fence(k *Keeper) uint64 {
	n, err := k.Fence("g")
	if err != nil {
		return 0
	}
	return n
}

// TestOneHolder: the second node waits until the first one's lease must have lapsed, and has
// a higher fence.
func TestOneHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.New()
		first, second := keeper(store, "n1", "a", &suspension{}), keeper(store, "n2", "b", &suspension{})
		stopFirst := run(first)
		first.Want("g", true)
		time.Sleep(time.Second)
		must.Eq(t, 1, fence(first))
		defer run(second)()
		second.Want("g", true)
		time.Sleep(3 * Length)
		must.Eq(t, 1, fence(first))
		must.Eq(t, 0, fence(second))
		stopFirst()
		for began := time.Now(); fence(second) == 0; time.Sleep(50 * time.Millisecond) {
			must.Less(t, 2*Length, time.Since(began))
			must.True(t, fence(first) == 0 || fence(second) == 0)
		}
		must.Eq(t, 0, fence(first))
		must.Eq(t, 2, fence(second))
	})
}

// TestGivenUp: a lease that is no longer wanted passes on within lookEvery, and a process that
// starts again under its name takes its own at once.
func TestGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.New()
		first, second := keeper(store, "n1", "a", &suspension{}), keeper(store, "n2", "b", &suspension{})
		defer run(first)()
		stop := run(second)
		first.Want("g", true)
		time.Sleep(time.Second)
		second.Want("g", true)
		time.Sleep(time.Second)
		first.Want("g", false)
		time.Sleep(lookEvery + time.Second)
		must.Eq(t, 0, fence(first))
		must.Eq(t, 2, fence(second))
		stop()
		again := keeper(store, "n2", "c", &suspension{})
		defer run(again)()
		again.Want("g", true)
		time.Sleep(time.Second)
		must.Eq(t, 3, fence(again))
	})
}

// TestSuspendedHolder: a holder whose VM was suspended past its lease does not act on it,
// although its clock has hardly moved.
func TestSuspendedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, s := platformtest.New(), &suspension{}
		k := keeper(store, "n1", "a", s)
		stop := run(k)
		k.Want("g", true)
		time.Sleep(time.Second)
		must.Eq(t, 1, fence(k))
		stop()
		s.add(Length)
		must.Eq(t, 0, fence(k))
	})
}

// TestOutage: through an outage of the store the lease holds for its length and no longer.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.New()
		k := keeper(store, "n1", "a", &suspension{})
		defer run(k)()
		k.Want("g", true)
		time.Sleep(time.Second)
		store.SetOutage(true)
		time.Sleep(Length - renewEvery - time.Second)
		must.Eq(t, 1, fence(k))
		time.Sleep(renewEvery + 2*time.Second)
		must.Eq(t, 0, fence(k))
		store.SetOutage(false)
		time.Sleep(2 * time.Second)
		must.Eq(t, 1, fence(k))
	})
}

// TestLostAnswer: a renewal whose answer is lost does not lengthen the lease by itself; the
// row is read again.
func TestLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.New()
		k := keeper(store, "n1", "a", &suspension{})
		store.LosePuts(platformtest.LossAfter, platformtest.LossBefore)
		defer run(k)()
		k.Want("g", true)
		time.Sleep(300 * time.Millisecond)
		must.Eq(t, 0, fence(k))
		time.Sleep(3 * time.Second)
		must.Eq(t, 1, fence(k))
	})
}

// TestTakenOverByTheStoresClock: a node that has never seen the row takes the lease of a dead
// holder over as soon as the store's clock shows that it has lapsed, and no sooner.
func TestTakenOverByTheStoresClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, began := platformtest.New(), time.Now()
		store.SetClock(func() time.Duration { return time.Hour + time.Since(began) })
		first, second := keeper(store, "n1", "a", &suspension{}), keeper(store, "n2", "b", &suspension{})
		stop := run(first)
		first.Want("g", true)
		time.Sleep(3 * renewEvery)
		stop()
		time.Sleep(Length - renewEvery)
		defer run(second)()
		second.Want("g", true)
		for fence(first) != 0 {
			must.Eq(t, 0, fence(second))
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(2*margin + retryEvery + renewEvery)
		must.Eq(t, 2, fence(second))
	})
}

// inherited returns what a holder's row named as ordered when it took the lease.
func inherited(t *testing.T, k *Keeper) uint64 {
	_, n, err := k.State("g")
	must.NoError(t, err)
	return n
}

// TestAnnouncedOrderIsInherited: the next holder knows of a promotion that this one may have
// called, whether it was told that the row names it, gave the lease up or died.
func TestAnnouncedOrderIsInherited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.New()
		first, second := keeper(store, "n1", "a", &suspension{}), keeper(store, "n2", "b", &suspension{})
		must.Error(t, first.Announce(t.Context(), "g", 4))
		stopFirst := run(first)
		first.Want("g", true)
		time.Sleep(time.Second)
		must.Eq(t, 0, inherited(t, first))
		must.NoError(t, first.Announce(t.Context(), "g", 5))
		store.LosePuts(platformtest.LossAfter)
		must.Error(t, first.Announce(t.Context(), "g", 6))
		must.Eq(t, 0, inherited(t, first))
		time.Sleep(renewEvery)
		first.Want("g", false)
		time.Sleep(time.Second)
		stopFirst()
		stopSecond := run(second)
		second.Want("g", true)
		time.Sleep(time.Second)
		must.Eq(t, 6, inherited(t, second))
		must.NoError(t, second.Announce(t.Context(), "g", 7))
		stopSecond()
		again := keeper(store, "n2", "c", &suspension{})
		defer run(again)()
		again.Want("g", true)
		time.Sleep(time.Second)
		must.Eq(t, 7, inherited(t, again))
		named := func() uint64 {
			time.Sleep(2 * renewEvery)
			_, row, err := again.read(t.Context(), "g")
			must.NoError(t, err)
			return row.Ordered
		}
		again.SetOrdered("g", fence(again)-1, 3)
		must.Eq(t, 7, named())
		again.SetOrdered("g", fence(again), 3)
		must.Eq(t, 3, named())
	})
}
