package membership

import (
	"math/bits"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Sizes of cells and limits of gossip.
const (
	// CellSize is the approximate number of nodes that exchange individual heartbeats. Fleets of
	// less than twice this size are one cell. In larger fleets, nodes receive only digests of
	// the other cells.
	CellSize = 32
	// MaxDigests is the maximum number of digests in one message.
	MaxDigests = 64
	// MaxHeartbeatAge is the maximum age of a heartbeat that is passed on or counted in a
	// digest.
	MaxHeartbeatAge = 2 * time.Second
	// An update is sent retransmitFactor times the binary logarithm of the fleet's size.
	retransmitFactor = 3
	// maxForwardAge is the maximum age at which digests of other cells are passed on.
	maxForwardAge = 4 * time.Second
	// digestReplaceAge is how much newer a digest must be to replace one that counts more nodes.
	digestReplaceAge = 300 * time.Millisecond
	// Every shuffledPeriod-th probe goes to the next node of a shuffled round, which probes each
	// node of the cell once in random order.
	shuffledPeriod = 8
	// shuffledPeriodLarge replaces shuffledPeriod from CellSize nodes on, where each probe of another node
	// costs a new connection.
	shuffledPeriodLarge = 32
	// Every farPeriod-th probe in a fleet of several cells goes to one of farPeers nodes, chosen
	// among all, instead of one of the same cell. After farRotation such probes one of them is
	// replaced.
	farPeriod   = 3
	farPeers    = 4
	farRotation = 16
)

// cellDigest is the digest of one cell that was last received. heardAt is the time of the
// oldest heartbeat counted in it.
type cellDigest struct {
	Digest
	heardAt time.Time
}

// assignCells assigns the nodes to cells. Nodes with lists of different sizes may use
// different numbers of cells, so gossip carries this number, and digests are used only if it
// is the same.
func (c *Core) assignCells() {
	cells := 1
	for (len(c.nodes)+1)/(cells*2) >= CellSize {
		cells *= 2
	}
	if cells != c.cellCount {
		c.cellCount = cells
		c.digests = make([]cellDigest, cells)
	}
	c.ownNode.cell = c.cellOf(c.self.Name)
	c.cellPeers = nil
	c.byID = make(map[uint32]*node, len(c.cellPeers))
	for _, name := range c.names {
		n := c.nodes[name]
		n.cell = c.cellOf(name)
		if n.cell == c.ownNode.cell {
			c.cellPeers = append(c.cellPeers, n)
			c.indexByID(n)
		}
	}
	slices.SortFunc(c.cellPeers, func(a, b *node) int { return strings.Compare(a.Name, b.Name) })
	c.cellPosition, _ = slices.BinarySearchFunc(c.cellPeers, c.self.Name, func(n *node, name string) int {
		return strings.Compare(n.Name, name)
	})
	c.shuffled = slices.Clone(c.cellPeers)
}

func (c *Core) indexByID(n *node) {
	n.id = nodeID(n.Name)
	if _, taken := c.byID[n.id]; taken {
		c.byID[n.id] = nil
		return
	}
	c.byID[n.id] = n
}

// nodeID returns a short hash that identifies a node within its cell.
func nodeID(name string) uint32 { return uint32(xxhash.Sum64String(name) >> 32) }

func (c *Core) cellOf(name string) int {
	return int(xxhash.Sum64String(name) & uint64(c.cellCount-1))
}

// nextProbeNode returns the next node to probe. Within the cell, most probes go to the nodes
// at distances 1, 2, 4 ... in the order of names. This spreads each heartbeat to the whole
// cell within about twice the logarithm of the cell's size, counted in probes of one node.
// The other probes follow shuffled rounds. If the node at the next distance did not answer its
// last probe, the probe also follows the shuffled round instead. With more than one cell, some
// probes go to nodes anywhere.
func (c *Core) nextProbeNode() *node {
	c.probeTurn++
	if len(c.cellPeers) == 0 || c.cellCount > 1 && c.probeTurn%farPeriod == 0 {
		return c.nextFarNode()
	}
	period := shuffledPeriod
	if len(c.names) >= CellSize {
		period = shuffledPeriodLarge
	}
	if c.probeTurn%period != 1 {
		if n := c.nextByStride(); n.failures == 0 {
			return n
		}
	}
	if c.shuffledNext >= len(c.shuffled) {
		c.shuffledNext = 0
		c.rng.Shuffle(len(c.shuffled), func(i, j int) { c.shuffled[i], c.shuffled[j] = c.shuffled[j], c.shuffled[i] })
	}
	c.shuffledNext++
	return c.shuffled[c.shuffledNext-1]
}

// nextFarNode returns the next of the nodes that are probed regardless of their cells. They change
// slowly, so that the connections to them are used again. One that did not answer its last probe is
// replaced.
func (c *Core) nextFarNode() *node {
	at := c.farTurn % farPeers
	c.farTurn++
	if len(c.far) < farPeers {
		c.far = append(c.far, c.anyName())
		at = len(c.far) - 1
	}
	if n := c.nodes[c.far[at]]; n == nil || n.failures > 0 || c.farTurn%farRotation == 0 {
		c.far[at] = c.anyName()
	}
	return c.nodes[c.far[at]]
}

func (c *Core) anyName() string { return c.names[c.rng.IntN(len(c.names))] }

// nextByStride returns the cell peer at the next distance after this node.
func (c *Core) nextByStride() *node {
	if c.stride > len(c.cellPeers) || c.stride == 0 {
		c.stride = 1
	}
	at := (c.cellPosition + c.stride - 1) % len(c.cellPeers)
	c.stride *= 2
	return c.cellPeers[at]
}

// update returns the node's state for other nodes. A hold-down, which keeps a node suspect
// after it has recovered, is local to this node, so others are told that the node is alive.
func (n *node) update() Update {
	state := n.State
	if state == Suspect && !n.holdUntil.IsZero() {
		state = Alive
	}
	return Update{Name: n.Name, Incarnation: n.incarnation, State: state}
}

// enqueue queues the node's state to be sent to other nodes.
func (c *Core) enqueue(n *node) {
	n.sendCount = 0
	if !slices.Contains(c.broadcasts, n) {
		c.broadcasts = append(c.broadcasts, n)
	}
}

// baseGossip returns the gossip that a probe carries.
func (c *Core) baseGossip() Gossip {
	return Gossip{
		From:          c.self.Name,
		Incarnation:   c.ownNode.incarnation,
		Leaving:       c.ownNode.State == Leaving,
		ConfigVersion: c.version,
		Updates:       c.nextUpdates(),
	}
}

// Gossip returns the gossip that a reply carries.
func (c *Core) Gossip(now time.Time) Gossip {
	g := c.baseGossip()
	if c.omitsHeartbeats {
		return g
	}
	g.Heartbeats = c.heartbeats(now)
	g.Cells = uint16(c.cellCount)
	g.Digests = c.digestsToSend(now)
	return g
}

// nextUpdates returns the queued updates that have been sent least often.
func (c *Core) nextUpdates() []Update {
	limit := retransmitFactor * bits.Len(uint(len(c.nodes)+1))
	c.broadcasts = slices.DeleteFunc(c.broadcasts, func(n *node) bool { return n.sendCount >= limit })
	if len(c.broadcasts) == 0 {
		return nil
	}
	slices.SortStableFunc(c.broadcasts, func(a, b *node) int { return a.sendCount - b.sendCount })
	out := make([]Update, 0, MaxUpdates)
	for _, n := range c.broadcasts[:min(len(c.broadcasts), MaxUpdates)] {
		n.sendCount++
		out = append(out, n.update())
	}
	return out
}

// heartbeats returns recent heartbeats of cell peers, starting with a random one.
func (c *Core) heartbeats(now time.Time) []Heartbeat {
	if len(c.cellPeers) == 0 {
		return nil
	}
	out := make([]Heartbeat, 0, MaxHeartbeats)
	start := c.rng.IntN(len(c.cellPeers))
	for i := range c.cellPeers {
		n := c.cellPeers[(start+i)%len(c.cellPeers)]
		if n.aliveAt.IsZero() || now.Sub(n.aliveAt) > MaxHeartbeatAge {
			continue
		}
		out = append(out, Heartbeat{Node: n.id, Version: n.version, Age: millis(now.Sub(n.aliveAt))})
		if len(out) == MaxHeartbeats {
			break
		}
	}
	return out
}

// digestsToSend returns this cell's digest and recent digests of other cells.
func (c *Core) digestsToSend(now time.Time) []Digest {
	if c.cellCount < 2 {
		return nil
	}
	out := make([]Digest, 0, MaxDigests)
	out = append(out, c.ownDigest(now))
	start := c.rng.IntN(c.cellCount)
	for i := range c.digests {
		d := c.digests[(start+i)%c.cellCount]
		if d.heardAt.IsZero() || now.Sub(d.heardAt) > maxForwardAge || int(d.Cell) == c.ownNode.cell {
			continue
		}
		d.Age = millis(now.Sub(d.heardAt))
		out = append(out, d.Digest)
		if len(out) == MaxDigests {
			break
		}
	}
	return out
}

// ownDigest summarizes the recent heartbeats of this cell.
func (c *Core) ownDigest(now time.Time) Digest {
	d := Digest{Cell: uint16(c.ownNode.cell), Count: 1, MinVersion: c.version}
	for _, n := range c.cellPeers {
		age := now.Sub(n.aliveAt)
		if n.aliveAt.IsZero() || age > MaxHeartbeatAge {
			continue
		}
		d.Count++
		d.MinVersion = min(d.MinVersion, n.version)
		d.Age = max(d.Age, millis(age))
	}
	return d
}

// CountHeard returns how many nodes are known to have had the given configuration version, or
// a later one, in force at a time no longer than age before now. This node is always counted.
func (c *Core) CountHeard(version uint64, age time.Duration, now time.Time) int {
	count := 1
	for _, n := range c.cellPeers {
		if n.version >= version && !n.aliveAt.IsZero() && now.Sub(n.aliveAt) <= age {
			count++
		}
	}
	for _, d := range c.digests {
		if int(d.Cell) != c.ownNode.cell && !d.heardAt.IsZero() && now.Sub(d.heardAt) <= age && d.MinVersion >= version {
			count += int(d.Count)
		}
	}
	return count
}

// MaxVersion returns the highest known configuration version.
func (c *Core) MaxVersion() uint64 { return c.maxVersion }

// mergeGossip processes gossip. probeSentAt is when this node sent the probe that the gossip
// answers. It is zero for gossip that arrived with another node's probe. The age of such
// gossip is unknown, so it updates states but gives no Observation.
func (c *Core) mergeGossip(g Gossip, probeSentAt, now time.Time) {
	c.maxVersion = max(c.maxVersion, g.ConfigVersion)
	state := Alive
	if g.Leaving {
		state = Leaving
	}
	c.applyUpdate(Update{Name: g.From, Incarnation: g.Incarnation, State: state}, now)
	for _, u := range g.Updates {
		c.applyUpdate(u, now)
	}
	if probeSentAt.IsZero() {
		return
	}
	c.observe(c.nodes[g.From], g.ConfigVersion, probeSentAt)
	for _, h := range g.Heartbeats {
		c.maxVersion = max(c.maxVersion, h.Version)
		c.observe(c.byID[h.Node], h.Version, probeSentAt.Add(-duration(h.Age)))
	}
	if int(g.Cells) != c.cellCount {
		return
	}
	for _, d := range g.Digests {
		c.applyDigest(d, probeSentAt.Add(-duration(d.Age)))
	}
}

// Observation is a newly received heartbeat of a node, direct or relayed: the node was alive
// at the time At. Version is the highest configuration version that its heartbeats have stated.
type Observation struct {
	Name    string
	Version uint64
	At      time.Time
}

// TakeObservations returns the observations since the last call and discards them.
func (c *Core) TakeObservations() []Observation {
	observations := c.observations
	c.observations = nil
	return observations
}

func (c *Core) observe(n *node, version uint64, at time.Time) {
	if n != nil && at.After(n.aliveAt) {
		n.aliveAt, n.version = at, max(n.version, version)
		c.observations = append(c.observations, Observation{Name: n.Name, Version: n.version, At: at})
	}
}

func (c *Core) applyDigest(d Digest, at time.Time) {
	if int(d.Cell) >= c.cellCount {
		return
	}
	known := &c.digests[d.Cell]
	// A digest that counts more nodes is kept for a while although it is older: a node that is
	// new in the cell has heard from few others.
	if at.After(known.heardAt) && (d.Count >= known.Count || at.Sub(known.heardAt) > digestReplaceAge) {
		*known = cellDigest{Digest: d, heardAt: at}
	}
}

// applyUpdate applies an update of one node's state unless it is outdated.
func (c *Core) applyUpdate(u Update, now time.Time) {
	if u.Name == c.self.Name {
		c.refute(u)
		return
	}
	n := c.nodes[u.Name]
	if n == nil || u.State > Gone {
		return
	}
	switch {
	case u.Incarnation > n.incarnation:
		c.applyNewIncarnation(n, u, now)
	case u.Incarnation == n.incarnation && u.State > n.State:
		n.holdUntil = time.Time{}
		c.setState(n, u.Incarnation, u.State, now)
	}
}

// applyNewIncarnation applies an update with a higher incarnation.
func (c *Core) applyNewIncarnation(n *node, u Update, now time.Time) {
	recovered := u.State == Alive && (n.State == Suspect || n.State == Gone)
	n.incarnation = u.Incarnation
	if recovered {
		c.handleRecovery(n, now)
		return
	}
	c.setState(n, u.Incarnation, u.State, now)
}

// refute raises this node's incarnation above that of an update which claims a wrong state of
// this node.
func (c *Core) refute(u Update) {
	if u.Incarnation < c.ownNode.incarnation || u.State == c.ownNode.State && u.Incarnation == c.ownNode.incarnation {
		return
	}
	c.ownNode.incarnation = u.Incarnation + 1
	c.enqueue(c.ownNode)
}

func millis(d time.Duration) uint32 {
	return uint32((max(d, 0) + time.Millisecond - 1) / time.Millisecond)
}

func duration(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
