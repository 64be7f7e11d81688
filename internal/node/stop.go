package node

import (
	"context"
	"time"

	"crocusyoke/internal/controller/drain"
)

// stop ends the node so that no request is cut, in the order that the drain controller
// gives.
func (n *Node) stop(ctx context.Context) {
	close(n.drained)
	limit := n.settings.Node.Drain.Std()
	if changed := time.Duration(n.drainFor.Load()); changed > 0 {
		limit = changed
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	callers := make(chan error, 1)
	control := drain.Begin(n.drainPlan(), limit, n.clock.Now())
	for order := control.Current(); order.Step != drain.Exit; {
		err := n.step(ctx, order, callers)
		order = control.Done(err, n.clock.Now())
	}
	for _, o := range control.Outcomes() {
		_ = n.logger.Log("msg", "stopping", "step", o.Step, "took", o.Took, "err", o.Err)
	}
}

func (n *Node) drainPlan() drain.Plan {
	if n.hosted() {
		return drain.BalancerPlan
	}
	return drain.VMListPlan
}

// step runs one step until its deadline. callers gets the outcome of the callers' end.
func (n *Node) step(stop context.Context, order drain.ScheduledStep, callers chan error) error {
	ctx, cancel := context.WithDeadline(stop, order.Deadline)
	defer cancel()
	switch order.Step {
	case drain.Announce:
		n.membership.Leave(ctx)
	case drain.StopAccepting:
		go func() { callers <- n.front.Drain(stop) }()
	case drain.Settle:
		<-ctx.Done()
		return nil
	case drain.Finish:
		select {
		case err := <-callers:
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
