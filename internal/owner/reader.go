package owner

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
