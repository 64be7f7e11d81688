package owner

import "crocusyoke/internal/fleet"

// resize applies the slot and connection limits of m's target to m. g.mu is held.
func (g *group) resize(m *member) {
	slots, limit := g.limits(&m.target)
	m.pool.SetLimit(limit)
	now := g.now()
	m.deliver(now, m.schedule.Resize(now, slots, maxOpenTransactions(limit, slots)))
}

// limits returns how many of t's slots and data connections this node may use. A former owner gets a connection
// for each slot, since there may be several, and the next owner needs its connections at once. No connection is
// opened to an evacuated target, and idle ones are closed.
func (g *group) limits(t *fleet.Target) (slots, connections int) {
	if t.Evacuated {
		return t.Slots, 0
	}
	if split := g.options.Split; split > 0 {
		return max(1, t.Slots/split), max(2, (t.Connections-split)/split)
	}
	connections = dataConnectionLimit(t.Connections-g.readerControlConnections()-g.homeConnections(t), g.exclusive)
	if g.isFormerOwner(g.now()) || g.leavesToOthers(t) {
		connections = min(connections, max(2, t.Slots))
	}
	return t.Slots, connections
}

// controlConnections is the number of a target's connections that are reserved for polling:
// one for each of two owners that may exist at the same time.
const controlConnections = 2

// dataConnectionLimit returns how many data connections an owner may hold to a target with
// the given number of connections. These are all but the control connections if no other owner
// can exist (exclusive), otherwise half of that number.
func dataConnectionLimit(connections int, exclusive bool) int {
	data := max(2, connections-controlConnections)
	if exclusive {
		return data
	}
	return data / 2
}

// maxOpenTransactions returns the maximum number of open transactions. Each of them pins a
// connection; the maximum leaves one unpinned connection for every slot.
func maxOpenTransactions(limit, slots int) int { return max(1, limit-slots) }
