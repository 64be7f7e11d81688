package ownership

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
)

const domains = 3

func makeNodes(count int) []Node {
	nodes := make([]Node, count)
	for i := range nodes {
		nodes[i] = Node{Name: fmt.Sprintf("entry-%04d", i), Domain: fmt.Sprint(i % domains)}
	}
	return nodes
}

func ownersOf(groups int, nodes []Node) []string {
	out := make([]string, groups)
	for i := range out {
		out[i] = Owner(fmt.Sprintf("group-%d", i), fmt.Sprint(i%domains), nodes)
	}
	return out
}

// When a node leaves, only the groups that it owned may change their owner. The reverse
// comparison covers a node that joins.
func TestOnlyGroupsOfTheLeavingNodeMove(t *testing.T) {
	for _, size := range []struct{ nodes, groups int }{{6, 3}, {6, 4500}, {2100, 4500}} {
		nodes := makeNodes(size.nodes)
		before := ownersOf(size.groups, nodes)
		maxMoves := 0
		for _, gone := range []int{0, size.nodes / 2, size.nodes - 1} {
			rest := slices.Delete(slices.Clone(nodes), gone, gone+1)
			moves := 0
			for i, owner := range ownersOf(size.groups, rest) {
				if owner == before[i] {
					continue
				}
				moves++
				must.Eq(t, nodes[gone].Name, before[i])
			}
			maxMoves = max(maxMoves, moves)
		}
		t.Logf("%d nodes, %d groups: at most %d groups moved when one node left", size.nodes, size.groups, maxMoves)
		must.LessEq(t, 3*size.groups/size.nodes+10, maxMoves)
	}
}

func TestOwnersPreferTheDomainAndBalance(t *testing.T) {
	nodes := makeNodes(2100)
	groupsPerNode := map[string]int{}
	for i, owner := range ownersOf(4500, nodes) {
		at := slices.IndexFunc(nodes, func(n Node) bool { return n.Name == owner })
		must.Eq(t, fmt.Sprint(i%domains), nodes[at].Domain)
		groupsPerNode[owner]++
	}
	maxGroups := 0
	for _, count := range groupsPerNode {
		maxGroups = max(maxGroups, count)
	}
	t.Logf("4500 groups over 2100 nodes: %d nodes own groups, at most %d each", len(groupsPerNode), maxGroups)
	must.LessEq(t, 12, maxGroups)

	groupsPerSmallFleetNode := map[string]int{}
	for _, owner := range ownersOf(4500, makeNodes(6)) {
		groupsPerSmallFleetNode[owner]++
	}
	for name, count := range groupsPerSmallFleetNode {
		must.Between(t, 650, count, 850, must.Sprint(name))
	}
	must.Eq(t, "", Owner("g", "d", nil))
	must.NotEq(t, "", Owner("g", "elsewhere", nodes[:3]))
	slices.Reverse(nodes)
	must.Eq(t, ownersOf(50, makeNodes(2100)), ownersOf(50, nodes))
}

func BenchmarkOwner(b *testing.B) {
	nodes := makeNodes(2100)
	for b.Loop() {
		Owner("group-17", "1", nodes)
	}
}
