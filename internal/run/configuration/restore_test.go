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
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/peer"
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
		behind := f.start("n4")
		behind.isolated.Store(true)
		f.restore()
		for range 50 {
			must.False(t, behind.runner.Fresh() && behind.runner.Version() < f.nodes[0].runner.Version())
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// TestAllNodesRestartedAfterRestore guards against a fleet that serves the copy's configuration although nobody knows
// what was accepted.
func TestAllNodesRestartedAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestoredFleet(t, 3)
		f.restore()
		f.replaceAll()
		f.mustKeepKeyWithdrawn(inForceBound)
	})
}
