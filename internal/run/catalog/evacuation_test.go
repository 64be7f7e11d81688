package catalog

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/platform"
)

const (
	testEvacuationPrefix = "leave/"
	// evacuationHeardWithin is the part of the bound on an evacuation that is left for the order to reach every
	// node (package owner/evacuate), where the bound is smallApplyBound.
	evacuationHeardWithin = smallApplyBound * 65 / 100
)

// order evacuates the failure domain called name, or takes it back.
func (f *fakeFeed) order(name string, evacuated bool) {
	f.set(platform.TableConfiguration, testEvacuationPrefix+name, "{}", !evacuated)
}

// TestEvacuationsAreFollowed checks that orders come into force without a new version of the configuration, that
// rows that name no domain count for nothing, and that an outage changes nothing.
func TestEvacuationsAreFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, r := startFollowing(t)
		must.SliceEmpty(t, r.Current().EvacuatedDomains)
		f.order("b", true)
		f.order("a", true)
		f.order("", true)
		f.set(platform.TableConfiguration, "other", "{}", false)
		time.Sleep(time.Second)
		must.Eq(t, []string{"a", "b"}, r.Current().EvacuatedDomains)
		must.Eq(t, 1, r.Current().Version)
		f.update(func() { f.down = true })
		time.Sleep(time.Minute)
		must.Eq(t, []string{"a", "b"}, r.Current().EvacuatedDomains)
		f.order("a", false)
		f.update(func() { f.down = false })
		time.Sleep(inForceWithin)
		must.Eq(t, []string{"b"}, r.Current().EvacuatedDomains)
	})
}

// TestEvacuationStaysOverARestore checks that a restore that loses an order does not take it back, and that the
// operator can.
func TestEvacuationStaysOverARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, r := startFollowing(t)
		lost := f.copy()
		f.order("a", true)
		synctest.Wait()
		restoreAndTell(r, f, lost)
		time.Sleep(time.Minute)
		must.Eq(t, []string{"a"}, r.Current().EvacuatedDomains)
		f.order("a", true)
		time.Sleep(inForceWithin)
		f.order("a", false)
		time.Sleep(inForceWithin)
		must.SliceEmpty(t, r.Current().EvacuatedDomains)
	})
}

// TestPeersPassOnEvacuations checks that a node that starts while the store is away gets the orders from a peer
// together with the configuration.
func TestPeersPassOnEvacuations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, other := startFollowing(t)
		f.order("a", true)
		synctest.Wait()
		f.update(func() { f.down = true })
		r := startRunner(t, f, fakePeers{other})
		r.Subscribe(func(*fleet.Config) { must.Eq(t, []string{"a"}, r.Current().EvacuatedDomains) })
		r.ObservePeer(t.Context(), "other", other.Knowledge(), time.Now())
		time.Sleep(time.Second)
		must.Eq(t, []string{"a"}, r.Current().EvacuatedDomains)
	})
}

// TestEvacuationLateWhenReadersLoseTheStore takes the store from all readers right before an order, as
// TestVersionLateWhenReadersLoseTheStore does. All nodes that reach the store have to hear of it while there is
// time left for open transactions.
func TestEvacuationLateWhenReadersLoseTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, smallFleetSize)
		f.mustEvacuate(t, "d1", true, evacuationHeardWithin)
		f.mustEvacuate(t, "d1", false, evacuationHeardWithin)
		for _, n := range f.readers() {
			n.isCut.Store(true)
		}
		f.mustEvacuate(t, "d2", true, evacuationHeardWithin)
	})
}

// mustEvacuate evacuates a failure domain, or takes it back, and checks that each node that reaches the store has
// that in force within bound.
func (f *testFleet) mustEvacuate(t *testing.T, domain string, evacuated bool, bound time.Duration) {
	t.Helper()
	f.feed.order(domain, evacuated)
	began := time.Now()
	for time.Since(began) < bound {
		time.Sleep(50 * time.Millisecond)
		if f.countEvacuated(domain, evacuated) == 0 {
			t.Logf("domain %s, evacuated %t: last node after %v", domain, evacuated, time.Since(began))
			return
		}
	}
	must.Zero(t, f.countEvacuated(domain, evacuated))
}

// countEvacuated returns how many nodes that reach the store have another state of the domain in force.
func (f *testFleet) countEvacuated(domain string, evacuated bool) int {
	missing := 0
	for _, n := range f.nodes {
		if !n.isCut.Load() && slices.Contains(n.runner.Current().EvacuatedDomains, domain) != evacuated {
			missing++
		}
	}
	return missing
}

// TestOrderWaitsBehindAnOlderOffer checks that what a peer knows of a newer order is fetched before what another one
// offered earlier, under the same version of the configuration. Versions of two eras are not comparable.
func TestOrderWaitsBehindAnOlderOffer(t *testing.T) {
	offerOf := func(era, version uint64, due int64) *offer {
		k := Knowledge{ConfigurationVersion: 1, Changed: Versions{Era: era, Configuration: version}}
		return &offer{knowledge: k, due: time.Unix(due, 0)}
	}
	must.True(t, offerOf(1, 6, 2).isBetterThan(offerOf(1, 5, 1)))
	must.False(t, offerOf(1, 5, 1).isBetterThan(offerOf(1, 6, 2)))
	must.True(t, offerOf(2, 5, 1).isBetterThan(offerOf(1, 6, 2)))
}
