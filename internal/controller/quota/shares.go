package quota

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxSingleNodes is the largest number of nodes for which one coordinator serves all customers
	// and every node is a shareholder. Larger fleets have several partitions of customers.
	maxSingleNodes = 32
	// MaxShareholders is the number of nodes among which the rates of a partition's customers are
	// split if there is more than one partition.
	MaxShareholders = 8
)

// partitionCounts are the numbers of partitions by fleet size. They grow in few large steps, since
// each step moves all customers to other coordinators.
var partitionCounts = []struct{ maxNodes, partitions int }{
	{maxSingleNodes, 1},
	{128, 8},
	{512, 32},
}

// maxPartitions is the number of partitions in fleets larger than those in partitionCounts.
const maxPartitions = 128

// Partitions returns the number of partitions of customers in a fleet of the given number of
// listed nodes. The customers of a partition have the same coordinator and the same shareholders.
func Partitions(nodes int) int {
	for _, size := range partitionCounts {
		if nodes <= size.maxNodes {
			return size.partitions
		}
	}
	return maxPartitions
}

// PartitionOf returns the partition of a customer, from 0 to partitions-1.
func PartitionOf(customer string, partitions int) int {
	return int(xxhash.Sum64String(customer) % uint64(max(1, partitions)))
}

// SplitPartitions returns the number of partitions in a fleet whose failure domains have coordinators of their own: those
// of Partitions for customers with a large burst, and as many for the others, whose burst is not divided by
// domain.
func SplitPartitions(nodes int) int { return 2 * Partitions(nodes) }

// SplitPartitionOf returns the partition of a customer where SplitPartitions counts them.
func SplitPartitionOf(customer string, isSmall bool, partitions int) int {
	half := partitions / 2
	index := PartitionOf(customer, half)
	if isSmall {
		index += half
	}
	return index
}

// IsDividedByDomain reports whether the rates of a partition's customers are split by failure domain, where
// SplitPartitions counts the partitions.
func IsDividedByDomain(partition, partitions int) bool { return partition < partitions/2 }

// minDividedBurst is the lowest burst that is divided by failure domain. Each part of a smaller one would be a few
// tokens, and requests would be refused in one domain while there are tokens in another.
const minDividedBurst = 48

// IsSmall reports whether a customer's burst is too small to be divided by failure domain.
func IsSmall(limit Limit) bool { return limit.Burst < minDividedBurst }

// Shareholders returns the nodes among which the rates of a partition's customers are split.
// listed holds all nodes of the fleet. key identifies the partition.
func Shareholders(key string, listed []string) []string {
	if len(listed) <= maxSingleNodes {
		return listed
	}
	return topRanked(key, listed, MaxShareholders)
}

// Bounds of a fleet whose failure domains have coordinators and shareholders of their own: at least two
// shareholders and enough nodes to choose them from in each domain.
const (
	maxSplitDomains = MaxShareholders / 2
	minDomainNodes  = 12
)

// SplitsDomains reports whether each failure domain has coordinators and shareholders of its own. listed is
// the number of listed nodes in each domain.
func SplitsDomains(listed map[string]int) bool {
	total := 0
	for _, nodes := range listed {
		total += nodes
		if nodes < minDomainNodes {
			return false
		}
	}
	return total > maxSingleNodes && len(listed) > 1 && len(listed) <= maxSplitDomains
}

// DomainShareholders returns the shareholders in one of several failure domains, with the given listed nodes.
func DomainShareholders(key string, listed []string, domains int) []string {
	return topRanked(key, listed, (MaxShareholders+domains-1)/domains)
}

// topRanked returns count of the listed nodes, by a hash of key and name.
func topRanked(key string, listed []string, count int) []string {
	ranked := make([]rankedNode, len(listed))
	for i, node := range listed {
		ranked[i] = rankedNode{node, xxhash.Sum64String(key + "\x00" + node)}
	}
	slices.SortFunc(ranked, func(a, b rankedNode) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.name, b.name))
	})
	holders := make([]string, min(count, len(ranked)))
	for i := range holders {
		holders[i] = ranked[i].name
	}
	return holders
}

type rankedNode struct {
	name string
	rank uint64
}

// Share is what a node is entitled to of the rate and burst of a customer.
type Share struct {
	// Own is the fraction, from 0 to 1, that the node is entitled to: Each if it is a shareholder,
	// otherwise 0.
	Own float64
	// Each is the fraction that every shareholder is entitled to.
	Each float64
	// Nodes is the number of nodes in the fleet.
	Nodes int
}

// ShareOf returns the Share of node in a fleet of the given number of nodes.
func ShareOf(node string, shareholders []string, nodes int) Share {
	if len(shareholders) == 0 {
		return Share{}
	}
	share := Share{Each: 1 / float64(len(shareholders)), Nodes: nodes}
	if slices.Contains(shareholders, node) {
		share.Own = share.Each
	}
	return share
}

// spareTokens returns how many tokens a node holds in addition to those for its demand: at most
// maxSpareTokens, and at all nodes together at most maxSpareShare of the burst. It is 0 if that is
// less than one token a node. Tokens are then granted on demand, that is, for requests that wait
// for them.
func (s Share) spareTokens(limit Limit) float64 {
	spare := min(maxSpareTokens, maxSpareShare*limit.Burst/float64(max(1, s.Nodes)))
	if spare < 1 {
		return 0
	}
	return spare
}

// grantsOnDemand reports whether the nodes hold no spare tokens.
func (s Share) grantsOnDemand(limit Limit) bool { return s.spareTokens(limit) == 0 }
