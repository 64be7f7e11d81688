package owner

import (
	"slices"
	"time"

	"crocusyoke/internal/target"
)

// ExpectHold records that this node is about to put a target of a group on hold. Polls of it from before no longer
// count.
func (m *Manager) ExpectHold(name, targetName string) {
	m.mu.RLock()
	g := m.groups[name]
	m.mu.RUnlock()
	if g == nil {
		return
	}
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.evidence.ForgetReplica(targetName, now)
}

// ObserveHeld records that a target of a group is on hold for a higher term at the given time, as an order of this
// node has made it. The polls from before no longer count. It is ignored for groups that this node does not serve.
func (m *Manager) ObserveHeld(name string, at time.Time, status target.Status) {
	m.mu.RLock()
	g := m.groups[name]
	m.mu.RUnlock()
	if g == nil {
		return
	}
	if member := g.memberCalled(status.Target); member != nil {
		g.observe(member, at, status)
		g.mu.Lock()
		g.wakePollers()
		g.mu.Unlock()
	}
}

// memberCalled returns the member with the given name, or nil.
func (g *group) memberCalled(name string) *member {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := slices.IndexFunc(g.members, func(m *member) bool { return m.name == name })
	if i < 0 {
		return nil
	}
	return g.members[i]
}
