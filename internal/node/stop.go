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
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	callersDone := make(chan error, 1)
	controller := drain.Begin(n.drainPlan(), limit, n.clock.Now())
	for order := controller.Current(); order.Step != drain.Exit; {
		err := n.runStepWithin(ctx, order, callersDone)
		order = controller.Done(err, n.clock.Now())
	}
	for _, o := range controller.Outcomes() {
		_ = n.logger.Log("msg", "stopping", "step", o.Step, "took", o.Took, "err", o.Err)
	}
}

func (n *Node) drainPlan() drain.Plan {
	if n.isHosted() {
		return drain.BalancerPlan
	}
	return drain.VMListPlan
}

// runStepWithin is runStep, except that it does not wait for the step beyond the end of stopCtx: a step
// may take a while to clean up after its deadline.
func (n *Node) runStepWithin(stopCtx context.Context, order drain.ScheduledStep, callersDone chan error) error {
	done := make(chan error, 1)
	go func() { done <- n.runStep(stopCtx, order, callersDone) }()
	select {
	case err := <-done:
		return err
	case <-stopCtx.Done():
		return stopCtx.Err()
	}
}

// runStep runs one step until its deadline. The step StopAccepting only starts the drain of the
// callers' sessions. The drain continues during later steps, ends at the latest with stopCtx and
// sends its result to callersDone, where the step Finish waits for it.
func (n *Node) runStep(stopCtx context.Context, order drain.ScheduledStep, callersDone chan error) error {
	ctx, cancel := context.WithDeadline(stopCtx, order.Deadline)
	defer cancel()
	switch order.Step {
	case drain.Announce:
		n.membership.Leave(ctx)
	case drain.StopAccepting:
		go func() { callersDone <- n.front.Drain(stopCtx) }()
	case drain.Settle:
		<-ctx.Done()
		return nil
	case drain.Finish:
		select {
		case err := <-callersDone:
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
