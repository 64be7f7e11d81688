// Package ownership chooses the owners of the database groups by rendezvous hashing over the
// live nodes. Nodes with the same view of the live nodes choose the same owners. Where all nodes
// have the same capacity, a node that joins changes only the owners of the groups that it gains,
// and one that leaves only those of the groups that it owned. Where capacities differ, the larger
// nodes own the groups, up to a limit for each, and a few other groups may move too. The choice is
// advisory: views may differ between nodes, so several nodes
// may consider themselves the owner, and no safety property depends on a single owner.
package ownership

import "github.com/cespare/xxhash/v2"

// Node is one live node.
type Node struct {
	Name   string
	Domain string
	// Capacity is the node's processor, in thousandths of a core; 0 if it is not known.
	Capacity int
}

// Owner returns the name of the node that owns group, or "" if nodes is empty. Nodes in
// domain, the failure domain in which the group's primary is expected, take precedence over
// all others. Callers that choose a node for another task pass a key of their own as group, and
// "" as domain if no failure domain is preferred.
func Owner(group, domain string, nodes []Node) string {
	key := xxhash.Sum64String(group)
	best, bestLocal, bestScore := "", false, uint64(0)
	for _, node := range nodes {
		local := node.Domain == domain
		if bestLocal && !local {
			continue
		}
		score := mix(key ^ xxhash.Sum64String(node.Name))
		if best == "" || local != bestLocal || score > bestScore || score == bestScore && node.Name > best {
			best, bestLocal, bestScore = node.Name, local, score
		}
	}
	return best
}

// mix scrambles the bits of x with the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
