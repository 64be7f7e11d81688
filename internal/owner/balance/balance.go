// Package balance estimates how full a target is for several nodes that place on it at the same moment, and draws one of
// several targets that would serve a request about as soon.
//
// Invariant: a target is drawn only if its cost is at most Margin above the least cost, and no other such target has
// more room by a slot or more. What other nodes have at a target counts as reported for none of the time after
// ReportLifetime, and less the older the report is. The same arguments give the same result.
//
// The package starts no goroutines, takes no locks, and has no clock or randomness of its own.
package balance

import (
	"math"
	"time"
)

const (
	// Margin is the difference in cost up to which two targets count as equally good.
	Margin = time.Millisecond
	// ReportLifetime is the age from which a report of a target's load says nothing any more.
	ReportLifetime = 200 * time.Millisecond
)

// Report is the load that a target's newest status shows of other nodes. The zero value is no report.
type Report struct {
	others int
	at     time.Time
}

// NewReport returns the report of a target that was running or queueing busy statements at a time at or after at.
// own is the greatest number of statements that this node may have had there then.
func NewReport(at time.Time, busy, own int) Report {
	return Report{others: max(0, busy-own), at: at}
}

// Others returns the number of statements of other nodes that the target is expected to have at now.
func (r Report) Others(now time.Time) float64 {
	age := now.Sub(r.at)
	if r.at.IsZero() || age >= ReportLifetime {
		return 0
	}
	fresh := 1 - float64(max(0, age))/float64(ReportLifetime)
	return float64(r.others) * fresh
}

// Load is the estimated load of a target.
type Load struct {
	// Slots is the number of statements that the target runs at once.
	Slots int
	// Own is the number of statements that this node has placed there, running or waiting.
	Own int
	// Others is the expected number of statements of other nodes (Report.Others).
	Others float64
	// SlotTime is how long a statement is expected to hold a slot.
	SlotTime time.Duration
}

// room returns the number of slots that are expected to be free, below zero if statements queue.
func (l Load) room() float64 { return float64(l.Slots-l.Own) - l.Others }

// ExtraWait returns by how much the statements of other nodes are expected to prolong the wait of a new statement.
func (l Load) ExtraWait() time.Duration {
	own := max(0, float64(l.Own+1-l.Slots))
	all := max(0, 1-l.room())
	return time.Duration((all - own) / float64(max(1, l.Slots)) * float64(l.SlotTime))
}

// Option is a target that may serve a request.
type Option struct {
	// Target is the caller's index of the target.
	Target int
	// Cost is the expected time until the request runs there, with what else the caller counts against the target.
	Cost time.Duration
	Load Load
}

// Pick returns the Target of one of the options, which must not be empty: of those about as good as the best one, a
// random one of those with the most room.
func Pick(random uint64, options []Option) int {
	least := options[0].Cost
	for _, o := range options[1:] {
		least = min(least, o.Cost)
	}
	most := math.Inf(-1)
	for _, o := range options {
		if o.Cost <= least+Margin {
			most = max(most, o.Load.room())
		}
	}
	equal := options[:0]
	for _, o := range options {
		if o.Cost <= least+Margin && o.Load.room() > most-1 {
			equal = append(equal, o)
		}
	}
	return equal[random%uint64(len(equal))].Target
}
