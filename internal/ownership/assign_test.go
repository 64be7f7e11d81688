package ownership

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
)

// mixedNodes returns nodes of which every sixteenth is large.
func mixedNodes(count int) []Node {
	nodes := makeNodes(count)
	for i := range nodes {
		nodes[i].Capacity = 192
		if i%16 == 0 {
			nodes[i].Capacity = 800
		}
	}
	return nodes
}

func groupsOn(count int, nodes []Node) []Group {
	groups := make([]Group, count)
	for i := range groups {
		groups[i] = Group{Name: fmt.Sprintf("group-%d", i), Domain: fmt.Sprint(i % domains), Nodes: nodes}
	}
	return groups
}

// TestGroupsGoToLargeNodes checks that in fleets of mixed capacities only large nodes own groups,
// none of them more than the limit.
func TestGroupsGoToLargeNodes(t *testing.T) {
	for _, size := range []struct{ nodes, groups int }{{80, 8}, {295, 20}, {2100, 4500}} {
		nodes := mixedNodes(size.nodes)
		load := map[string]int{}
		for _, owner := range Assign(groupsOn(size.groups, nodes), nodes) {
			load[owner]++
		}
		limit := groupLimit(size.groups, (size.nodes+15)/16)
		for _, n := range nodes {
			must.True(t, load[n.Name] == 0 || n.Capacity == 800)
			must.LessEq(t, limit, load[n.Name])
		}
	}
}

// TestLossOfALargeNodeMovesFewGroups checks that the loss of an owner moves its groups and at most
// a quarter of the others.
func TestLossOfALargeNodeMovesFewGroups(t *testing.T) {
	nodes := mixedNodes(295)
	before := Assign(groupsOn(20, nodes), nodes)
	for i := range nodes {
		if nodes[i].Capacity != 800 {
			continue
		}
		rest := slices.Delete(slices.Clone(nodes), i, i+1)
		moved := 0
		for group, owner := range Assign(groupsOn(20, rest), rest) {
			if owner != before[group] && before[group] != nodes[i].Name {
				moved++
			}
		}
		must.LessEq(t, 5, moved)
	}
}

// TestEqualNodesFollowOwner checks that groups are placed as by Owner where all nodes are equal.
func TestEqualNodesFollowOwner(t *testing.T) {
	nodes := makeNodes(9)
	owners := Assign(groupsOn(12, nodes), nodes)
	for i, owner := range ownersOf(12, nodes) {
		must.Eq(t, owner, owners[fmt.Sprintf("group-%d", i)])
	}
}
