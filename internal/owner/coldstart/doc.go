// Package coldstart decides what may be sent to a target that has just started.
//
// A target is cold for some time after its start. In any second all nodes together may send a bounded number of
// requests to a cold target. Nodes may be cut off, pause, restart and be wrong about who owns a group or how old a
// target's process is.
//
// Invariants:
//   - At most a Share, half of the bound, of one node's requests is sent to a cold target within any second (Window).
//   - Only the node that holds the group's lease has a share, from Length after it has taken the lease on (Tenure).
//     Two nodes that send within one second are at most the holder and one that was paused over the end of its
//     lease, with requests that it had been about to send. Together they stay within the bound.
//   - A connection counts as one to a warm target only if the process at its other end is proven to be warm
//     (Link, Life). Whatever is not proven counts as cold.
//
// The package starts no goroutines, takes no locks and reads no clock.
package coldstart

import (
	"math"
	"time"
)

// Length is the second that the bound counts, with a margin for clocks of different rates.
const Length = 1050 * time.Millisecond

// Bound is the most that a cold target may get in any second: rate x Over + Slack.
type Bound struct{ Over, Slack float64 }

// IsSet reports whether there is a bound.
func (b Bound) IsSet() bool { return b.Over > 0 || b.Slack > 0 }

// Share returns how many requests of one node a cold target with the given rate may get within Length: half of the
// bound.
func (b Bound) Share(rate float64) int {
	return int(min(math.MaxInt32, max(0, rate*b.Over+b.Slack)) / 2)
}

// Tenure tells how long this node has held its group's lease under one fence.
type Tenure struct {
	fence uint64
	since time.Time
}

// Observe records that the node holds the lease at now, under fence.
func (t *Tenure) Observe(now time.Time, fence uint64) {
	if t.since.IsZero() || t.fence != fence {
		t.fence, t.since = fence, now
	}
}

// Wait returns how long the holder has to wait until it may use its share: what a former holder sent is then no
// longer counted.
func (t *Tenure) Wait(now time.Time) time.Duration { return max(0, t.since.Add(Length).Sub(now)) }
