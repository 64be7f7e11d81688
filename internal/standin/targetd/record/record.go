// Package record keeps the texts that a stand-in target receives, so that a test can search
// them, and counts what the target does.
package record

import "sync/atomic"

// Gauge is a value that rises and falls, and the maximum that it has reached.
type Gauge struct{ now, max atomic.Int64 }

// Add adds delta to the value and returns the new value.
func (g *Gauge) Add(delta int64) int64 {
	n := g.now.Add(delta)
	for {
		highest := g.max.Load()
		if n <= highest || g.max.CompareAndSwap(highest, n) {
			return n
		}
	}
}

// Now returns the current value.
func (g *Gauge) Now() int64 { return g.now.Load() }

// Max returns the highest value so far.
func (g *Gauge) Max() int64 { return g.max.Load() }

// Counters counts a target's events since its start. SlotViolations counts the statements
// that arrived while all slots were in use.
type Counters struct {
	Statements, Commits, Errors          atomic.Int64
	SlotViolations, RefusedConnections   atomic.Int64
	Cancels, Diverged, Rebuilds, Pulls   atomic.Int64
	InFlight, Connections, ReplicaLinks  Gauge
	RefusedLogins, MalformedConversation atomic.Int64
}

// Snapshot holds the values of Counters at one time, each loaded separately.
type Snapshot struct {
	Statements         int64 `json:"statements"`
	Commits            int64 `json:"commits"`
	Errors             int64 `json:"errors"`
	SlotViolations     int64 `json:"slot_violations"`
	RefusedConnections int64 `json:"refused_connections"`
	RefusedLogins      int64 `json:"refused_logins"`
	Malformed          int64 `json:"malformed"`
	Cancels            int64 `json:"cancels"`
	Diverged           int64 `json:"diverged"`
	Rebuilds           int64 `json:"rebuilds"`
	Pulls              int64 `json:"pulls"`
	InFlight           int64 `json:"in_flight"`
	MaxInFlight        int64 `json:"max_in_flight"`
	Connections        int64 `json:"connections"`
	MaxConnections     int64 `json:"max_connections"`
	ReplicaLinks       int64 `json:"replica_links"`
}

// Snapshot returns the current values.
func (c *Counters) Snapshot() Snapshot {
	return Snapshot{
		Statements:         c.Statements.Load(),
		Commits:            c.Commits.Load(),
		Errors:             c.Errors.Load(),
		SlotViolations:     c.SlotViolations.Load(),
		RefusedConnections: c.RefusedConnections.Load(),
		RefusedLogins:      c.RefusedLogins.Load(),
		Malformed:          c.MalformedConversation.Load(),
		Cancels:            c.Cancels.Load(),
		Diverged:           c.Diverged.Load(),
		Rebuilds:           c.Rebuilds.Load(),
		Pulls:              c.Pulls.Load(),
		InFlight:           c.InFlight.Now(),
		MaxInFlight:        c.InFlight.Max(),
		Connections:        c.Connections.Now(),
		MaxConnections:     c.Connections.Max(),
		ReplicaLinks:       c.ReplicaLinks.Now(),
	}
}
