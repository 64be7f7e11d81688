package reader

import (
	"fmt"
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

// confirmBy makes r know a confirmation at time at by the node called name.
func confirmBy(r *Role, name string, at time.Time) { r.Confirm(Confirmation{At: at, By: IDOf(name)}) }

// othersOf returns the names of the nodes that are not readers, in their order.
func othersOf(nodes []Node) []string {
	_, others := order(nodes)
	names := make([]string, len(others))
	for i, n := range others {
		names[i] = n.Name
	}
	return names
}

// TestSilentReadersAreNotReliedOn checks that a node reads by itself once no confirmation by a node
// before it has reached it for its patience, the other tables later than the configuration, and no longer
// once there is one again.
func TestSilentReadersAreNotReliedOn(t *testing.T) {
	now := time.Unix(1000, 0)
	nodes := fleetOf(295, 6)
	reader, first := Choose(nodes)[0], othersOf(nodes)[0]
	r := NewRole(first, now)
	must.True(t, r.FollowsConfiguration(now))
	must.True(t, r.FollowsOtherTables(now))
	r.SetNodes(nodes)
	must.False(t, r.FollowsConfiguration(now.Add(MinPatience)))
	must.True(t, r.FollowsConfiguration(now.Add(MinPatience+time.Millisecond)))
	must.False(t, r.FollowsOtherTables(now.Add(MinPatience+otherTablesPatience)))
	must.True(t, r.FollowsOtherTables(now.Add(MinPatience+otherTablesPatience+time.Millisecond)))
	confirmBy(r, reader, now.Add(time.Second))
	must.False(t, r.FollowsConfiguration(now.Add(time.Second+MinPatience)))
}

// TestOwnConfirmationEndsNoStandIn checks that neither a node's own confirmation, which comes back to it
// from its peers, nor one by a node behind it in the order makes it rely on others.
func TestOwnConfirmationEndsNoStandIn(t *testing.T) {
	now := time.Unix(1000, 0)
	nodes := fleetOf(295, 6)
	others := othersOf(nodes)
	r := NewRole(others[1], now)
	r.SetNodes(nodes)
	now = now.Add(time.Minute)
	confirmBy(r, others[1], now)
	confirmBy(r, others[2], now)
	must.True(t, r.FollowsConfiguration(now))
	must.Eq(t, 0, r.ConfirmedAge(now))
	confirmBy(r, others[0], now)
	must.False(t, r.FollowsConfiguration(now))
}

// TestPatienceEndsBeforeChangesAreDue checks that the nodes turn to the store a few at first, each later
// group twice as large, and the last of 295 nodes before 6 s, the time in which a change has to be in
// force there.
func TestPatienceEndsBeforeChangesAreDue(t *testing.T) {
	now := time.Unix(1000, 0)
	nodes := fleetOf(295, 6)
	countAt := func(age time.Duration) (count int) {
		for _, name := range othersOf(nodes) {
			r := NewRole(name, now)
			r.SetNodes(nodes)
			if r.FollowsConfiguration(now.Add(age)) {
				count++
			}
		}
		return count
	}
	must.Zero(t, countAt(MinPatience))
	for doublings := range 5 {
		at := MinPatience + time.Duration(doublings)*patienceStep + time.Millisecond
		must.Between(t, minReaders*(1<<doublings-1), countAt(at), minReaders*(1<<doublings-1)+1)
	}
	must.Eq(t, len(othersOf(nodes)), countAt(6*time.Second))
}
