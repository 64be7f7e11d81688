package check

import (
	"slices"
	"time"
)

// checkRateLimit checks that in no time window more operations of a customer were admitted
// than its rate and burst allow. An operation was admitted at some time between its start
// and its end, so only operations that lie entirely within a window count towards it.
func checkRateLimit(h *History, r *ruleReport) {
	for _, limit := range h.Limits {
		ops := acknowledgedOps(h, limit.Customer)
		r.result.Checked += len(ops)
		worst := worstWindow(ops, limit)
		if worst.excess > 0 {
			r.violationf("customer %s: %d operations from %v to %v, %.1f more than rate %.1f/s and burst %.0f allow",
				limit.Customer, worst.count, worst.from, worst.to, worst.excess, limit.Rate, limit.Burst)
		}
	}
}

// acknowledgedOps returns a customer's acknowledged operations, ordered by their end. Only
// these are certain to have been charged against its rate.
func acknowledgedOps(h *History, customer string) []Op {
	var ops []Op
	for _, op := range h.Ops {
		if op.Customer == customer && op.Outcome == OK {
			ops = append(ops, op)
		}
	}
	slices.SortFunc(ops, func(a, b Op) int { return int(a.End - b.End) })
	return ops
}

type window struct {
	from, to time.Duration
	count    int
	excess   float64
}

// worstWindow returns the window with the largest excess over limit, or the zero window if
// none exceeds it. It tries every window from the start of one operation to the end of
// another. ops must be ordered by their end.
func worstWindow(ops []Op, limit Limit) window {
	var worst window
	for i := range ops {
		from := ops[i].Start
		count := 0
		for j := range ops {
			if ops[j].Start < from {
				continue
			}
			count++
			length := ops[j].End - from
			excess := float64(count) - limit.Burst - limit.Rate*length.Seconds()
			if excess > worst.excess {
				worst = window{from: from, to: ops[j].End, count: count, excess: excess}
			}
		}
	}
	return worst
}
