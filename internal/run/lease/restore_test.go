package lease

import (
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
