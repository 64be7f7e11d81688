package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"crocusyoke/internal/platform"
)

// Times and limits of probing.
const (
	// ProbeInterval is the time between two direct probes that a node sends.
	ProbeInterval = 250 * time.Millisecond
	// ProbeTimeout is the timeout of a direct probe.
	ProbeTimeout = 250 * time.Millisecond
	// IndirectTimeout is the timeout of an indirect probe.
	IndirectTimeout = 400 * time.Millisecond
	// IndirectProbes is the number of nodes asked to probe a node that did not answer.
	IndirectProbes = 2
	// GoneAfter is how long a node stays suspect before it counts as gone.
	GoneAfter = 3 * time.Second
	// HoldDown is the base of the hold-down, which is the time for which a node that has
	// recovered repeatedly stays suspect although it answers. There is none after the first
	// recovery. It is 2*HoldDown after the second one and doubles with each further recovery, up
	// to MaxHoldDown. A recovery counts as the first one again if more than FlapResetAfter has
	// passed since the last one.
	HoldDown       = time.Second
	MaxHoldDown    = 30 * time.Second
	FlapResetAfter = 2 * time.Minute
	// MaxUpdates and MaxHeartbeats limit what one message carries.
	MaxUpdates    = 6
	MaxHeartbeats = 64
)

// node is what this node knows about one node of the fleet.
type node struct {
	Member
	incarnation uint64
	suspectAt   time.Time
	// failures counts consecutive failures of this node's own direct probes.
	failures int
	// recoveries counts the recoveries from which the length of the next hold-down follows. The
	// last recovery was at recoveredAt. holdUntil is the end of the current hold-down. It is
	// zero if there is none.
	recoveries  int
	holdUntil   time.Time
	recoveredAt time.Time
	// aliveAt is the time of the newest heartbeat of the node. version is the highest
	// configuration version that its heartbeats have stated.
	aliveAt time.Time
	version uint64
	// sendCount counts how often the current state has been sent to other nodes.
	sendCount int
	// cell is the index of the node's cell. id is the result of nodeID for its name.
	cell int
	id   uint32
}

// Core is the membership protocol of one node. It is not safe for concurrent use.
type Core struct {
	self    platform.VM
	version uint64
	rng     *rand.Rand
	nodes   map[string]*node
	// names holds the names of the other listed nodes in random order.
	names        []string
	shuffledNext int
	nextProbe    time.Time
	listedAt     time.Time
	// selfListed and selfCurrent are as in View.
	selfListed  bool
	selfCurrent bool
	// suspects holds all nodes that are suspect, and possibly some that no longer are.
	suspects []*node
	// generation counts the changes of the View.
	generation uint64
	// broadcasts holds the nodes whose state is still being sent to other nodes. ownNode is
	// this node.
	broadcasts []*node
	ownNode    *node
	// cellCount is the number of cells. cellPeers holds the other nodes of this node's cell,
	// sorted by name.
	cellCount int
	cellPeers []*node
	// shuffled holds cellPeers in random order. A shuffled round probes each of them once, then
	// the order changes. shuffledNext is the index in shuffled of the next node to probe.
	//
	// The other probes within the cell go by distance in the order of names: cellPosition is
	// the index that this node would have in cellPeers, and stride is the distance from there
	// to the next node to probe.
	shuffled     []*node
	cellPosition int
	stride       int
	// byID maps the IDs of this cell's nodes to the nodes. An ID that several nodes share maps
	// to nil.
	byID      map[uint32]*node
	digests   []cellDigest
	probeTurn int
	// far holds the names of the nodes that are probed regardless of their cells. farTurn counts
	// these probes.
	far          []string
	farTurn      int
	observations []Observation
	// announcements is the number of announcing probes that may be sent, as of the last Tick at
	// announcementsAt.
	announcements   float64
	announcementsAt time.Time
	// maxVersion is the highest known configuration version.
	maxVersion uint64
	// omitsHeartbeats is true if replies carry neither heartbeats nor digests.
	omitsHeartbeats bool
}

// New returns the Core of the node self. incarnation must be higher than that of any earlier
// process of the same name. rng randomizes the order and the times of probes.
func New(self platform.VM, incarnation uint64, rng *rand.Rand) *Core {
	own := &node{Member: Member{Name: self.Name, Address: self.Address, Domain: self.Domain, Capacity: self.Capacity}}
	own.incarnation = incarnation
	c := &Core{self: self, ownNode: own, rng: rng, nodes: map[string]*node{}}
	c.enqueue(own)
	return c
}

// OmitHeartbeats makes replies carry neither heartbeats nor digests, which are most of a reply. It is for nodes
// that don't use the observations.
func (c *Core) OmitHeartbeats() { c.omitsHeartbeats = true }

// SetVersion records the configuration version in force here.
func (c *Core) SetVersion(version uint64) { c.version = max(c.version, version) }

// Leave marks this node as leaving and returns the probes that announce it.
func (c *Core) Leave() []OutboundProbe {
	c.ownNode.State = Leaving
	c.generation++
	c.ownNode.incarnation++
	c.enqueue(c.ownNode)
	sends := make([]OutboundProbe, 0, len(c.nodes))
	for _, name := range c.names {
		sends = append(sends, c.probe(c.nodes[name], ""))
		if len(sends) == maxAnnouncements {
			break
		}
	}
	return sends
}

// Tick returns the probes due at now.
func (c *Core) Tick(now time.Time) []OutboundProbe {
	c.accrueAnnouncements(now)
	c.resolveSuspects(now)
	if now.Before(c.nextProbe) || len(c.names) == 0 {
		return nil
	}
	if c.nextProbe.IsZero() {
		c.nextProbe = now.Add(time.Duration(c.rng.Int64N(int64(ProbeInterval))))
		return nil
	}
	c.nextProbe = now.Add(ProbeInterval)
	n := c.nextProbeNode()
	return []OutboundProbe{c.probe(n, "")}
}

func (c *Core) probe(n *node, through string) OutboundProbe {
	probe := Probe{Gossip: c.baseGossip(), Through: through}
	if n.State == Suspect || n.State == Gone {
		probe.Gossip.Updates = append(probe.Gossip.Updates, n.update())
	}
	return OutboundProbe{To: n.Name, Address: n.Address, Probe: probe}
}

// OnProbe processes the gossip of a probe that arrived. The arrival of a probe does not show
// that its sender can be reached, so it does not end this node's suspicion of the sender.
func (c *Core) OnProbe(p Probe, now time.Time) {
	c.mergeGossip(p.Gossip, time.Time{}, now)
}

// OnReply processes the answer to a probe that was sent at sentAt.
func (c *Core) OnReply(from string, r Reply, sentAt, now time.Time) {
	c.mergeGossip(r.Gossip, sentAt, now)
	if n := c.nodes[from]; n != nil {
		c.reached(n)
	}
}

// OnTimeout records that name did not answer a direct probe, and returns the indirect probes
// to send. The caller must call OnUnreachable only if those have failed too.
func (c *Core) OnTimeout(name string) []OutboundProbe {
	n := c.nodes[name]
	if n == nil {
		return nil
	}
	n.failures++
	var sends []OutboundProbe
	for _, i := range c.rng.Perm(len(c.names)) {
		relay := c.nodes[c.names[i]]
		if relay.Name != name && relay.State == Alive && relay.failures == 0 {
			sends = append(sends, c.probe(relay, name))
		}
		if len(sends) == IndirectProbes {
			break
		}
	}
	return sends
}

// OnLinkLost records that the link to the node at address broke or went silent. It returns
// the probes that find out whether the node has failed: a direct one and the indirect ones.
// If none of them is answered, the caller must call OnUnreachable. ok is false if no node
// that is alive has this address.
func (c *Core) OnLinkLost(address string) (direct OutboundProbe, indirect []OutboundProbe, ok bool) {
	for _, name := range c.names {
		n := c.nodes[name]
		if n.Address == address && n.State == Alive {
			return c.probe(n, ""), c.OnTimeout(name), true
		}
	}
	return OutboundProbe{}, nil, false
}

// Generation returns a number that grows whenever the View changes.
func (c *Core) Generation() uint64 { return c.generation }

// View returns a View as of the last event.
func (c *Core) View() *View {
	v := &View{
		Self: c.self.Name, ListedAt: c.listedAt, SelfListed: c.selfListed, SelfCurrent: c.selfCurrent,
		Members: make([]Member, 0, len(c.nodes)+1),
	}
	for _, n := range c.nodes {
		v.Members = append(v.Members, n.Member)
	}
	v.Members = append(v.Members, c.ownNode.Member)
	slices.SortFunc(v.Members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return v
}

// Probe returns a direct probe of the node called name, to be sent on behalf of another node.
func (c *Core) Probe(name string) (OutboundProbe, bool) {
	n := c.nodes[name]
	if n == nil {
		return OutboundProbe{}, false
	}
	return c.probe(n, ""), true
}
