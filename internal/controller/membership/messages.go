package membership

import (
	"cmp"
	"slices"
	"time"
)

// State is what is known of a node. A higher State of one incarnation wins.
type State uint8

// The states of a node.
const (
	Alive State = iota
	// Suspect nodes answered neither this node nor others.
	Suspect
	// Leaving nodes finish what they have and take nothing new.
	Leaving
	// Gone nodes have been suspect for GoneAfter.
	Gone
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"alive", "suspect", "leaving", "gone"}[min(s, Gone)]
}

// Update is news of one node's state.
type Update struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint64
	State       State
}

// Heartbeat says that a node was heard of Age ago, and its configuration version then.
type Heartbeat struct {
	_ struct{} `cbor:",toarray"`
	// Node is the hash of the node's name that nodeID returns.
	Node    uint32
	Version uint64
	// Age in milliseconds, rounded up.
	Age uint32
}

// Digest sums up the heartbeats of one cell of nodes.
type Digest struct {
	_    struct{} `cbor:",toarray"`
	Cell uint16
	// Count is the number of the cell's nodes heard of within HeardWithin.
	Count uint16
	// MinVersion is the lowest configuration version among them.
	MinVersion uint64
	// Age in milliseconds, of the oldest heartbeat counted, rounded up.
	Age uint32
}

// Gossip is what probes and replies carry. Heartbeats and digests are in replies only:
// their age is known just to a node that asked for them.
type Gossip struct {
	From        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Leaving     bool   `cbor:"3,keyasint,omitempty"`
	// ConfigVersion is the configuration version in force at From.
	ConfigVersion uint64      `cbor:"4,keyasint"`
	Updates       []Update    `cbor:"5,keyasint,omitempty"`
	Heartbeats    []Heartbeat `cbor:"6,keyasint,omitempty"`
	Digests       []Digest    `cbor:"7,keyasint,omitempty"`
	// Cells is the number of cells that From divides the fleet into.
	Cells uint16 `cbor:"8,keyasint"`
}

// Probe asks a node whether it is alive.
type Probe struct {
	Gossip Gossip `cbor:"1,keyasint"`
	// Through asks the receiver to probe the node of this name; empty for a direct probe.
	Through string `cbor:"2,keyasint,omitempty"`
}

// Reply answers a Probe.
type Reply struct {
	Gossip Gossip `cbor:"1,keyasint"`
	// Reached is true when the node named in Through answered.
	Reached bool `cbor:"2,keyasint,omitempty"`
	// Attached is what the answering node attaches to its own answers, opaque here.
	Attached []byte `cbor:"3,keyasint,omitempty"`
}

// Send is a probe to be sent.
type Send struct {
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
	// Fingerprint is that of the node's certificate, as listed; empty if none is.
	Fingerprint string
}

// View is an immutable picture of the listed nodes, sorted by name.
type View struct {
	// Self is this node's name.
	Self string
	// Members holds every listed node, this one too.
	Members []Member
	// ListedAt is when the read of the platform's list that Members comes from began; it
	// is zero before the first one.
	ListedAt time.Time
	// SelfListed is true when that list held this node, SelfCurrent when it did with all
	// that is true of this process.
	SelfListed  bool
	SelfCurrent bool
}

// Listed returns the names on the list; this node's only if it was there.
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
	for _, m := range v.Members {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}

// MaxRelays is the number of nodes that read the platform's list often for all others.
const MaxRelays = 64

// Relays returns the members that read the list often: all of a small fleet, else
// MaxRelays of them, the same in equal views.
func (v *View) Relays() []Member {
	if len(v.Members) <= MaxRelays {
		return v.Members
	}
	relays := slices.Clone(v.Members)
	slices.SortFunc(relays, func(a, b Member) int { return cmp.Compare(nodeID(a.Name), nodeID(b.Name)) })
	return relays[:MaxRelays]
}

// Live returns the members that take new work.
func (v *View) Live() []Member {
	live := make([]Member, 0, len(v.Members))
	for _, m := range v.Members {
		if m.State == Alive {
			live = append(live, m)
		}
	}
	return live
}
