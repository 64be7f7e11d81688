package promotion

import (
	"context"

	"crocusyoke/internal/contain"
	"crocusyoke/internal/controller/promotion"
	"crocusyoke/internal/target"
)

// startActions starts every action in its own goroutine. Outcomes are passed back to the
// controller.
func (r *Runner) startActions(ctx context.Context, g *group, actions []promotion.Action) {
	for _, action := range actions {
		r.wait.Go(func() {
			contain.Step(r.options.Logger, "promotion action", func() { r.runAction(ctx, g, action) })
		})
	}
}

func (r *Runner) runAction(ctx context.Context, g *group, action promotion.Action) {
	switch a := action.(type) {
	case promotion.QueryPeers:
		r.askPeers(ctx, g, a.Target)
	case promotion.Announce:
		r.announce(ctx, g, a)
	case promotion.Adopt:
		r.adopt(ctx, g, a)
	case promotion.Promote:
		r.promote(ctx, g, a)
	case promotion.Follow:
		r.follow(ctx, g, a)
	case promotion.RecordPromotion:
		counters.Add(counterPromotions, 1)
		_ = r.options.Logger.Log("msg", "promoted", "group", g.name, "term", a.Term, "primary", a.Primary, "reason", a.Reason)
		r.record(ctx, g.name, a)
	}
}

func (r *Runner) adopt(ctx context.Context, g *group, a promotion.Adopt) {
	if r.options.HeldTerms && r.options.Holding != nil {
		r.options.Holding(g.name, a.Target)
	}
	status, err := r.sendCommand(ctx, g, a.Target, func(ctx context.Context, c target.Control) (target.Status, error) {
		return c.Adopt(ctx, a.Term, r.ordererID())
	})
	if err == nil && status.Term > status.OwnTerm && r.options.HeldTerms && r.options.Held != nil {
		r.options.Held(g.name, r.options.Clock.Now(), status)
	}
	_ = r.options.Logger.Log("event", "adopt", "group", g.name, "target", a.Target, "term", a.Term, "position", status.Last, "err", err)
	g.update(func(c *promotion.Group) {
		c.HandleAdoptResult(r.options.Clock.Now(), a.Target, a.Term, status, err)
	})
	r.tick(ctx, g)
}

func (r *Runner) promote(ctx context.Context, g *group, a promotion.Promote) {
	bounded, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	status, err := r.sendOrderWithin(bounded, g, a.Target, func(ctx context.Context, c target.Control) (target.Status, error) {
		return c.Promote(ctx, a.Term, r.ordererID())
	})
	var next []promotion.Action
	g.update(func(c *promotion.Group) {
		next = c.HandlePromoteResult(r.options.Clock.Now(), a.Target, a.Term, status, err)
	})
	r.startActions(ctx, g, next)
}

func (r *Runner) follow(ctx context.Context, g *group, a promotion.Follow) {
	_, _ = r.sendCommand(ctx, g, a.Target, func(ctx context.Context, c target.Control) (target.Status, error) {
		return c.Follow(ctx, a.Term, a.Address)
	})
}

func (r *Runner) ordererID() string { return r.options.Self + "#" + r.options.Incarnation }

// sendCommand sends one order (Adopt, Promote or Follow) over a new connection, so that the
// order cannot get lost on an existing connection that no longer responds.
func (r *Runner) sendCommand(ctx context.Context, g *group, name string, send commandFunc) (target.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	return r.sendOrderWithin(ctx, g, name, send)
}

// commandFunc sends one order over an open control connection.
type commandFunc func(context.Context, target.Control) (target.Status, error)

// sendOrderWithin is sendCommand with the deadline of ctx instead of commandTimeout.
func (r *Runner) sendOrderWithin(ctx context.Context, g *group, name string, send commandFunc) (target.Status, error) {
	counters.Add(counterOrdersSent, 1)
	control, err := r.options.Dialer.Control(ctx, r.login(g, name))
	if err != nil {
		counters.Add(counterOrdersFailed, 1)
		return target.Status{}, err
	}
	defer control.Close()
	status, err := send(ctx, control)
	if err != nil {
		counters.Add(counterOrdersFailed, 1)
		_ = r.options.Logger.Log("event", "order failed", "group", g.name, "target", name, "err", err)
	}
	return status, err
}

// login returns the target.Login for a control connection to a member of the group.
func (r *Runner) login(g *group, name string) target.Login {
	return target.Login{Address: r.address(g, name), Target: name, Database: g.name}
}

func (r *Runner) address(g *group, name string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if m.Name == name {
			return m.Address
		}
	}
	return ""
}
