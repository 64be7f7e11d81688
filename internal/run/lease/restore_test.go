package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/platform/platformtest"
)

// TestFenceGivenOutTwiceAfterRestore checks that a node that takes a lease over after a restore gets a
// higher fence than holders whose rows the restore has lost, and only after their leases have ended.
func TestFenceGivenOutTwiceAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.New()
		first, second := newKeeper(store, "n1", "a", &suspension{}), newKeeper(store, "n2", "b", &suspension{})
		stopFirst := start(first)
		first.SetWanted("g", true)
		time.Sleep(time.Second)
		first.SetWanted("g", false)
		time.Sleep(time.Second)
		lost := store.Copy()
		stopSecond := start(second)
		second.SetWanted("g", true)
		time.Sleep(time.Second)
		must.Eq(t, 2, heldFence(second))
		store.Restore(lost)
		stopSecond()
		stopFirst()
		third := newKeeper(store, "n3", "c", &suspension{})
		defer start(third)()
		third.SetWanted("g", true)
		for range 400 {
			time.Sleep(50 * time.Millisecond)
			must.True(t, heldFence(second) == 0 || heldFence(third) == 0)
		}
		must.Greater(t, 2, heldFence(third))
	})
}

// TestHolderLostItsLeaseInARestore checks that a holder continues its lease after a restore that has
// lost its row, and that a lease that it then releases is taken over at once.
func TestHolderLostItsLeaseInARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.New()
		lost := store.Copy()
		first, second := newKeeper(store, "n1", "a", &suspension{}), newKeeper(store, "n2", "b", &suspension{})
		defer start(first)()
		first.SetWanted("g", true)
		time.Sleep(time.Second)
		defer start(second)()
		second.SetWanted("g", true)
		must.NoError(t, first.Announce(t.Context(), "g", 5))
		store.Restore(lost)
		for range 200 {
			time.Sleep(50 * time.Millisecond)
			must.Positive(t, heldFence(first))
			must.Eq(t, 0, heldFence(second))
		}
		store.Restore(lost)
		first.SetWanted("g", false)
		time.Sleep(pollInterval + time.Second)
		must.Eq(t, 0, heldFence(first))
		state, err := second.State("g")
		must.NoError(t, err)
		must.Eq(t, State{Fence: nextFence(3, 0) + 1, InheritedTerm: 5}, state)
	})
}

// fleet is three keepers of one lease over a store that is restored at random.
type fleet struct {
	t        *testing.T
	rng      *rand.Rand
	store    *platformtest.Fake
	copies   []platformtest.Copy
	keepers  []*Keeper
	stops    []func()
	starts   int
	holder   *Keeper
	fence    uint64
	ordered  uint64
	restores int
	holders  int
}

const (
	fleetNodes  = 3
	fleetStep   = 50 * time.Millisecond
	fleetSteps  = 2400
	copiesKept  = 160
	fleetStarts = 40
)

func newFleet(t *testing.T, seed uint64) *fleet {
	f := &fleet{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), store: platformtest.New(),
		keepers: make([]*Keeper, fleetNodes), stops: make([]func(), fleetNodes),
	}
	began := time.Now()
	f.store.SetClock(func() time.Duration { return time.Hour + time.Since(began) })
	for i := range fleetNodes {
		f.restart(i)
	}
	return f
}

func (f *fleet) restart(i int) {
	if f.stops[i] != nil {
		f.stops[i]()
	}
	f.starts++
	f.keepers[i] = newKeeper(f.store, fmt.Sprint("n", i), fmt.Sprint(f.starts), &suspension{})
	f.keepers[i].SetWanted("g", f.rng.IntN(3) > 0)
	f.stops[i] = start(f.keepers[i])
}

func (f *fleet) stop() {
	for _, stop := range f.stops {
		stop()
	}
}

// act does one random thing.
func (f *fleet) act() {
	i := f.rng.IntN(fleetNodes)
	switch f.rng.IntN(400) {
	case 0:
		f.store.Restore(f.copies[f.rng.IntN(len(f.copies))])
		f.restores++
	case 3:
		f.restart(i)
	case 4, 5, 6, 7, 8:
		f.keepers[i].SetWanted("g", f.rng.IntN(2) == 0)
	case 9, 10:
		f.store.SetOutage(true)
	case 11, 12, 13, 14, 15, 16:
		f.store.SetOutage(false)
	case 17, 18:
		f.store.LosePuts(platformtest.LossAfter, platformtest.LossBefore)
	case 19, 20, 21, 22:
		if f.keepers[i].Announce(f.t.Context(), "g", f.ordered+1) == nil {
			f.ordered++
		}
	}
}

// check checks that at most one node holds the lease, that each new holder has a higher fence than
// all before, and that it knows of all announced terms or that it doesn't.
func (f *fleet) check(seed uint64) {
	var holder *Keeper
	for _, k := range f.keepers {
		if heldFence(k) == 0 {
			continue
		}
		if holder != nil {
			f.t.Fatalf("seed %d: two holders, fences %d and %d", seed, heldFence(holder), heldFence(k))
		}
		holder = k
	}
	if holder == nil {
		return
	}
	state, _ := holder.State("g")
	if holder != f.holder {
		if state.Fence <= f.fence {
			f.t.Fatalf("seed %d: fence %d after %d", seed, state.Fence, f.fence)
		}
		if state.InheritedTerm < f.ordered && !state.TermUnknown {
			f.t.Fatalf("seed %d: inherited term %d of %d", seed, state.InheritedTerm, f.ordered)
		}
		f.holders++
	}
	f.holder, f.fence = holder, max(f.fence, state.Fence)
}

// TestOneHolderAcrossRestores plays random histories of restores, outages, lost answers, restarts and
// changes of who wants the lease.
func TestOneHolderAcrossRestores(t *testing.T) {
	var restores, holders int
	for seed := range uint64(fleetStarts) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, seed)
			defer f.stop()
			for step := range fleetSteps {
				if step%10 == 0 {
					f.copies = append(f.copies[max(0, len(f.copies)-copiesKept):], f.store.Copy())
				}
				f.act()
				time.Sleep(fleetStep)
				f.check(seed)
			}
			restores += f.restores
			holders += f.holders
		})
	}
	must.Greater(t, 100, restores)
	must.Greater(t, 100, holders)
	t.Logf("%d restores, %d changes of the holder", restores, holders)
}

// TestRowOfAnotherLeaseAfterRestore guards against two holders of one lease: after a restore, the row of
// another lease must not pass for the one of this lease in the new era.
func TestRowOfAnotherLeaseAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.New()
		first, second := newKeeper(store, "n1", "a", &suspension{}), newKeeper(store, "n2", "b", &suspension{})
		defer start(first)()
		defer start(second)()
		first.SetWanted("2/g", true)
		second.SetWanted("g", true)
		time.Sleep(time.Second)
		first.SetWanted("g", true)
		time.Sleep(time.Second)
		must.Eq(t, 1, heldFence(second))
		store.Restore(store.Copy())
		for range 200 {
			time.Sleep(50 * time.Millisecond)
			must.True(t, heldFence(first) == 0 || heldFence(second) == 0)
		}
	})
}

// TestWaitOfARestoreIsCountedAcrossProcesses guards against a lease that nobody takes while the processes that
// want it are stopped one after the other: each of them knows the new era only since its own start.
func TestWaitOfARestoreIsCountedAcrossProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.New()
		began := time.Now()
		store.SetClock(func() time.Duration { return time.Hour + time.Since(began) })
		former := newKeeper(store, "n0", "a", &suspension{})
		stopFormer := start(former)
		former.SetWanted("g", true)
		time.Sleep(time.Second)
		stopFormer()
		store.Restore(store.Copy())
		restored := time.Now()
		for i := range 8 {
			k := newKeeper(store, fmt.Sprint("n", i+1), fmt.Sprint(i), &suspension{})
			stop := start(k)
			k.SetWanted("g", true)
			time.Sleep(TTL)
			held := heldFence(k) > 0
			stop()
			if held {
				must.GreaterEq(t, 3*TTL, time.Since(restored))
				must.LessEq(t, 5*TTL, time.Since(restored))
				return
			}
		}
		t.Fatal("no process has taken the lease")
	})
}
