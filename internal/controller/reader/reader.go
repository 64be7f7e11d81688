package reader

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxAllReaders is the largest fleet, in nodes, in which every node is a reader.
	MaxAllReaders = 12
	// minReaders is the smallest number of readers of a larger fleet. Each failure domain has at
	// least one.
	minReaders = 6
	// MinPatience is how long the first node after the readers relies on their confirmations.
	MinPatience = 3 * time.Second
	// patienceStep is added to the patience each time the number of nodes that have lost theirs
	// doubles.
	patienceStep = 500 * time.Millisecond
	// otherTablesPatience is added to the patience for all tables but the configuration.
	otherTablesPatience = 3 * time.Second
)

// ID identifies a node in confirmations. It is a hash of the node's name.
type ID uint32

// IDOf returns the ID of the node called name.
func IDOf(name string) ID { return ID(xxhash.Sum64String("reader\x00"+name) >> 32) }

// Node is a live node.
type Node struct {
	Name   string
	Domain string
}

// Choose returns the names of the readers among nodes: all of a small fleet, otherwise one of each
// failure domain and as many others as minReaders asks for.
func Choose(nodes []Node) []string {
	readers, _ := order(nodes)
	names := make([]string, len(readers))
	for i, n := range readers {
		names[i] = n.Name
	}
	return names
}

// rankedNode is a Node with its ID.
type rankedNode struct {
	Node
	id ID
}

// order returns the readers among nodes and the other nodes, each sorted by ID.
func order(nodes []Node) (readers, others []rankedNode) {
	ranked := make([]rankedNode, len(nodes))
	for i, n := range nodes {
		ranked[i] = rankedNode{n, IDOf(n.Name)}
	}
	slices.SortFunc(ranked, compareRanked)
	if len(nodes) <= MaxAllReaders {
		return ranked, nil
	}
	seen := make(map[string]bool)
	for _, n := range ranked {
		if seen[n.Domain] {
			others = append(others, n)
			continue
		}
		seen[n.Domain] = true
		readers = append(readers, n)
	}
	missing := min(len(others), max(0, minReaders-len(readers)))
	readers = append(readers, others[:missing]...)
	slices.SortFunc(readers, compareRanked)
	return readers, others[missing:]
}

func compareRanked(a, b rankedNode) int {
	return cmp.Or(cmp.Compare(a.id, b.id), cmp.Compare(a.Name, b.Name))
}

// Confirmation is an answer of the store that shows that its tables are followed.
type Confirmation struct {
	// At is when the call was answered, or, if the answer may have been older, when it was sent.
	At time.Time
	// By is the node that got the answer; 0 if that is not known.
	By ID
}

// Role tells one node whether it follows the tables itself. It is not safe for concurrent use.
type Role struct {
	self     string
	id       ID
	isReader bool
	relies   bool
	// readers holds the IDs of the readers. place is this node's place among them, or among the other
	// nodes.
	readers map[ID]bool
	place   int
	// patience is how long this node relies on the confirmations of the nodes before it.
	patience time.Duration
	// newest is the newest known confirmation. It is by this node, at the time at which the Role was
	// created, before there is one.
	newest Confirmation
	// reliedAt is when the newest confirmation by a node before this one was made.
	reliedAt time.Time
}

// NewRole returns the Role of the node called self, which follows the tables itself until SetNodes
// says otherwise.
func NewRole(self string, now time.Time) *Role {
	id := IDOf(self)
	return &Role{self: self, id: id, isReader: true, newest: Confirmation{At: now, By: id}, reliedAt: now}
}

// SetNodes applies the live nodes.
func (r *Role) SetNodes(nodes []Node) {
	readers, others := order(nodes)
	r.readers = make(map[ID]bool, len(readers))
	for _, n := range readers {
		r.readers[n.id] = true
	}
	r.relies = len(nodes) > MaxAllReaders
	self := rankedNode{Node{Name: r.self}, r.id}
	if r.place, r.isReader = slices.BinarySearchFunc(readers, self, compareRanked); !r.isReader {
		r.place, _ = slices.BinarySearchFunc(others, self, compareRanked)
	}
	r.patience = patienceAt(r.place)
}

// Phase returns this node's part of interval, if the readers share it evenly: the later, the further back
// in their order. For a node that is not a reader it is the whole interval.
func (r *Role) Phase(interval time.Duration) time.Duration {
	if !r.isReader || len(r.readers) == 0 {
		return interval
	}
	return interval * time.Duration(r.place+1) / time.Duration(len(r.readers))
}

// patienceAt returns the patience of the node that place others without a reader's role precede.
func patienceAt(place int) time.Duration {
	return MinPatience + time.Duration(math.Log2(1+float64(place)/minReaders)*float64(patienceStep))
}

// Confirm records a confirmation that this node or a peer got.
func (r *Role) Confirm(c Confirmation) {
	if c.At.After(r.newest.At) {
		r.newest = c
	}
	if r.isBefore(c.By) && c.At.After(r.reliedAt) {
		r.reliedAt = c.At
	}
}

// isBefore reports whether the node with the given ID is before this one in the order.
func (r *Role) isBefore(id ID) bool { return r.readers[id] && id != r.id || id < r.id }

// Newest returns the newest known confirmation.
func (r *Role) Newest() Confirmation { return r.newest }

// ConfirmedAge returns how long ago the store last confirmed the tables.
func (r *Role) ConfirmedAge(now time.Time) time.Duration { return max(0, now.Sub(r.newest.At)) }

// FollowsConfiguration reports whether the node follows the configuration itself.
func (r *Role) FollowsConfiguration(now time.Time) bool {
	return r.isReader || now.Sub(r.reliedAt) > r.patience
}

// FollowsOtherTables reports whether the node follows the tables of targets and nodes itself.
func (r *Role) FollowsOtherTables(now time.Time) bool {
	return r.isReader || now.Sub(r.reliedAt) > r.patience+otherTablesPatience
}

// IsReader reports whether the node is one of the readers.
func (r *Role) IsReader() bool { return r.isReader }

// PeersRely reports whether other nodes rely on the readers.
func (r *Role) PeersRely() bool { return r.relies }
