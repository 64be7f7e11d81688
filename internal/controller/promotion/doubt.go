package promotion

import "time"

// unseen returns the targets that this node can't reach.
func (g *Group) unseen() []string {
	var names []string
	for _, m := range g.members {
		if v := g.views[m.Name]; v != nil && v.misses >= SuspectMisses {
			names = append(names, m.Name)
		}
	}
	return names
}

// questions returns what to ask peers about: the primary, or every target that this node
// can't reach if it sees no primary.
func (g *Group) questions(primary string) []Action {
	if primary != "" {
		return []Action{Ask{Target: primary}}
	}
	var actions []Action
	for _, name := range g.unseen() {
		actions = append(actions, Ask{Target: name})
	}
	return actions
}

// orphaned returns whether the group has been without a primary for long enough. Where
// targets keep no hold, one that only this node can't reach may still lead: peers are asked.
func (g *Group) orphaned(now time.Time) (Reason, bool) {
	lasting := since(&g.orphan, now) >= OrphanAfter
	if !g.options.Held {
		if lasting {
			return ReasonOrphan, false
		}
		return reasonNone, false
	}
	unseen := g.unseen()
	for _, name := range unseen {
		if !g.confirmed(now, name) {
			return reasonNone, true
		}
	}
	if lasting {
		return ReasonOrphan, len(unseen) > 0
	}
	return reasonNone, len(unseen) > 0
}

// Unfit reports whether this node can't reach a target that may lead while a peer can:
// another node should own the group.
func (g *Group) Unfit(now time.Time) bool {
	if !g.enabled || !g.options.Held {
		return false
	}
	primary, _ := g.Primary()
	for q, a := range g.answers {
		if !a.reachable || now.Sub(a.at) > AnswerAge {
			continue
		}
		v := g.views[q.target]
		missed := v != nil && v.misses >= SuspectMisses
		if missed && (primary == "" || primary == q.target) {
			return true
		}
	}
	return false
}
