package membership

import (
	"slices"
	"time"
)

const (
	// maxAnnouncements is the maximum number of probes that announce one event.
	maxAnnouncements = 32
	// announcementsPerSecond is how many probes that announce suspicions a node may send a second,
	// beyond maxAnnouncements at once. Most of them need a new connection, so that more would fill
	// the links when many nodes fail together.
	announcementsPerSecond = 8
)

// resolveSuspects calls resolveSuspicion for each suspect node, except while the node is in a
// hold-down, the time for which a node that has recovered repeatedly stays suspect.
func (c *Core) resolveSuspects(now time.Time) {
	if len(c.suspects) == 0 {
		return
	}
	for _, n := range c.suspects {
		if n.State == Suspect && n.holdUntil.Before(now) {
			c.resolveSuspicion(n, now)
		}
	}
	c.suspects = slices.DeleteFunc(c.suspects, func(n *node) bool { return n.State != Suspect })
}

func (c *Core) addSuspect(n *node) {
	if !slices.Contains(c.suspects, n) {
		c.suspects = append(c.suspects, n)
	}
}

// resolveSuspicion sets n to alive if a hold-down of n has ended and this node's last direct
// probe of n did not fail. Otherwise it sets n to gone once n has been suspect for GoneAfter.
func (c *Core) resolveSuspicion(n *node, now time.Time) {
	if n.failures == 0 && !n.holdUntil.IsZero() {
		n.State, n.holdUntil = Alive, time.Time{}
		c.generation++
		c.enqueue(n)
		return
	}
	if now.Sub(n.suspectAt) >= GoneAfter {
		c.setState(n, n.incarnation, Gone, now)
	}
}

// reached records that a node answered a direct probe. This alone does not end a suspicion of
// the node. The probe tells the node about the suspicion, the node then raises its
// incarnation, and the gossip in its answer carries the new incarnation, which ends it.
func (c *Core) reached(n *node) { n.failures = 0 }

// handleRecovery starts the hold-down of a node that was suspect or gone and has announced
// with a higher incarnation that it is alive. After its first recovery, the node is alive
// without a hold-down.
func (c *Core) handleRecovery(n *node, now time.Time) {
	if now.Sub(n.recoveredAt) > FlapResetAfter {
		n.recoveries = 0
	}
	n.recoveredAt = now
	hold := min(HoldDown<<min(n.recoveries, 10), MaxHoldDown)
	if n.recoveries == 0 {
		hold = 0
	}
	n.recoveries++
	c.generation++
	n.State, n.suspectAt, n.holdUntil, n.failures = Suspect, now, now.Add(hold), 0
	c.enqueue(n)
	c.addSuspect(n)
	if hold == 0 {
		c.resolveSuspicion(n, now)
	}
}

// OnUnreachable records that the node called name answered neither this node nor the nodes
// that this node asked to probe it. The node becomes suspect if it was alive, or loses its
// hold-down if it was in one. If it was alive, OnUnreachable returns the probes that announce
// the suspicion at once, because other nodes have to take over what the node served. A node that finds
// many others unreachable announces only what its allowance permits: the rest goes out with the regular
// probes.
func (c *Core) OnUnreachable(name string, now time.Time) []OutboundProbe {
	n := c.nodes[name]
	if n == nil || n.State >= Leaving || n.State != Alive && n.holdUntil.IsZero() {
		return nil
	}
	wasAlive := n.State == Alive
	n.holdUntil = time.Time{}
	c.setState(n, n.incarnation, Suspect, now)
	if !wasAlive {
		return nil
	}
	return c.announce()
}

// announce returns probes that carry the queued updates to the nodes that appear alive, but
// to no more than the allowance permits.
func (c *Core) announce() []OutboundProbe {
	var sends []OutboundProbe
	for _, name := range c.names {
		if c.announcements < 1 {
			break
		}
		if n := c.nodes[name]; n.State == Alive && n.failures == 0 {
			sends = append(sends, c.probe(n, ""))
			c.announcements--
		}
	}
	return sends
}

// accrueAnnouncements adds to the allowance what has accrued until now. It is empty at the first call: a
// node that has just started may find others unreachable only because they start too.
func (c *Core) accrueAnnouncements(now time.Time) {
	if !c.announcementsAt.IsZero() {
		accrued := announcementsPerSecond * now.Sub(c.announcementsAt).Seconds()
		c.announcements = min(maxAnnouncements, c.announcements+max(0, accrued))
	}
	c.announcementsAt = now
}

func (c *Core) setState(n *node, incarnation uint64, state State, now time.Time) {
	if state == Suspect && n.State != Suspect {
		n.suspectAt = now
	}
	if state == Suspect {
		c.addSuspect(n)
	}
	n.incarnation, n.State = incarnation, state
	c.generation++
	c.enqueue(n)
}
