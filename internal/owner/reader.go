package owner

import "crocusyoke/internal/fleet"

// SetReads sets whether this node is the reader of a failure domain of the group: nodes there send it the reads
// that a replica in its own failure domain may serve. A reader that does not own the group places nothing
// on other targets, gathers evidence of its own, and holds connections as an owner does. A release of the group
// that still waits ends, as with SetOwned.
func (m *Manager) SetReads(name string, reads bool) {
	m.mu.Lock()
	if reads {
		m.reads[name] = true
		delete(m.released, name)
	} else {
		delete(m.reads, name)
	}
	g := m.groups[name]
	if g != nil && reads && !m.draining {
		g.resume()
	}
	m.mu.Unlock()
	if g != nil {
		g.setReads(reads)
	}
}

func (g *group) setReads(reads bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.reads && !reads {
		g.lostAt = g.now()
	}
	g.reads = reads
	g.resizeAll()
}

// leavesToOthers reports whether this node, as a reader only, leaves t to the nodes that serve other failure domains.
// g.mu is held.
func (g *group) leavesToOthers(t *fleet.Target) bool {
	return g.reads && !g.owned && t.Domain != g.options.Domain
}

func (g *group) hasReader(domain string) bool {
	return g.options.HasReader != nil && g.options.HasReader(g.name, domain)
}

// readerControlConnections returns the number of a target's connections that are reserved for the polls of other
// readers of the group and of those that they may have replaced. g.mu is held.
func (g *group) readerControlConnections() int {
	count := 0
	for i, m := range g.members {
		isFirst := true
		for _, earlier := range g.members[:i] {
			isFirst = isFirst && earlier.target.Domain != m.target.Domain
		}
		if isFirst && g.hasReader(m.target.Domain) {
			count += controlConnections
		}
	}
	return count
}
