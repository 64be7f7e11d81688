package owner

import (
	"time"

	"crocusyoke/internal/logpos"
	"crocusyoke/internal/owner/pool"
	"crocusyoke/internal/target"
)

// TargetStatus is the state of one target as its owner knows it.
type TargetStatus struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Leaving bool   `json:"leaving"`
	// Evacuated is true if the target's failure domain is evacuated.
	Evacuated bool            `json:"evacuated"`
	Role      target.Role     `json:"role"`
	Term      uint64          `json:"term"`
	Last      logpos.Position `json:"last"`
	// Lag is the number of log entries that the target is behind the primary's last known
	// position.
	Lag uint64 `json:"lag"`
	// Age is the maximum age of the target's data; negative if not known.
	Age time.Duration `json:"age"`
	// SeenAgo is the time since the poll was sent that brought the last status; negative if
	// there is none.
	SeenAgo time.Duration `json:"seen_ago"`
	// Errors is the fraction of recent exchanges that failed, 0 to 1.
	Errors      float64    `json:"errors"`
	Connections pool.Stats `json:"connections"`
	// InFlight counts the statements that hold a slot, Waiting those that wait for one.
	InFlight int `json:"in_flight"`
	Waiting  int `json:"waiting"`
	// Transactions is the number of open transactions.
	Transactions int `json:"transactions"`
	// Cold is true if the target has just started, or may have, and gets few requests.
	Cold bool `json:"cold,omitempty"`
}

// GroupStatus is the state of one group as its owner knows it.
type GroupStatus struct {
	Group string `json:"group"`
	Owned bool   `json:"owned"`
	// Term is the highest term seen.
	Term uint64 `json:"term"`
	// Primary is the current primary; empty if a majority confirms none.
	Primary string         `json:"primary"`
	Targets []TargetStatus `json:"targets"`
}

// Snapshot returns the state of every group that has a runtime here.
func (m *Manager) Snapshot() []GroupStatus {
	m.mu.RLock()
	groups := make([]*group, 0, len(m.groups))
	for _, g := range m.groups {
		groups = append(groups, g)
	}
	m.mu.RUnlock()
	out := make([]GroupStatus, 0, len(groups))
	for _, g := range groups {
		status := g.snapshot()
		status.Owned = m.isOwned(g.name)
		out = append(out, status)
	}
	return out
}

func (g *group) snapshot() GroupStatus {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	status := GroupStatus{Group: g.name, Term: g.evidence.HighestTerm()}
	if name, _, ok := g.evidence.Primary(now); ok {
		status.Primary = name
	}
	var head logpos.Position
	for _, m := range g.members {
		if m.name == status.Primary {
			head = m.readablePosition
		}
	}
	for _, m := range g.members {
		status.Targets = append(status.Targets, m.snapshot(now, head))
	}
	return status
}

func (m *member) snapshot(now time.Time, head logpos.Position) TargetStatus {
	status := TargetStatus{
		Name:         m.name,
		Address:      m.target.Address,
		Domain:       m.target.Domain,
		Leaving:      m.target.Leaving,
		Evacuated:    m.target.Evacuated,
		Role:         m.status.Role,
		Term:         m.status.Term,
		Last:         m.readablePosition,
		Age:          -1,
		SeenAgo:      -1,
		Errors:       m.errorShare,
		Connections:  m.pool.Stats(),
		InFlight:     m.schedule.InFlight(),
		Waiting:      m.schedule.Waiting(),
		Transactions: m.schedule.OpenTransactions(),
		Cold:         m.isCold(now),
	}
	if m.readablePosition.Index < head.Index {
		status.Lag = head.Index - m.readablePosition.Index
	}
	if m.coveredKnown {
		status.Age = now.Sub(m.coveredAt)
	}
	if !m.statusAt.IsZero() {
		status.SeenAgo = now.Sub(m.statusAt)
	}
	return status
}
