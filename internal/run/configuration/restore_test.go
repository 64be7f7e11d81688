package configuration

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/change"
	"crocusyoke/internal/clock"
	controller "crocusyoke/internal/controller/configuration"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/peer"
	"crocusyoke/internal/platform"
	"crocusyoke/internal/platform/platformtest"
	"crocusyoke/internal/status"
)

// inForceBound is the time within which an accepted configuration must be in force everywhere.
const inForceBound = 9 * time.Second

// restoredFleet is a cluster whose configuration is written by operators, and a copy of its store from
// before the newest change, which withdrew the key "lost".
type restoredFleet struct {
	*cluster
	copied platformtest.Copy
}

func newRestoredFleet(t *testing.T, size int) *restoredFleet {
	f := &restoredFleet{cluster: newCluster(t, size)}
	f.store.SetVMs(f.vms...)
	f.copied = f.store.Copy()
	_, err := f.operator().Apply(t.Context(), 0, &fleet.Config{
		TokenSecret: strings.Repeat("ab", 32),
		Customers: []fleet.Customer{{
			Name: "mill", Rate: 1, Burst: 1, Weight: 1,
			Keys: []fleet.Key{{ID: "lost", Hash: fleet.HashKey("lost")}, {ID: "kept", Hash: fleet.HashKey("kept")}},
		}},
	})
	must.NoError(t, err)
	f.edit(setRate(2))
	f.copied = f.store.Copy()
	f.edit(withdrawKey)
	time.Sleep(2 * time.Second)
	return f
}

func setRate(rate float64) func(*fleet.Config) error {
	return func(c *fleet.Config) error {
		c.Customer("mill").Rate = rate
		return nil
	}
}

func withdrawKey(c *fleet.Config) error {
	mill := c.Customer("mill")
	mill.Keys = mill.Keys[1:]
	return nil
}

func (f *restoredFleet) operator() *change.Writer {
	return &change.Writer{
		Platform: f.store, Peers: &statusCaller{f.cluster}, Clock: clock.Wall{}, Deployment: "trust", Who: "asha",
	}
}

// edit writes a change and waits until it is accepted.
func (f *restoredFleet) edit(edit func(*fleet.Config) error) change.Result {
	f.t.Helper()
	result, err := f.operator().Edit(f.t.Context(), edit)
	must.NoError(f.t, err)
	acceptance, err := f.operator().Await(f.t.Context(), result.Version)
	must.NoError(f.t, err)
	must.True(f.t, acceptance.Accepted)
	return result
}

// restore restores the store from the copy.
func (f *restoredFleet) restore() { f.store.Restore(f.copied) }

// mustKeepKeyWithdrawn checks for a time that no node serves the key that was withdrawn.
func (f *restoredFleet) mustKeepKeyWithdrawn(d time.Duration) {
	f.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, n := range f.all() {
			if n.runner.Fresh() {
				must.Len(f.t, 1, n.runner.Current().Customer("mill").Keys, must.Sprintf("%s serves the withdrawn key", n.name))
			}
		}
	}
}

// statusCaller answers status calls with the versions in force.
type statusCaller struct{ cluster *cluster }

func (c *statusCaller) Call(_ context.Context, address string, _ peer.Kind, _, reply any) error {
	for _, n := range c.cluster.all() {
		if n.name == address && !n.isolated.Load() {
			*reply.(*status.Report) = status.Report{Node: n.name, Run: "1", ConfigVersion: n.runner.Version()}
			return nil
		}
	}
	return errors.New("no answer")
}

// TestChangeIgnoredAfterRestore guards against a version that the restored store gives out again: nodes
// that have the former one in force ignore it, and the operator is told that it was accepted.
func TestChangeIgnoredAfterRestore(t *testing.T) {
	for name, wait := range map[string]time.Duration{"at once": 0, "later": 20 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRestoredFleet(t, 5)
				f.restore()
				time.Sleep(wait)
				f.edit(setRate(7))
				time.Sleep(inForceBound)
				for _, n := range f.all() {
					must.Eq(t, 7, n.runner.Current().Customer("mill").Rate)
				}
				f.mustKeepKeyWithdrawn(time.Second)
			})
		})
	}
}

// TestWithdrawnKeyBackAtAStartAfterRestore guards against a node that starts after a restore and serves
// the copy's configuration.
func TestWithdrawnKeyBackAtAStartAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestoredFleet(t, 5)
		f.restore()
		late := f.start("late")
		f.mustKeepKeyWithdrawn(20 * time.Second)
		must.True(t, late.runner.Fresh())
		must.Len(t, 1, late.runner.Current().Customer("mill").Keys)
	})
}

// TestNodeBehindFreshAfterRestore guards against a read of a restored row as evidence that nothing newer was
// accepted.
func TestNodeBehindFreshAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestoredFleet(t, 5)
		behind := f.add("n4", true)
		f.restore()
		f.run(behind)
		for range 50 {
			must.False(t, behind.runner.Fresh() && behind.runner.Version() < f.nodes[0].runner.Version())
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// TestReadBeforeRestoreFreshTooLong guards against a read from before a restore as evidence of what was accepted
// after it: it counts for controller.FreshnessBound, and restored rows that are read meanwhile do not renew it.
func TestReadBeforeRestoreFreshTooLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestoredFleet(t, 5)
		behind := f.add("n4", true)
		f.run(behind)
		synctest.Wait()
		must.True(t, behind.runner.Fresh())
		f.restore()
		time.Sleep(1500 * time.Millisecond)
		must.Eq(t, 3, f.nodes[0].runner.Version(), must.Sprint("written back before the node could read the restored row"))
		behind.store.cut.Store(true)
		time.Sleep(controller.FreshnessBound - 1500*time.Millisecond + time.Millisecond)
		for range 50 {
			must.False(t, behind.runner.Fresh())
			time.Sleep(100 * time.Millisecond)
		}
		must.Less(t, f.nodes[0].runner.Version(), behind.runner.Version())
	})
}

// TestAcceptedChangeMissingInRestoredStore guards against an accepted change that only the processes that run
// know: when all are replaced, it is lost.
func TestAcceptedChangeMissingInRestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestoredFleet(t, 5)
		f.restore()
		for end := time.Now().Add(inForceBound); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			for _, n := range f.all() {
				must.True(t, n.runner.Fresh())
			}
		}
		state, err := change.Read(t.Context(), f.store, "trust")
		must.NoError(t, err)
		must.Len(t, 1, state.Config.Customer("mill").Keys)
	})
}

// TestAuditTrailAcrossARestore guards against a trail that ends at, or silently lacks, an entry that the restored
// store has lost.
func TestAuditTrailAcrossARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestoredFleet(t, 3)
		before, err := change.History(t.Context(), f.store, "trust", 10)
		must.NoError(t, err)
		f.restore()
		time.Sleep(inForceBound)
		entries, err := change.History(t.Context(), f.store, "trust", 10)
		must.NoError(t, err)
		must.Len(t, 3, entries)
		must.StrHasPrefix(t, "n", entries[0].Who)
		must.Eq(t, before[0].ToVersion, entries[0].FromVersion)
		must.Eq(t, before[0].Body, entries[0].Body)
		must.Eq(t, before[1:], entries[1:])
	})
}

// TestConfigurationLostInARestore guards against a store that comes back from before the first configuration.
func TestConfigurationLostInARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestoredFleet(t, 3)
		f.store.Restore(platformtest.New().Copy())
		f.mustKeepKeyWithdrawn(inForceBound)
		state, err := change.Read(t.Context(), f.store, "trust")
		must.NoError(t, err)
		must.NotNil(t, state.Config)
		must.Len(t, 1, state.Config.Customer("mill").Keys)
	})
}

// TestChangeBasedOnALostVersion guards against a conditional write that passes because the store gives out the
// version that it names a second time.
func TestChangeBasedOnALostVersion(t *testing.T) {
	for name, loss := range map[string]platformtest.Loss{"answered": platformtest.LossNone, "answer lost": platformtest.LossAfter} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testChangeBasedOnALostVersion(t, loss) })
		})
	}
}

func testChangeBasedOnALostVersion(t *testing.T, loss platformtest.Loss) {
	f := newRestoredFleet(t, 3)
	state, err := change.Read(t.Context(), f.store, "trust")
	must.NoError(t, err)
	f.store.BeforePut(func() {
		f.restore()
		value, err := state.Record.Encode()
		must.NoError(t, err)
		_, err = f.store.Put(t.Context(), "trust/config", 2, value)
		must.NoError(t, err)
		f.store.LosePuts(loss)
	})
	_, err = f.operator().Edit(t.Context(), setRate(9))
	must.True(t, platform.ErrOutcomeUnknown.Has(err), must.Sprint(err))
}

// TestAllNodesRestartedAfterRestore guards against a fleet that serves the copy's configuration although nobody knows
// what was accepted, and against one that an operator can't get out of that.
func TestAllNodesRestartedAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestoredFleet(t, 3)
		f.restore()
		f.replaceAll()
		f.mustKeepKeyWithdrawn(inForceBound)
		f.edit(withdrawKey)
		time.Sleep(inForceBound)
		for _, n := range f.all() {
			must.True(t, n.runner.Fresh())
		}
		f.mustKeepKeyWithdrawn(time.Second)
	})
}

// TestChangeOfARestoredConfiguration guards against a change that is based on the copy's configuration while nodes have
// a newer one that they can't write back.
func TestChangeOfARestoredConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestoredFleet(t, 3)
		for _, n := range f.all() {
			n.store.cut.Store(true)
		}
		f.restore()
		_, err := f.operator().Edit(t.Context(), setRate(7))
		must.True(t, platform.ErrOutage.Has(err), must.Sprint(err))
		_, err = change.Read(t.Context(), f.store, "trust")
		must.True(t, platform.ErrOutage.Has(err), must.Sprint("the copy is not the newest"))
		f.mustKeepKeyWithdrawn(time.Minute)
		for _, n := range f.all() {
			must.True(t, n.runner.Fresh())
			n.store.cut.Store(false)
		}
		f.edit(setRate(7))
		time.Sleep(inForceBound)
		f.mustKeepKeyWithdrawn(time.Second)
	})
}

// TestRestoredConfigurationConfirmedUnchanged guards against a fleet that stays without a fresh configuration because the
// operator's command finds nothing to change.
func TestRestoredConfigurationConfirmedUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestoredFleet(t, 3)
		f.restore()
		f.replaceAll()
		time.Sleep(inForceBound)
		for _, n := range f.all() {
			must.False(t, n.runner.Fresh())
		}
		f.edit(func(*fleet.Config) error { return nil })
		time.Sleep(inForceBound)
		for _, n := range f.all() {
			must.True(t, n.runner.Fresh())
		}
	})
}

// TestChangeOfARestoredConfigurationUnconfirmed guards against a change that is based on the copy's configuration while
// the nodes that may have a newer one don't answer.
func TestChangeOfARestoredConfigurationUnconfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestoredFleet(t, 3)
		f.restore()
		f.replaceAll()
		for _, n := range f.all()[1:] {
			n.isolated.Store(true)
		}
		_, err := f.operator().Edit(t.Context(), setRate(7))
		must.True(t, platform.ErrOutage.Has(err), must.Sprint(err))
	})
}

// TestFileFromBeforeARestoreConflicts guards against a file whose base version the store gives out again.
func TestFileFromBeforeARestoreConflicts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestoredFleet(t, 3)
		state, err := change.Read(t.Context(), f.store, "trust")
		must.NoError(t, err)
		f.restore()
		_, err = f.operator().Apply(t.Context(), state.Version, state.Config)
		must.NoError(t, err, must.Sprint("the content is the newest"))
		state.Config.Customer("mill").Rate = 9
		_, err = f.operator().Apply(t.Context(), state.Version, state.Config)
		var conflict *change.ConflictError
		must.True(t, errors.As(err, &conflict), must.Sprint(err))
		must.StrHasPrefix(t, "n", conflict.Winner.Who)
		must.Eq(t, conflict.Newest, conflict.Winner.ToVersion)
	})
}

// TestRestoreIsNotTold guards against records of promotions that a restore of the store has lost and that their
// node doesn't write again.
func TestRestoreIsNotTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestoredFleet(t, 1)
		must.Eq(t, nil, f.nodes[0].eras())
		for range 2 {
			f.restore()
			time.Sleep(5 * time.Second)
		}
		f.store.Restore(platformtest.New().Copy())
		time.Sleep(5 * time.Second)
		must.Eq(t, []uint64{2, 3, 4}, f.nodes[0].eras())
	})
}
