package membership

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// State is what is known about a node. Of two states of the same incarnation, the one of
// higher value wins.
type State uint8

// The states of a node.
const (
	Alive State = iota
	// Suspect nodes answered neither the direct probe of a node nor its indirect probes through
	// other nodes. Nodes in hold-down, which answer again after several failures, are Suspect
	// too.
	Suspect
	// Leaving nodes finish their current work and accept no new work.
	Leaving
	// Gone nodes have been suspect for GoneAfter.
	Gone
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"alive", "suspect", "leaving", "gone"}[min(s, Gone)]
}

// Update announces one node's state.
type Update struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint64
	State       State
}

// Heartbeat states how long ago a node is known to have been alive, and which configuration
// version it had in force then.
type Heartbeat struct {
	_ struct{} `cbor:",toarray"`
	// Node is the hash of the node's name, as returned by nodeID.
	Node    uint32
	Version uint64
	// Age is in milliseconds, rounded up.
	Age uint32
}

// Digest summarizes the heartbeats of one cell, which is one of the groups of nodes into which
// a large fleet is divided (see CellSize).
type Digest struct {
	_    struct{} `cbor:",toarray"`
	Cell uint16
	// Count is the number of the cell's nodes that were heard from within MaxHeartbeatAge.
	Count uint16
	// MinVersion is the lowest configuration version among them.
	MinVersion uint64
	// Age is the age of the oldest heartbeat counted, in milliseconds, rounded up.
	Age uint32
}

// Gossip is the membership data that probes and replies carry. Only replies carry heartbeats
// and digests: the receiver of a reply subtracts their ages from the time at which it sent its
// probe. The receiver of a probe does not know how long the probe was in transit, so it could
// not determine the ages.
type Gossip struct {
	From        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Leaving     bool   `cbor:"3,keyasint,omitempty"`
	// ConfigVersion is the configuration version in force at From.
	ConfigVersion uint64      `cbor:"4,keyasint"`
	Updates       []Update    `cbor:"5,keyasint,omitempty"`
	Heartbeats    []Heartbeat `cbor:"6,keyasint,omitempty"`
	Digests       []Digest    `cbor:"7,keyasint,omitempty"`
	// Cells is the number of cells into which From divides the fleet.
	Cells uint16 `cbor:"8,keyasint"`
}

// Probe asks a node whether it is alive.
type Probe struct {
	Gossip Gossip `cbor:"1,keyasint"`
	// Through is the name of a node that the receiver is asked to probe. It is empty for a
	// direct probe.
	Through string `cbor:"2,keyasint,omitempty"`
}

// Reply answers a Probe.
type Reply struct {
	Gossip Gossip `cbor:"1,keyasint"`
	// Reached is true if the node named by Through answered.
	Reached bool `cbor:"2,keyasint,omitempty"`
	// Attached is data that the answering node adds to its replies. It is opaque to this
	// package.
	Attached []byte `cbor:"3,keyasint,omitempty"`
}

// OutboundProbe is a probe that is to be sent.
type OutboundProbe struct {
	To      string
	Address string
	Probe   Probe
}

// Member is one node of a View.
type Member struct {
	Name    string
	Address string
	Domain  string
	State   State
	// Fingerprint is the fingerprint of the node's certificate in the platform's list. It is
	// empty if the list has none.
	Fingerprint string
	// Capacity is the node's processor, in thousandths of a core; 0 if it is not known.
	Capacity int
}

// View is an immutable snapshot of the listed nodes, sorted by name.
type View struct {
	// Self is this node's name.
	Self string
	// Members holds every listed node, and always this node.
	Members []Member
	// ListedAt is the time of the platform's list from which Members was built: the start of the
	// read that returned this list. It is zero before the first read.
	ListedAt time.Time
	// SelfListed is true if that list had an entry with this node's name. SelfCurrent is true if
	// the entry matched this process in every field.
	SelfListed  bool
	SelfCurrent bool
}

// Listed returns the names on the platform's list. It includes this node only if the list
// did.
func (v *View) Listed() []string {
	names := make([]string, 0, len(v.Members))
	for _, m := range v.Members {
		if m.Name != v.Self || v.SelfListed {
			names = append(names, m.Name)
		}
	}
	return names
}

// Member returns the member called name.
func (v *View) Member(name string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(v.Members, name, func(m Member, name string) int {
		return strings.Compare(m.Name, name)
	})
	if !ok {
		return Member{}, false
	}
	return v.Members[i], true
}

// MaxListReaders is the number of nodes that read the platform's list frequently on behalf of
// all nodes.
const MaxListReaders = 64

// ListReaders returns the members that read the platform's list frequently: all nodes of a
// small fleet, otherwise MaxListReaders of them. Equal views give the same members.
func (v *View) ListReaders() []Member {
	if len(v.Members) <= MaxListReaders {
		return v.Members
	}
	readers := slices.Clone(v.Members)
	slices.SortFunc(readers, func(a, b Member) int { return cmp.Compare(nodeID(a.Name), nodeID(b.Name)) })
	return readers[:MaxListReaders]
}

// Live returns the members that accept new work.
func (v *View) Live() []Member {
	live := make([]Member, 0, len(v.Members))
	for _, m := range v.Members {
		if m.State == Alive {
			live = append(live, m)
		}
	}
	return live
}
