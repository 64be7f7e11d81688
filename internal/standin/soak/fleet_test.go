package soak

import (
	"testing"

	"github.com/shoenig/test/must"
)

// fleetOf returns six nodes, of which those named are out of rotation.
func fleetOf(out ...string) *balancer {
	b := &balancer{}
	for _, name := range []string{"a-1", "a-2", "a-3", "b-1", "b-2", "c-1"} {
		n := &node{name: name, zone: name[:1]}
		for _, other := range out {
			if other == name {
				n.misses = missesUntilOut
			}
		}
		b.nodes = append(b.nodes, n)
	}
	return b
}

// TestBalancerFollowsThePlatform checks which nodes get the new connections of a zone.
func TestBalancerFollowsThePlatform(t *testing.T) {
	for _, c := range []struct {
		out  []string
		zone string
		want []string
	}{
		{nil, "a", []string{"a-1", "a-2", "a-3"}},
		{[]string{"a-2"}, "a", []string{"a-1", "a-3"}},
		{[]string{"a-2", "a-3"}, "a", []string{"a-1", "a-2", "a-3"}},
		{[]string{"a-1", "a-2", "a-3"}, "a", []string{"b-1", "b-2", "c-1"}},
		{[]string{"b-1"}, "b", []string{"b-2"}},
		{[]string{"c-1"}, "c", []string{"a-1", "a-2", "a-3", "b-1", "b-2"}},
		{[]string{"c-1", "a-2", "a-3"}, "c", []string{"a-1", "a-2", "a-3", "b-1", "b-2"}},
		{[]string{"a-1", "a-2", "a-3", "b-1", "b-2", "c-1"}, "a", []string{"a-1", "a-2", "a-3", "b-1", "b-2", "c-1"}},
	} {
		var got []string
		for _, n := range fleetOf(c.out...).choice(c.zone) {
			got = append(got, n.name)
		}
		must.Eq(t, c.want, got, must.Sprintf("%+v", c))
	}
}

// TestMissesTakeANodeOut checks that two misses in a row take a node out of rotation, and one answer takes
// it back.
func TestMissesTakeANodeOut(t *testing.T) {
	n := &node{}
	for _, c := range []struct{ ready, want bool }{{false, true}, {true, true}, {false, true}, {false, false}, {false, false}, {true, true}} {
		n.noteReadiness(c.ready)
		must.Eq(t, c.want, n.inRotation())
	}
}

// TestNodesAreNamedByZone checks the names that the schedule of the record refers to.
func TestNodesAreNamedByZone(t *testing.T) {
	var names []string
	for i := range 6 {
		n, err := newNode(i, "127.0.0", t.TempDir(), "", "", "")
		must.NoError(t, err)
		names = append(names, n.name)
	}
	must.Eq(t, []string{"node-a-1", "node-b-1", neighbour, firstStopped, "node-b-2", secondStopped}, names)
}

// TestRunsTakeNetworksOfTheirOwn guards against runs at the same time that took the same addresses, as the
// seeds 901, 902 and 903 did together.
func TestRunsTakeNetworksOfTheirOwn(t *testing.T) {
	first, err := takeNetwork(2)
	must.NoError(t, err)
	defer first.release()
	second, err := takeNetwork(2)
	must.NoError(t, err)
	defer second.release()
	must.NotEq(t, first.prefix, second.prefix)
	_, err = tryNetwork(first.prefix, 2)
	must.Error(t, err)
}

// TestRunsShareNoDirectory checks that a directory that another run uses is an error of this package.
func TestRunsShareNoDirectory(t *testing.T) {
	dir := t.TempDir()
	lock, err := takeDirectory(dir)
	must.NoError(t, err)
	_, err = takeDirectory(dir)
	must.True(t, Error.Has(err))
	must.NoError(t, lock.Close())
	lock, err = takeDirectory(dir)
	must.NoError(t, err)
	must.NoError(t, lock.Close())
}
