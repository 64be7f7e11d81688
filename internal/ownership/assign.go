package ownership

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minCapacityShare is the share of the largest node's capacity from which a node owns groups
	// while nodes of different capacities are live.
	minCapacityShare = 0.5
	// loadSlack is how many times the mean number of groups an owner may have, and minGroupLimit the
	// lowest such limit. A limit well above the mean keeps most groups where they are when a node
	// joins or leaves.
	loadSlack     = 1.5
	minGroupLimit = 2
)

// Group is a database group that needs an owner.
type Group struct {
	Name string
	// Domain is the failure domain in which the group's owner should be.
	Domain string
	// Nodes are the nodes that may own the group.
	Nodes []Node
}

// Assign returns the names of the owners of groups by their names, among the live nodes. If all
// nodes have the same capacity, each group goes where Owner places it. Otherwise the groups go to
// the larger nodes, in the preferred failure domain if there is one with few enough groups: a
// small node that owns a busy group has no processor time left for anything else.
func Assign(groups []Group, live []Node) map[string]string {
	owners := make(map[string]string, len(groups))
	smallest, largest := capacityRange(live)
	if smallest == largest {
		for _, g := range groups {
			owners[g.Name] = Owner(g.Name, g.Domain, g.Nodes)
		}
		return owners
	}
	isLarge := isLargeOf(largest)
	limit := groupLimit(len(groups), countNodes(live, isLarge))
	load := make(map[string]int)
	for _, g := range sortedByName(groups) {
		owner := leastLoaded(g, isLarge, load, limit)
		if owner == "" {
			owner = Owner(g.Name, g.Domain, g.Nodes)
		}
		load[owner]++
		owners[g.Name] = owner
	}
	return owners
}

// LargeNodes returns those of nodes that have at least half of the largest node's capacity: all of them where
// capacities are equal. A task that all nodes call on belongs there, since a small node may lack not only
// processor time but also the bandwidth for it.
func LargeNodes(nodes []Node) []Node {
	_, largest := capacityRange(nodes)
	isLarge := isLargeOf(largest)
	large := make([]Node, 0, len(nodes))
	for _, n := range nodes {
		if isLarge(n) {
			large = append(large, n)
		}
	}
	return large
}

// isLargeOf returns a predicate for nodes with at least minCapacityShare of the capacity largest.
func isLargeOf(largest int) func(Node) bool {
	return func(n Node) bool { return float64(n.Capacity) >= minCapacityShare*float64(largest) }
}

// leastLoaded returns the best large node for g that has fewer than limit groups, or "".
func leastLoaded(g Group, isLarge func(Node) bool, load map[string]int, limit int) string {
	free := make([]Node, 0, len(g.Nodes))
	for _, n := range g.Nodes {
		if isLarge(n) && load[n.Name] < limit {
			free = append(free, n)
		}
	}
	return Owner(g.Name, g.Domain, free)
}

func capacityRange(nodes []Node) (smallest, largest int) {
	for i, n := range nodes {
		if i == 0 || n.Capacity < smallest {
			smallest = n.Capacity
		}
		largest = max(largest, n.Capacity)
	}
	return smallest, largest
}

func countNodes(nodes []Node, is func(Node) bool) int {
	count := 0
	for _, n := range nodes {
		if is(n) {
			count++
		}
	}
	return count
}

func groupLimit(groups, nodes int) int {
	return max(minGroupLimit, int(math.Ceil(loadSlack*float64(groups)/float64(max(1, nodes)))))
}

// sortedByName returns the groups in an order that spreads names of one kind.
func sortedByName(groups []Group) []Group {
	sorted := slices.Clone(groups)
	slices.SortFunc(sorted, func(a, b Group) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	return sorted
}
