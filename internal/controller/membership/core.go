package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"crocusyoke/internal/platform"
)

// Bounds of probing.
const (
	// ProbeEvery is the time between two direct probes of one node.
	ProbeEvery = 250 * time.Millisecond
	// ProbeTimeout bounds one direct probe.
	ProbeTimeout = 250 * time.Millisecond
	// IndirectTimeout bounds one indirect probe.
	IndirectTimeout = 400 * time.Millisecond
	// IndirectProbes is the number of nodes asked to reach one that did not answer.
	IndirectProbes = 2
	// GoneAfter is how long a node stays suspect before it counts as gone.
	GoneAfter = 3 * time.Second
	// HoldDown is how long a node that came back stays suspect; it doubles at each
	// return up to MaxHoldDown and is forgotten after FlapMemory without a failure.
	HoldDown    = time.Second
	MaxHoldDown = 30 * time.Second
	FlapMemory  = 2 * time.Minute
	// MaxUpdates and MaxHeartbeats bound what one message carries.
	MaxUpdates    = 6
	MaxHeartbeats = 64
)

type node struct {
	Member
	incarnation uint64
	suspectAt   time.Time
	// failures in a row of this node's own direct probes.
	failures int
	returns  int
	holdTill time.Time
	backAt   time.Time
	// heardAt and version are the newest heartbeat.
	heardAt time.Time
	version uint64
	// spread counts how often the state has been passed on.
	spread int
	cell   int
	id     uint32
}

// Core is one node's membership. It is not safe for concurrent use.
type Core struct {
	self      platform.VM
	version   uint64
	rng       *rand.Rand
	nodes     map[string]*node
	order     []string
	next      int
	nextProbe time.Time
	listedAt  time.Time
	// selfListed and selfCurrent are as in View.
	selfListed  bool
	selfCurrent bool
	// doubted holds the suspect nodes, and some that are so no more.
	doubted []*node
	// generation counts changes of the View.
	generation uint64
	// pending holds the nodes whose state is still being passed on; own is this node.
	pending []*node
	own     *node
	// cells is the number of cells, mates the other nodes of this node's cell.
	cells int
	mates []*node
	// round holds mates in the order of the current round of probing; place is where this
	// node would be among mates, distance that of the next jump.
	round    []*node
	place    int
	distance int
	// byID finds this cell's nodes; nil stands for several of one hash.
	byID    map[uint32]*node
	digests []cellDigest
	turn    int
	beats   []Beat
	// maxVersion is the highest configuration version heard of.
	maxVersion uint64
}

// New returns the Core of the node self. incarnation must be higher than that of any
// earlier process of the same name; rng spreads probes.
func New(self platform.VM, incarnation uint64, rng *rand.Rand) *Core {
	own := &node{Member: Member{Name: self.Name, Address: self.Address, Domain: self.Domain}}
	own.incarnation = incarnation
	c := &Core{self: self, own: own, rng: rng, nodes: map[string]*node{}}
	c.pass(own)
	return c
}

// SetVersion records the configuration version in force here.
func (c *Core) SetVersion(version uint64) { c.version = max(c.version, version) }

// Leave marks this node as leaving and returns the probes that announce it.
func (c *Core) Leave() []Send {
	c.own.State = Leaving
	c.generation++
	c.own.incarnation++
	c.pass(c.own)
	sends := make([]Send, 0, len(c.nodes))
	for _, name := range c.order {
		sends = append(sends, c.probe(c.nodes[name], ""))
		if len(sends) == maxAnnounced {
			break
		}
	}
	return sends
}

const maxAnnounced = 32

// SetListed takes over a platform list whose read began at readAt.
func (c *Core) SetListed(vms []platform.VM, readAt time.Time) {
	if readAt.Before(c.listedAt) {
		return
	}
	c.listedAt = readAt
	c.generation++
	changed := false
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm.Name] = true
		if vm.Name != c.self.Name {
			changed = c.list(vm, readAt) || changed
		}
	}
	c.selfCurrent = slices.Contains(vms, c.self)
	c.selfListed = listed[c.self.Name]
	c.order = slices.DeleteFunc(c.order, func(name string) bool { return !listed[name] })
	for name := range c.nodes {
		if !listed[name] {
			delete(c.nodes, name)
			changed = true
		}
	}
	if changed || c.cells == 0 {
		c.divide()
	}
}

// list takes in one listed node and reports whether it is new.
func (c *Core) list(vm platform.VM, now time.Time) bool {
	n := c.nodes[vm.Name]
	added := n == nil
	if added {
		n = &node{}
		c.nodes[vm.Name] = n
		at := c.rng.IntN(len(c.order) + 1)
		c.order = slices.Insert(c.order, at, vm.Name)
	}
	n.Name, n.Address, n.Domain, n.Fingerprint = vm.Name, vm.Address, vm.Domain, vm.Fingerprint
	if vm.State == platform.VMLeaving && n.State < Leaving {
		c.set(n, n.incarnation, Leaving, now)
	}
	return added
}

// Tick returns the probes due at now.
func (c *Core) Tick(now time.Time) []Send {
	c.settleAll(now)
	if now.Before(c.nextProbe) || len(c.order) == 0 {
		return nil
	}
	if c.nextProbe.IsZero() {
		c.nextProbe = now.Add(time.Duration(c.rng.Int64N(int64(ProbeEvery))))
		return nil
	}
	c.nextProbe = now.Add(ProbeEvery)
	target := c.nextTarget()
	return []Send{c.probe(target, "")}
}

// settleAll looks at the nodes in suspicion.
func (c *Core) settleAll(now time.Time) {
	if len(c.doubted) == 0 {
		return
	}
	for _, n := range c.doubted {
		if n.State == Suspect && n.holdTill.Before(now) {
			c.settle(n, now)
		}
	}
	c.doubted = slices.DeleteFunc(c.doubted, func(n *node) bool { return n.State != Suspect })
}

func (c *Core) doubt(n *node) {
	if !slices.Contains(c.doubted, n) {
		c.doubted = append(c.doubted, n)
	}
}

// settle ends a suspicion: back to alive after a hold-down, else to gone.
func (c *Core) settle(n *node, now time.Time) {
	if n.failures == 0 && !n.holdTill.IsZero() {
		n.State, n.holdTill = Alive, time.Time{}
		c.generation++
		c.pass(n)
		return
	}
	if now.Sub(n.suspectAt) >= GoneAfter {
		c.set(n, n.incarnation, Gone, now)
	}
}

func (c *Core) probe(n *node, through string) Send {
	probe := Probe{Gossip: c.news(), Through: through}
	if n.State == Suspect || n.State == Gone {
		probe.Gossip.Updates = append(probe.Gossip.Updates, n.update())
	}
	return Send{To: n.Name, Address: n.Address, Probe: probe}
}

// OnProbe takes in the gossip of a probe that arrived. That a probe arrives does not
// show that its sender can be reached, so it clears no suspicion of this node's own.
func (c *Core) OnProbe(p Probe, now time.Time) {
	c.absorb(p.Gossip, time.Time{}, now)
}

// OnReply takes in the answer to a probe sent at sentAt.
func (c *Core) OnReply(from string, r Reply, sentAt, now time.Time) {
	c.absorb(r.Gossip, sentAt, now)
	if n := c.nodes[from]; n != nil {
		c.reached(n)
	}
}

// reached records a direct answer. A suspicion ends by the node's own refutation, a
// higher incarnation, which the answer carries since the probe told the node of it.
func (c *Core) reached(n *node) { n.failures = 0 }

// comeBack starts the hold-down of a node that answered again.
func (c *Core) comeBack(n *node, now time.Time) {
	if now.Sub(n.backAt) > FlapMemory {
		n.returns = 0
	}
	n.backAt = now
	hold := min(HoldDown<<min(n.returns, 10), MaxHoldDown)
	if n.returns == 0 {
		hold = 0
	}
	n.returns++
	c.generation++
	n.State, n.suspectAt, n.holdTill, n.failures = Suspect, now, now.Add(hold), 0
	c.pass(n)
	c.doubt(n)
	if hold == 0 {
		c.settle(n, now)
	}
}

// OnTimeout records that name did not answer a direct probe, and returns the indirect
// probes to send. Only once those have failed too does the caller use OnUnreached.
func (c *Core) OnTimeout(name string) []Send {
	n := c.nodes[name]
	if n == nil {
		return nil
	}
	n.failures++
	var sends []Send
	for _, i := range c.rng.Perm(len(c.order)) {
		relay := c.nodes[c.order[i]]
		if relay.Name != name && relay.State == Alive && relay.failures == 0 {
			sends = append(sends, c.probe(relay, name))
		}
		if len(sends) == IndirectProbes {
			break
		}
	}
	return sends
}

// OnLost records that the link to the node at address broke or went silent, and returns the
// probes that tell whether the node is gone: one of this node's own and the indirect ones.
// Without an answer to any the caller uses OnUnreached.
func (c *Core) OnLost(address string) (direct Send, indirect []Send, ok bool) {
	for _, name := range c.order {
		n := c.nodes[name]
		if n.Address == address && n.State == Alive {
			return c.probe(n, ""), c.OnTimeout(name), true
		}
	}
	return Send{}, nil, false
}

// OnUnreached records that neither this node nor those it asked reached name. It returns the
// probes that tell others at once if this is news here: what name served is to pass on.
func (c *Core) OnUnreached(name string, now time.Time) []Send {
	n := c.nodes[name]
	if n == nil || n.State >= Leaving || n.State != Alive && n.holdTill.IsZero() {
		return nil
	}
	fresh := n.State == Alive
	n.holdTill = time.Time{}
	c.set(n, n.incarnation, Suspect, now)
	if !fresh {
		return nil
	}
	return c.announce()
}

// announce returns probes of the nodes that seem alive, maxAnnounced at most, which carry what
// is new.
func (c *Core) announce() []Send {
	var sends []Send
	for _, name := range c.order {
		if len(sends) == maxAnnounced {
			break
		}
		if n := c.nodes[name]; n.State == Alive && n.failures == 0 {
			sends = append(sends, c.probe(n, ""))
		}
	}
	return sends
}

func (c *Core) set(n *node, incarnation uint64, state State, now time.Time) {
	if state == Suspect && n.State != Suspect {
		n.suspectAt = now
	}
	if state == Suspect {
		c.doubt(n)
	}
	n.incarnation, n.State = incarnation, state
	c.generation++
	c.pass(n)
}

// Generation returns a number that grows whenever the View changes.
func (c *Core) Generation() uint64 { return c.generation }

// View returns the picture as of the last event.
func (c *Core) View() *View {
	v := &View{
		Self: c.self.Name, ListedAt: c.listedAt, SelfListed: c.selfListed, SelfCurrent: c.selfCurrent,
		Members: make([]Member, 0, len(c.nodes)+1),
	}
	for _, n := range c.nodes {
		v.Members = append(v.Members, n.Member)
	}
	v.Members = append(v.Members, c.own.Member)
	slices.SortFunc(v.Members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return v
}

// Probe returns a direct probe of the node called name, on behalf of another node.
func (c *Core) Probe(name string) (Send, bool) {
	n := c.nodes[name]
	if n == nil {
		return Send{}, false
	}
	return c.probe(n, ""), true
}
