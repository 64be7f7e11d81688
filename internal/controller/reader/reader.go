package reader

import (
	"cmp"
	"math/rand/v2"
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
	// MaxSilence is how long a node that is not a reader relies on its peers after it last heard
	// that the store confirmed the tables.
	MaxSilence = 8 * time.Second
	// silenceJitter is the largest random addition to MaxSilence, so that not all nodes turn to the
	// store at once.
	silenceJitter = 4 * time.Second
	// StandInTime is how long a node then follows the tables itself. It does not end earlier, since
	// what the node confirms comes back to it from its peers.
	StandInTime = 30 * time.Second
)

// Node is a live node.
type Node struct {
	Name   string
	Domain string
}

// Choose returns the names of the readers among nodes: all of a small fleet, otherwise one of each
// failure domain and as many others as minReaders asks for.
func Choose(nodes []Node) []string {
	ranked := slices.Clone(nodes)
	slices.SortFunc(ranked, func(a, b Node) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Name, b.Name))
	})
	if len(nodes) <= MaxAllReaders {
		return names(ranked)
	}
	var chosen, others []Node
	seen := make(map[string]bool)
	for _, n := range ranked {
		if seen[n.Domain] {
			others = append(others, n)
			continue
		}
		seen[n.Domain] = true
		chosen = append(chosen, n)
	}
	missing := min(len(others), max(0, minReaders-len(chosen)))
	return names(append(chosen, others[:missing]...))
}

func rank(n Node) uint64 { return xxhash.Sum64String("reader\x00" + n.Name) }

func names(nodes []Node) []string {
	out := make([]string, len(nodes))
	for i, n := range nodes {
		out[i] = n.Name
	}
	return out
}

// Role tells one node whether it follows the tables itself. It is not safe for concurrent use.
type Role struct {
	self string
	// patience is MaxSilence with this node's jitter.
	patience time.Duration
	isReader bool
	relies   bool
	// confirmedAt is the latest time at which the tables are known to have been confirmed by the
	// store, or when the Role was created.
	confirmedAt time.Time
	// standInUntil is until when the node follows the tables although it is not a reader.
	standInUntil time.Time
}

// NewRole returns the Role of the node called self, which follows the tables itself until SetNodes
// says otherwise.
func NewRole(self string, now time.Time, rng *rand.Rand) *Role {
	jitter := time.Duration(rng.Int64N(int64(silenceJitter)))
	return &Role{self: self, patience: MaxSilence + jitter, isReader: true, confirmedAt: now}
}

// SetNodes applies the live nodes.
func (r *Role) SetNodes(nodes []Node) {
	r.isReader = slices.Contains(Choose(nodes), r.self)
	r.relies = len(nodes) > MaxAllReaders
}

// Confirm records that the store confirmed the tables at time at, as seen by this node or a peer.
func (r *Role) Confirm(at time.Time) {
	if at.After(r.confirmedAt) {
		r.confirmedAt = at
	}
}

// ConfirmedAge returns how long ago the store last confirmed the tables.
func (r *Role) ConfirmedAge(now time.Time) time.Duration { return max(0, now.Sub(r.confirmedAt)) }

// ShouldFollow reports whether the node follows the tables itself.
func (r *Role) ShouldFollow(now time.Time) bool {
	if r.ConfirmedAge(now) > r.patience {
		r.standInUntil = now.Add(StandInTime)
	}
	return r.isReader || now.Before(r.standInUntil)
}

// IsReader reports whether the node is one of the readers.
func (r *Role) IsReader() bool { return r.isReader }

// PeersRely reports whether other nodes rely on the readers.
func (r *Role) PeersRely() bool { return r.relies }
