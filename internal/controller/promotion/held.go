package promotion

import "time"

// isLeadingOwnTerm reports whether the primary is kept although targets report a higher term. With
// Options.HeldTerms, an abandoned attempt may leave holds, which are temporary adoptions of a higher
// term. The reachable primary is kept if no target is actually in a higher term (status.Own) than
// the primary; holds do not count.
func (g *Group) isLeadingOwnTerm(now time.Time, primary string) bool {
	return g.options.HeldTerms && g.isReachable(now, primary) && g.observations[primary].status.OwnTerm >= g.maxOwnTerm()
}

// maxOwnTerm returns the highest term that any target, former members included, reported as its own,
// leaving out holds.
func (g *Group) maxOwnTerm() uint64 {
	highest := g.floor.Term()
	for _, o := range g.observations {
		if o.answered {
			highest = max(highest, o.status.OwnTerm)
		}
	}
	return highest
}

// nextTerm returns the term of a new attempt. With Options.HeldTerms it is above every term for which
// a Promote command may have been sent; if that is unknown, above the one in which a target out of
// reach may be. If the outcome of such a command is unknown, its holds are
// therefore for a lower term and do not count for the new attempt.
func (g *Group) nextTerm() uint64 {
	if g.options.HeldTerms && g.orderedTermUnknown {
		return max(g.orderedTerm, g.maxOwnTerm()) + 2
	}
	if g.options.HeldTerms {
		return max(g.orderedTerm, g.maxOwnTerm()) + 1
	}
	return max(g.attemptTerm, g.maxTerm()) + 1
}

// releaseHolds returns a Follow for each target that has a hold although the primary is kept, so
// that it replicates again.
func (g *Group) releaseHolds(now time.Time, primary string) []Action {
	if primary == "" || !g.mayPromote || now.Before(g.promoteDeadline) || !g.isLeadingOwnTerm(now, primary) {
		return nil
	}
	var actions []Action
	for _, m := range g.members {
		o := g.observations[m.Name]
		if m.Name == primary || o == nil || !o.answered || o.missedPolls > 0 {
			continue
		}
		if o.status.Term <= o.status.OwnTerm || now.Sub(o.followSentAt) < FollowRetryInterval {
			continue
		}
		o.followSentAt = now
		actions = append(actions, Follow{Target: m.Name, Address: g.member(primary).Address, Term: g.observations[primary].status.OwnTerm})
	}
	return actions
}

// LeaseState is the state of the lease that a node needs to promote a target if targets hold terms
// only temporarily (Options.HeldTerms).
type LeaseState struct {
	// Fence is the fencing token of this node's lease; 0 if it holds none.
	Fence uint64
	// OrderedTerm is the term that the lease's row contained when this node acquired the lease:
	// the highest term for which a former holder may have sent a Promote command.
	OrderedTerm uint64
	// OrderedTermUnknown is true if the row was lost, so that former holders may have sent Promote
	// commands for higher terms. The deadlines of all of these have passed.
	OrderedTermUnknown bool
}

// SetLease sets the current state of the lease. A node without the lease places no hold, because
// an attempt that cannot end in a promotion would only stop the group. A node that acquires the
// lease assumes that a Promote command of a former holder may still take effect.
func (g *Group) SetLease(now time.Time, lease LeaseState) {
	g.mayPromote = lease.Fence > 0
	if !g.mayPromote || lease.Fence == g.leaseFence {
		return
	}
	g.leaseFence = lease.Fence
	g.orderedTerm = max(g.orderedTerm, lease.OrderedTerm)
	if g.orderedTerm > g.maxOwnTerm() {
		g.setPromoteDeadline(now)
	}
	if lease.OrderedTermUnknown {
		g.orderedTermUnknown = true
		g.promoteDeadline = later(g.promoteDeadline, now)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// setPromoteDeadline starts the time in which a Promote command may take effect. Holds are kept
// until then.
func (g *Group) setPromoteDeadline(now time.Time) { g.promoteDeadline = now.Add(HeldMaxPromoteDelay) }

// reconcile updates the state after a Promote command. If the command has taken effect, its deadline
// no longer applies. If it has not, its deadline has passed and every target has answered a later
// poll, orderedTerm is lowered to the highest term that a target is in.
func (g *Group) reconcile(now time.Time) {
	highest := g.maxOwnTerm()
	g.promoteDeadline = g.pendingPromoteDeadline()
	if g.orderedTerm <= highest && !g.orderedTermUnknown || now.Before(g.promoteDeadline) {
		return
	}
	for _, m := range g.members {
		if o := g.observations[m.Name]; o == nil || !o.answered || !o.polledAt.After(g.promoteDeadline) {
			return
		}
	}
	g.orderedTerm, g.orderedTermUnknown = highest, false
}

// OrderedTerm returns the ordered term: the highest term for which a Promote command may have been
// sent, as far as this node knows.
func (g *Group) OrderedTerm() uint64 { return g.orderedTerm }

// KnowsOrderedTerm reports whether no former holder of the lease may have sent a Promote command for
// a higher term than OrderedTerm.
func (g *Group) KnowsOrderedTerm() bool { return !g.orderedTermUnknown }

// IsSoleOrderer reports whether this node alone may promote a target and every Promote command sent
// so far is accounted for. For that, no command may be for a term above highest, which is the
// highest term known to the caller, and each command must have taken effect or have passed its
// deadline. fence is the current fencing token of this node's lease, or 0 if the node holds none.
func (g *Group) IsSoleOrderer(now time.Time, fence, highest uint64) bool {
	if g.orderedTermUnknown {
		return false
	}
	return fence > 0 && fence == g.leaseFence && g.orderedTerm <= highest && !now.Before(g.pendingPromoteDeadline())
}

// pendingPromoteDeadline returns the time until which a Promote command may still take effect.
// If the command for the highest ordered term has taken effect, only earlier commands can be
// pending, so it returns the deadline from before the current attempt sent its command.
func (g *Group) pendingPromoteDeadline() time.Time {
	if g.orderedTermUnknown {
		return g.promoteDeadline
	}
	if g.orderedTerm > 0 && g.orderedTerm <= g.maxOwnTerm() {
		return g.attempt.prevPromoteDeadline
	}
	return g.promoteDeadline
}

// hasPrimaryReturned reports whether the primary that was unreachable or unknown when the attempt
// started has answered a poll since and is still the primary.
func (g *Group) hasPrimaryReturned(now time.Time) bool {
	if g.attempt.reason != ReasonUnreachable && g.attempt.reason != ReasonNoPrimary {
		return false
	}
	primary, _ := g.Primary()
	return primary != "" && g.isLeadingOwnTerm(now, primary) && g.observations[primary].polledAt.After(g.attempt.startedAt)
}

// hasHeldQuorum reports whether a quorum of the targets still holds the attempt's term. A
// target that has adopted the term counts until a poll sent after adoptedAt reports a lower term,
// which shows that the target has lost its hold by a restart or a release.
func (g *Group) hasHeldQuorum() bool {
	held := 0
	for name := range g.attempt.adopted {
		o := g.observations[name]
		lost := o != nil && o.answered && o.polledAt.After(g.attempt.adoptedAt) && o.status.Term < g.attempt.term
		if !lost {
			held++
		}
	}
	return held >= g.quorum()
}

// settleDelay returns the delay between adoption by a majority and the Promote command. With
// Options.HeldTerms, Promote takes effect HeldMinPromoteDelay later at the earliest, so that time is
// subtracted from the delay. A fenced primary, which has adopted the term, commits nothing more, so
// there is no delay: no poll result that confirms writes of the old term has to expire.
func (g *Group) settleDelay() time.Duration {
	switch {
	case !g.options.HeldTerms:
		return g.options.Settle
	case g.attempt.fenced:
		return 0
	default:
		return g.options.Settle - HeldMinPromoteDelay
	}
}

// announceActions returns the action that writes the attempt's term into the lease's row. Later
// lease holders need it because a Promote command may take effect after its sender has stopped.
func (g *Group) announceActions() []Action {
	if !g.options.HeldTerms {
		return nil
	}
	return []Action{Announce{Term: g.attempt.term}}
}

// HandleAnnounceResult handles the result of Announce. An error abandons the attempt.
func (g *Group) HandleAnnounceResult(now time.Time, term uint64, err error) {
	if g.attempt.phase == PhaseIdle || term != g.attempt.term {
		return
	}
	if err != nil {
		g.abandon(now)
		return
	}
	g.attempt.announced = true
}

// awaitAnnounced abandons the attempt if the lease's row does not name its term within
// AnnounceTimeout.
func (g *Group) awaitAnnounced(now time.Time) []Action {
	if now.Sub(g.attempt.phaseStartedAt) >= AnnounceTimeout {
		g.abandon(now)
	}
	return nil
}
