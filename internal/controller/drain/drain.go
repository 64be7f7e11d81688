// Package drain decides the order and the deadlines of a graceful stop.
//
// Invariants: peers hear of the stop before the node refuses anything; shares and groups
// are handed over only once the requests that need them have ended or their time is up;
// no step takes the time that is kept for the later ones, so that the hand-overs run also
// when a caller never ends its transaction. A second call to begin changes nothing.
//
// The package is pure: time comes in, the step to run goes out.
package drain

import "time"

// Step is one step of a stop, in order.
type Step uint8

// The steps.
const (
	// Announce tells peers that the node is leaving.
	Announce Step = iota
	// StopAccepting ends the callers' listener; what is connected goes on.
	StopAccepting
	// Settle lets announcement and list reach those that send work here.
	Settle
	// Finish waits until callers' transactions have ended.
	Finish
	// HandOverShares gives the parts of customers' rates to peers.
	HandOverShares
	// HandOverGroups lets go of owned groups once their work has ended.
	HandOverGroups
	// Exit ends the process.
	Exit
)

// String returns the step's name.
func (s Step) String() string {
	names := [...]string{
		"announce", "stop accepting", "settle", "finish", "hand over shares", "hand over groups", "exit",
	}
	return names[min(s, Exit)]
}

// Stage is a step with the most time that it takes; Finish gets what is left.
type Stage struct {
	Step Step
	For  time.Duration
}

// Plan is the order of a stop.
type Plan []Stage

const (
	handOverFor  = 3 * time.Second
	minFinishFor = time.Second
)

// Listed is the plan where callers learn from the platform's list of VMs which nodes to
// use: no caller is taken any more from the start.
var Listed = Plan{
	{Announce, time.Second},
	{StopAccepting, 500 * time.Millisecond},
	{Settle, 1500 * time.Millisecond},
	{Finish, 0},
	{HandOverShares, handOverFor},
	{HandOverGroups, handOverFor},
}

// Asked is the plan where a balancer asks the node whether it is ready, once a second, and
// goes on to send callers until two answers in a row say that it is not. They are served
// until then.
var Asked = Plan{
	{Announce, 300 * time.Millisecond},
	{Settle, 2300 * time.Millisecond},
	{StopAccepting, 100 * time.Millisecond},
	{Finish, 0},
	{HandOverShares, 150 * time.Millisecond},
	{HandOverGroups, 300 * time.Millisecond},
}

// reserved returns the time of all stages but Finish.
func (p Plan) reserved() time.Duration {
	var sum time.Duration
	for _, stage := range p {
		sum += stage.For
	}
	return sum
}

// Order is a step to run until its deadline.
type Order struct {
	Step     Step
	Deadline time.Time
}

// Outcome is what became of a step.
type Outcome struct {
	Step Step
	Took time.Duration
	// Err is what the step returned; a deadline exceeded means that it was cut short.
	Err error
}

// Controller is one stop. It is not safe for concurrent use.
type Controller struct {
	plan     Plan
	stage    int
	end      time.Time
	scale    float64
	current  Order
	beganAt  time.Time
	outcomes []Outcome
}

// Begin starts a stop at now that ends within limit. If limit is too short for all
// steps, each gets its proportion.
func Begin(plan Plan, limit time.Duration, now time.Time) *Controller {
	c := &Controller{plan: plan, end: now.Add(limit), scale: 1, beganAt: now}
	if need := plan.reserved() + minFinishFor; limit < need {
		c.scale = float64(limit) / float64(need)
	}
	c.current = Order{Step: plan[0].Step, Deadline: now.Add(c.limit(0))}
	return c
}

// limit returns the most time that a stage takes; zero for Finish.
func (c *Controller) limit(stage int) time.Duration {
	return time.Duration(float64(c.plan[stage].For) * c.scale)
}

// Current returns the step to run. Exit has no work.
func (c *Controller) Current() Order { return c.current }

// Done records the current step's outcome and moves on to the next.
func (c *Controller) Done(err error, now time.Time) Order {
	if c.current.Step == Exit {
		return c.current
	}
	c.outcomes = append(c.outcomes, Outcome{Step: c.current.Step, Took: now.Sub(c.beganAt), Err: err})
	c.beganAt = now
	c.stage++
	if c.stage == len(c.plan) {
		c.current = Order{Step: Exit, Deadline: c.end}
		return c.current
	}
	c.current = Order{Step: c.plan[c.stage].Step, Deadline: c.deadline(now)}
	return c.current
}

// deadline keeps, for the stages after the present one, the time that they may take.
func (c *Controller) deadline(now time.Time) time.Time {
	latest := c.end
	for later := c.stage + 1; later < len(c.plan); later++ {
		latest = latest.Add(-c.limit(later))
	}
	own := now.Add(c.limit(c.stage))
	if c.plan[c.stage].Step == Finish || own.After(latest) {
		return latest
	}
	return own
}

// Outcomes returns the steps that have ended, in order.
func (c *Controller) Outcomes() []Outcome { return c.outcomes }
