package catalog

import (
	"testing"
	"testing/synctest"
	"time"

	"crocusyoke/internal/platform"
)

const (
	// largeFleetSize is the number of nodes of the largest deployment, smallFleetSize that of a fleet
	// of two cells, most of whose nodes are not readers either.
	largeFleetSize = 295
	smallFleetSize = 80
	// largeApplyBound is within which a version has to be in force on the largest deployment, counted
	// from the store's confirmation. smallApplyBound is the same for the smaller fleet.
	largeApplyBound = 6 * time.Second
	smallApplyBound = 5 * time.Second
	// stableTime is how long after a disturbance of its links a node counts as undisturbed, ownStableTime
	// the same in fleets all of whose nodes are readers.
	stableTime    = 5 * time.Second
	ownStableTime = 4 * time.Second
	// testIdle is longer than any call is held at the store.
	testIdle = 32 * time.Second
)

// TestVersionLateWhenReadersLoseTheStore takes the store from all readers right before a change. The
// other nodes reach the store and have to have the version in time.
func TestVersionLateWhenReadersLoseTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, largeFleetSize)
		f.mustSpread(t, 2, largeApplyBound)
		for _, n := range f.readers() {
			n.isCut.Store(true)
		}
		f.mustSpread(t, 3, largeApplyBound)
	})
}

// TestVersionLateOnSilentConnections lets the store never answer the calls that all nodes have open,
// while new ones work, and changes the configuration then.
func TestVersionLateOnSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, smallFleetSize)
		time.Sleep(testIdle)
		for _, n := range f.nodes {
			n.silentUntil.Store(time.Now().UnixNano())
		}
		time.Sleep(time.Millisecond)
		f.mustSpread(t, 2, stableTime)
	})
}

// TestVersionLateOnSilentConnectionsOfAllReaders is the same for fleets all of whose nodes are readers, at
// several moments of their calls.
func TestVersionLateOnSilentConnectionsOfAllReaders(t *testing.T) {
	for _, count := range []int{6, 8} {
		for _, idle := range []time.Duration{testIdle, testIdle + time.Second, testIdle + 3*time.Second} {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t, count)
				f.mustSpread(t, 2, smallApplyBound)
				time.Sleep(idle)
				for _, n := range f.nodes {
					n.silentUntil.Store(time.Now().UnixNano())
				}
				time.Sleep(time.Millisecond)
				f.mustSpread(t, 3, ownStableTime)
			})
		}
	}
}

// TestVersionLateWhenOnlyTheConfigurationIsSilent lets the store answer the readers' calls about targets
// and nodes, but none about the configuration.
func TestVersionLateWhenOnlyTheConfigurationIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, smallFleetSize)
		time.Sleep(testIdle)
		for _, n := range f.readers() {
			n.silentTable = platform.TableConfiguration
			n.silentUntil.Store(time.Now().Add(time.Hour).UnixNano())
		}
		time.Sleep(time.Millisecond)
		for range 8 {
			f.writeNodeRow(f.names[0])
			time.Sleep(time.Second)
		}
		f.mustSpread(t, 2, smallApplyBound)
	})
}
