package reader

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func fleetOf(count, domains int) []Node {
	nodes := make([]Node, count)
	for i := range nodes {
		nodes[i] = Node{Name: fmt.Sprintf("node%04d", i), Domain: fmt.Sprint("d", i%domains)}
	}
	return nodes
}

// TestReadersDoNotGrowWithTheFleet checks the number of readers at all sizes, and that every
// failure domain has one.
func TestReadersDoNotGrowWithTheFleet(t *testing.T) {
	for _, size := range []struct{ nodes, domains, readers int }{
		{1, 1, 1}, {9, 4, 9}, {12, 4, 12}, {17, 4, 6}, {295, 6, 6}, {2100, 7, 7}, {300, 20, 20},
	} {
		nodes := fleetOf(size.nodes, size.domains)
		chosen := Choose(nodes)
		must.Eq(t, size.readers, len(chosen))
		domains := map[string]bool{}
		for _, n := range nodes {
			if slices.Contains(chosen, n.Name) {
				domains[n.Domain] = true
			}
		}
		must.Eq(t, min(size.domains, size.nodes), len(domains))
	}
}

// TestLostReadersAreReplaced checks that the loss of one reader changes no other one.
func TestLostReadersAreReplaced(t *testing.T) {
	nodes := fleetOf(295, 6)
	before := Choose(nodes)
	after := Choose(slices.DeleteFunc(nodes, func(n Node) bool { return n.Name == before[0] }))
	must.Eq(t, len(before), len(after))
	for _, name := range before[1:] {
		must.SliceContains(t, after, name)
	}
}

// TestSilentReadersAreNotReliedOn checks that a node reads by itself once no confirmation has
// reached it for MaxSilence, and stops after StandInTime if confirmations have come since.
func TestSilentReadersAreNotReliedOn(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewRole("nobody", now, rand.New(rand.NewPCG(1, 2)))
	must.True(t, r.ShouldFollow(now))
	r.SetNodes(fleetOf(295, 6))
	must.False(t, r.ShouldFollow(now.Add(MaxSilence)))
	now = now.Add(MaxSilence + silenceJitter)
	must.True(t, r.ShouldFollow(now))
	r.Confirm(now.Add(StandInTime - time.Second))
	must.True(t, r.ShouldFollow(now.Add(StandInTime-time.Millisecond)))
	r.Confirm(now.Add(StandInTime))
	must.False(t, r.ShouldFollow(now.Add(StandInTime)))
}
