package soak

import (
	"slices"
	"sync"
	"time"
)

// The rate of pressingCustomer in operations per second, and the bound on what targets run of it: in any
// rateWindow, what rate and burst allow and rateOver of that more, and rateSlack operations.
const (
	pressingRate  = 20
	pressingBurst = 20
	// loweredPressingRate is its rate while that is lowered.
	loweredPressingRate = 4
	rateWindow          = 5 * time.Second
	rateOver            = 0.1
	rateSlack           = 20
)

// maxInWindow returns the highest number of operations that may be sent and run in a window at a rate.
func maxInWindow(rate int) int {
	return int((float64(rate)*rateWindow.Seconds()+pressingBurst)*(1+rateOver)) + rateSlack
}

// admitted is an operation that a target ran: when its first statement was sent, and when that ran.
type admitted struct{ sentAt, ranAt time.Time }

// rateJudge judges the rate at which operations of a customer run. It is safe for concurrent use.
type rateJudge struct {
	judge *judge
	// maxRate returns the highest rate that may be in force in a window.
	maxRate func(from, to time.Time) int

	mu  sync.Mutex
	ops []admitted
}

func (r *rateJudge) note(op admitted) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, op)
}

// settle judges the windows that begin with an operation that was sent before the given time, and drops what
// no later window has.
func (r *rateJudge) settle(before time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.SortFunc(r.ops, func(a, b admitted) int { return a.sentAt.Compare(b.sentAt) })
	judged := 0
	for judged < len(r.ops) && r.ops[judged].sentAt.Before(before) {
		from := r.ops[judged].sentAt
		count, allowed := countInWindow(r.ops[judged:], from), maxInWindow(r.maxRate(from, from.Add(rateWindow)))
		r.judge.check(ruleRate, count <= allowed, "%d operations ran in the %s from %s, %d are allowed",
			count, rateWindow, from.UTC().Format("15:04:05.000"), allowed)
		if allowed < maxInWindow(pressingRate) {
			r.judge.count("windows with a lowered rate")
		}
		judged++
	}
	r.ops = slices.Clone(r.ops[judged:])
}

// countInWindow returns how many operations were sent and ran in the window that begins with the first one.
func countInWindow(ops []admitted, from time.Time) int {
	count := 0
	end := from.Add(rateWindow)
	for _, op := range ops {
		if op.sentAt.After(end) {
			break
		}
		if !op.ranAt.After(end) {
			count++
		}
	}
	return count
}
