package promotion

import "time"

// leads reports whether a primary below the highest term is to be kept: held targets were
// left behind by an order that was given up, and it still leads its own term.
func (g *Group) leads(now time.Time, primary string) bool {
	return g.options.Held && g.heardLately(now, primary) && g.views[primary].status.Own >= g.topOwn()
}

// topOwn returns the highest term that a target is itself in.
func (g *Group) topOwn() uint64 {
	var top uint64
	for _, v := range g.views {
		if v.known {
			top = max(top, v.status.Own)
		}
	}
	return top
}

// nextTerm returns the term of a new order.
func (g *Group) nextTerm() uint64 {
	if g.options.Held {
		return g.topOwn() + 1
	}
	return max(g.used, g.topTerm()) + 1
}

// letGo makes targets receive again that are held although a primary leads.
func (g *Group) letGo(now time.Time, primary string) []Action {
	if primary == "" || !g.allowed || !g.leads(now, primary) {
		return nil
	}
	var actions []Action
	for _, m := range g.members {
		v := g.views[m.Name]
		if m.Name == primary || v == nil || !v.known || v.misses > 0 {
			continue
		}
		if v.status.Term <= v.status.Own || now.Sub(v.followed) < FollowEvery {
			continue
		}
		v.followed = now
		actions = append(actions, Follow{Target: m.Name, Address: g.member(primary).Address, Term: g.views[primary].status.Own})
	}
	return actions
}

// returned reports whether the primary that the order is to replace leads and answers after all.
func (g *Group) returned(now time.Time) bool {
	if g.order.reason != ReasonUnreachable && g.order.reason != ReasonOrphan {
		return false
	}
	primary, _ := g.Primary()
	return primary != "" && g.leads(now, primary) && g.views[primary].heard.After(g.order.began)
}

// stillHeld reports whether a majority holds the order's term, as far as is known: a target
// that restarted, or was let go, has forgotten it.
func (g *Group) stillHeld() bool {
	held := 0
	for name := range g.order.adopted {
		v := g.views[name]
		lost := v != nil && v.known && v.heard.After(g.order.heldAt) && v.status.Term < g.order.term
		if !lost {
			held++
		}
	}
	return held >= g.majority()
}

// settle returns how long to wait between adoption and the call for the promotion. A primary
// that has stepped down commits nothing any more, whatever evidence says.
func (g *Group) settle() time.Duration {
	switch {
	case !g.options.Held:
		return g.options.Settle
	case g.order.fenced:
		return 0
	default:
		return g.options.Settle - HeldEffectAfter
	}
}
