package node

import (
	"context"
	"time"

	"crocusyoke/internal/controller/drain"
)

// stop stops the node gracefully, without cutting off requests, by running the steps that the
// drain controller orders. It returns when all steps are done or have timed out.
func (n *Node) stop(ctx context.Context) {
	close(n.drainStarted)
	limit := n.settings.Node.Drain.Std()
	if changed := time.Duration(n.drainTimeout.Load()); changed > 0 {
		limit = changed
	}
	limit = n.remainingStop(limit)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	_ = n.logger.Log("event", "stopping", "limit", limit)
	controller := drain.Begin(n.drainPlan(), limit, n.clock.Now())
	callers := callerDrain{until: controller.FinishDeadline(), done: make(chan error, 1)}
	for order := controller.Current(); order.Step != drain.Exit; {
		err := n.runStepWithin(ctx, order, callers)
		order = controller.Done(err, n.clock.Now())
		outcomes := controller.Outcomes()
		n.logStep(outcomes[len(outcomes)-1])
	}
}

// minStop is the shortest limit of a stop whose signal was noticed late.
const minStop = time.Second

// remainingStop returns what is left of limit, which counts from the signal that ends this process. If the
// process did not run right before it noticed the signal, the signal may be as old as that.
func (n *Node) remainingStop(limit time.Duration) time.Duration {
	if n.pulse == nil {
		return limit
	}
	now := n.clock.Now()
	return max(min(limit, minStop), limit-now.Sub(n.pulse.sentAfter(now)))
}

// logStep logs a step as soon as it is done, because the process may not live to the end of its stop.
func (n *Node) logStep(o drain.Outcome) {
	_ = n.logger.Log("msg", "stopping", "step", o.Step, "took", o.Took, "err", o.Err)
}

func (n *Node) drainPlan() drain.Plan {
	if n.isHosted() {
		return drain.BalancerPlan
	}
	return drain.VMListPlan
}

// callerDrain is the drain of the callers' sessions, which the step StopAccepting starts and the step
// Finish waits for. It ends at until, the end of Finish, and sends its result to done.
type callerDrain struct {
	until time.Time
	done  chan error
}

func (d callerDrain) run(ctx context.Context, server callerServer) {
	ctx, cancel := context.WithDeadline(ctx, d.until)
	defer cancel()
	d.done <- server.Drain(ctx)
}

// runStepWithin is runStep, except that it does not wait for the step beyond the end of stopCtx: a step
// may take a while to clean up after its deadline.
func (n *Node) runStepWithin(stopCtx context.Context, order drain.ScheduledStep, callers callerDrain) error {
	done := make(chan error, 1)
	go func() { done <- n.runStep(stopCtx, order, callers) }()
	select {
	case err := <-done:
		return err
	case <-stopCtx.Done():
		return stopCtx.Err()
	}
}

// runStep runs one step until its deadline.
func (n *Node) runStep(stopCtx context.Context, order drain.ScheduledStep, callers callerDrain) error {
	ctx, cancel := context.WithDeadline(stopCtx, order.Deadline)
	defer cancel()
	switch order.Step {
	case drain.Announce:
		n.membership.Leave(ctx)
	case drain.StopAccepting:
		go callers.run(stopCtx, n.front)
	case drain.Settle:
		<-ctx.Done()
		return nil
	case drain.Finish:
		select {
		case err := <-callers.done:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	case drain.HandOverShares:
		return n.quota.ReturnTokens(ctx)
	case drain.HandOverGroups:
		return n.owner.Drain(ctx)
	}
	return nil
}
