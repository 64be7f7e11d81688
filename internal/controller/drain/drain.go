// Package drain decides the order and the deadlines of the steps of a graceful stop.
//
// Invariants: peers are told of the stop before the node refuses anything. The node's shares of the
// customers' rates and the database groups that it owns are handed over only after the requests
// that need them have ended or reached their deadline. No step uses the time reserved for later
// steps, so the hand-overs run even if a caller never ends its transaction.
//
// The package is a deterministic core: it is given the time and returns the step to run.
package drain

import "time"

// Step is one step of a stop.
type Step uint8

// The steps.
const (
	// Announce tells peers that the node is leaving.
	Announce Step = iota
	// StopAccepting closes the callers' listener. Connections that are open stay open.
	StopAccepting
	// Settle gives peers and callers time to learn of the stop. They learn of it from the
	// announcement, the platform's list of VMs or a balancer.
	Settle
	// Finish waits until the callers' transactions have ended.
	Finish
	// HandOverShares gives this node's shares of the customers' rates to peers.
	HandOverShares
	// HandOverGroups releases each database group that this node owns once the requests for that
	// group have ended.
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

// Stage is a step with its maximum duration. MaxDuration is zero for Finish, which gets the time
// that the other stages leave.
type Stage struct {
	Step        Step
	MaxDuration time.Duration
}

// Plan lists the stages of a stop in order.
type Plan []Stage

const (
	handOverTimeout   = 3 * time.Second
	minFinishDuration = time.Second
)

// VMListPlan is the plan for callers that choose nodes from the platform's list of VMs. The node
// refuses new connections as soon as the announcement is done.
var VMListPlan = Plan{
	{Announce, time.Second},
	{StopAccepting, 500 * time.Millisecond},
	{Settle, 1500 * time.Millisecond},
	{Finish, 0},
	{HandOverShares, handOverTimeout},
	{HandOverGroups, handOverTimeout},
}

// BalancerPlan is the plan for nodes behind a balancer that polls their readiness once a second.
// The balancer sends callers to a node until two consecutive polls find it not ready, so the node
// serves them until then.
var BalancerPlan = Plan{
	{Announce, 300 * time.Millisecond},
	{Settle, 2300 * time.Millisecond},
	{StopAccepting, 100 * time.Millisecond},
	{Finish, 0},
	{HandOverShares, 150 * time.Millisecond},
	{HandOverGroups, 300 * time.Millisecond},
}

// reservedTime returns the total duration of all stages but Finish.
func (p Plan) reservedTime() time.Duration {
	var sum time.Duration
	for _, stage := range p {
		sum += stage.MaxDuration
	}
	return sum
}

// ScheduledStep is a step to run and its deadline.
type ScheduledStep struct {
	Step     Step
	Deadline time.Time
}

// Outcome is the result of a step.
type Outcome struct {
	Step Step
	Took time.Duration
	// Err is the error that the step returned; context.DeadlineExceeded if its time ran out.
	Err error
}

// Controller tracks the progress of one stop. It is not safe for concurrent use.
type Controller struct {
	plan          Plan
	stageIndex    int
	end           time.Time
	scale         float64 // factor for all stage durations; below 1 if the limit is too short
	current       ScheduledStep
	stepStartedAt time.Time
	outcomes      []Outcome
}

// Begin starts a stop at now that ends within limit. If limit is too short for all stages and
// minFinishDuration, all durations are scaled down in proportion.
func Begin(plan Plan, limit time.Duration, now time.Time) *Controller {
	c := &Controller{plan: plan, end: now.Add(limit), scale: 1, stepStartedAt: now}
	if need := plan.reservedTime() + minFinishDuration; limit < need {
		c.scale = float64(limit) / float64(need)
	}
	c.current = ScheduledStep{Step: plan[0].Step, Deadline: now.Add(c.stageLimit(0))}
	return c
}

// stageLimit returns the scaled maximum duration of a stage; zero for Finish.
func (c *Controller) stageLimit(stage int) time.Duration {
	return time.Duration(float64(c.plan[stage].MaxDuration) * c.scale)
}

// Current returns the step to run. Exit requires no work.
func (c *Controller) Current() ScheduledStep { return c.current }

// FinishDeadline returns the latest end of Finish, which leaves the stages after it their time.
func (c *Controller) FinishDeadline() time.Time {
	latest := c.end
	for stage := len(c.plan) - 1; c.plan[stage].Step != Finish; stage-- {
		latest = latest.Add(-c.stageLimit(stage))
	}
	return latest
}

// Done records the result of the current step and returns the next one. After Exit it has no
// effect.
func (c *Controller) Done(err error, now time.Time) ScheduledStep {
	if c.current.Step == Exit {
		return c.current
	}
	c.outcomes = append(c.outcomes, Outcome{Step: c.current.Step, Took: now.Sub(c.stepStartedAt), Err: err})
	c.stepStartedAt = now
	c.stageIndex++
	if c.stageIndex == len(c.plan) {
		c.current = ScheduledStep{Step: Exit, Deadline: c.end}
		return c.current
	}
	c.current = ScheduledStep{Step: c.plan[c.stageIndex].Step, Deadline: c.deadline(now)}
	return c.current
}

// deadline returns the deadline of the current stage. It reserves the maximum durations of the
// later stages.
func (c *Controller) deadline(now time.Time) time.Time {
	latest := c.end
	for later := c.stageIndex + 1; later < len(c.plan); later++ {
		latest = latest.Add(-c.stageLimit(later))
	}
	own := now.Add(c.stageLimit(c.stageIndex))
	if c.plan[c.stageIndex].Step == Finish || own.After(latest) {
		return latest
	}
	return own
}

// Outcomes returns the results of the completed steps, in order.
func (c *Controller) Outcomes() []Outcome { return c.outcomes }
