package drain

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// runSteps runs a stop with VMListPlan: slow steps take until their deadline, others 1 ms.
// It returns when each step began and how long the stop took.
func runSteps(limit time.Duration, slow func(Step) bool) (began map[Step]time.Duration, end time.Duration) {
	c, now := Begin(VMListPlan, limit, start), start
	began = map[Step]time.Duration{}
	for o := c.Current(); o.Step != Exit; {
		began[o.Step] = now.Sub(start)
		if slow(o.Step) {
			now = o.Deadline
			o = c.Done(context.DeadlineExceeded, now)
			continue
		}
		now = now.Add(time.Millisecond)
		o = c.Done(nil, now)
	}
	return began, now.Sub(start)
}

// hasTimeForEveryStep reports whether each step has time left if all steps before it run to
// their deadlines.
func hasTimeForEveryStep(limit time.Duration) bool {
	c, now := Begin(VMListPlan, limit, start), start
	for o := c.Current(); o.Step != Exit; o = c.Done(context.DeadlineExceeded, now) {
		if !o.Deadline.After(now) {
			return false
		}
		now = o.Deadline
	}
	return true
}

// TestHandOversKeepReservedTime checks that callers that never end their transactions, or steps
// that all hang, use no time that is reserved for the hand-overs.
func TestHandOversKeepReservedTime(t *testing.T) {
	for _, limit := range []time.Duration{2 * time.Second, 10 * time.Second, 30 * time.Second} {
		began, end := runSteps(limit, func(s Step) bool { return s == Finish })
		must.LessEq(t, limit, end)
		must.GreaterEq(t, min(2*handOverTimeout, limit/2), limit-began[HandOverShares])
		must.GreaterEq(t, min(handOverTimeout, limit/4), limit-began[HandOverGroups])
		must.True(t, hasTimeForEveryStep(limit))
		_, end = runSteps(limit, func(Step) bool { return true })
		must.LessEq(t, limit, end)
	}
}

func TestStepOrder(t *testing.T) {
	c := Begin(VMListPlan, 20*time.Second, start)
	for want := Announce; want < Exit; want++ {
		must.Eq(t, want, c.Current().Step)
		c.Done(nil, start)
	}
	must.Eq(t, Exit, c.Done(nil, start).Step)
	must.Len(t, int(Exit), c.Outcomes())
	c = Begin(VMListPlan, 20*time.Second, start)
	for c.Current().Step != Finish {
		c.Done(nil, start)
	}
	must.Eq(t, 20*time.Second-2*handOverTimeout, c.Current().Deadline.Sub(start))
	must.Eq(t, c.Current().Deadline, c.FinishDeadline())
}

// TestAskedServesUntilTheBalancerKnows checks that callers are accepted for two polls of the
// balancer, that running work gets five sixths of the time before the kill, and that every step
// has time within the limit.
func TestAskedServesUntilTheBalancerKnows(t *testing.T) {
	const kill = 6 * time.Second
	const limit = 5600 * time.Millisecond
	c, now := Begin(BalancerPlan, limit, start), start
	order := map[Step]int{}
	for o := c.Current(); o.Step != Exit; o = c.Done(nil, now) {
		order[o.Step] = len(order)
		must.True(t, o.Deadline.After(now))
		if o.Step == StopAccepting {
			must.GreaterEq(t, 2*time.Second, now.Sub(start))
		}
		if o.Step == Finish {
			must.GreaterEq(t, kill*5/6, o.Deadline.Sub(start))
		}
		now = o.Deadline
	}
	must.Less(t, order[StopAccepting], order[Settle])
	must.LessEq(t, limit, now.Sub(start))
}
