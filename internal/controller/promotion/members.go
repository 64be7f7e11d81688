package promotion

import "time"

// SetMembers replaces the group's targets. Of a removed one only the term that it was in is remembered
// (package termfloor).
func (g *Group) SetMembers(members []Member) {
	g.members = members
	for name, o := range g.observations {
		if g.member(name) != nil {
			continue
		}
		if o.answered && g.options.HeldTerms {
			g.floor.Leave(o.status.OwnTerm, o.polledAt)
		}
		delete(g.observations, name)
	}
}

// SetSyncReplicas sets the number of replicas that have each acknowledged commit besides the primary.
func (g *Group) SetSyncReplicas(n int) { g.syncReplicas = n }

func (g *Group) member(name string) *Member {
	for i := range g.members {
		if g.members[i].Name == name {
			return &g.members[i]
		}
	}
	return nil
}

func (g *Group) majority() int { return len(g.members)/2 + 1 }

// quorum returns the number of targets that must adopt a term before one of them is promoted. It is a
// majority, and so many that each acknowledged commit is in the log of one of them. If there are fewer
// members than a commit needs, some are not known, and no number of adopters is enough.
func (g *Group) quorum() int {
	switch {
	case g.syncReplicas == 0:
		return g.majority()
	case len(g.members) <= g.syncReplicas:
		return len(g.members) + 1
	default:
		return max(g.majority(), len(g.members)-g.syncReplicas)
	}
}

// hasLostAdopter reports whether a target that has adopted the attempt's term is no longer a member, so
// that the log of the candidate would not be compared with its log. Once the Promote command was sent,
// the choice is made.
func (g *Group) hasLostAdopter() bool {
	if g.attempt.phase == PhasePromote {
		return false
	}
	for name := range g.attempt.adopted {
		if g.member(name) == nil {
			return true
		}
	}
	return false
}

// handoverReason returns the reason for replacing a primary that works, or reasonNone.
func (g *Group) handoverReason(now time.Time, primary string) Reason {
	m := g.member(primary)
	switch {
	case !m.isWithdrawn() || !g.hasSuccessor(now, primary):
		return reasonNone
	case m.Leaving:
		return ReasonLeaving
	default:
		return ReasonEvacuated
	}
}

// hasSuccessor reports whether there is a reachable target, other than the primary, that is not
// withdrawn. For a primary that gets no new requests any more, because it is unlisted or evacuated, the
// target must also receive the primary's log: otherwise the attempt could only promote the same primary again.
func (g *Group) hasSuccessor(now time.Time, primary string) bool {
	getsNone := g.member(primary).Unlisted || g.member(primary).Evacuated
	for _, m := range g.members {
		if m.Name == primary || m.isWithdrawn() || !g.isReachable(now, m.Name) {
			continue
		}
		if !getsNone || !g.observations[m.Name].status.Last.Less(g.observations[primary].previousLast) {
			return true
		}
	}
	return false
}
