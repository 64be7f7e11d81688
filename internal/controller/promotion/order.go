package promotion

import (
	"time"

	"crocusyoke/internal/logpos"
	"crocusyoke/internal/target"
)

// startAttempt starts an attempt to promote a target to the next term. A primary that hands over adopts
// the term first, so that a replica can catch up with it.
func (g *Group) startAttempt(now time.Time, reason Reason) []Action {
	primary, _ := g.Primary()
	g.counters.Attempts++
	g.attemptTerm = g.nextTerm()
	g.attempt = attempt{
		phase:          PhaseAdopt,
		term:           g.attemptTerm,
		startedAt:      now,
		phaseStartedAt: now,
		reason:         reason,
		oldPrimary:     primary,
		adopted:        make(map[string]target.Status),
		adoptSent:      make(map[string]bool),
	}
	if g.skipsAdopt(reason) {
		g.attempt.adoptSent[primary] = true
	}
	if reason.isHandover() {
		g.attempt.phase = PhaseFence
		return append(g.announceActions(), g.fenceActions(now)...)
	}
	return append(g.announceActions(), g.adoptRemaining()...)
}

// skipsAdopt reports whether the old primary is not asked to adopt. Without Options.HeldTerms this is
// an isolated primary: its log is the highest, but no target can replicate from it, so the others
// choose among themselves. With Options.HeldTerms it is an unreachable primary: it may return before
// the Promote command is sent and is then kept.
func (g *Group) skipsAdopt(reason Reason) bool {
	if g.options.HeldTerms {
		return reason == ReasonUnreachable
	}
	return reason == ReasonIsolated
}

// adoptRemaining returns an Adopt for every target that was not sent one in this attempt. It
// includes targets that seem unreachable, because they may be back.
func (g *Group) adoptRemaining() []Action {
	var actions []Action
	for _, m := range g.members {
		if g.attempt.adoptSent[m.Name] {
			continue
		}
		g.attempt.adoptSent[m.Name] = true
		actions = append(actions, Adopt{Target: m.Name, Term: g.attempt.term})
	}
	return actions
}

// HandleAdoptResult handles the result of Adopt. status is the target's status after the command
// and is ignored if err is not nil.
func (g *Group) HandleAdoptResult(now time.Time, targetName string, term uint64, status target.Status, err error) {
	if g.attempt.phase == PhaseIdle || term != g.attempt.term || err != nil || g.member(targetName) == nil {
		return
	}
	if status.Term != term || status.Orderer != g.options.Self {
		g.abandon(now)
		return
	}
	fenced := g.options.HeldTerms && targetName == g.attempt.oldPrimary && status.Role == target.RoleReplica
	if !fenced || g.attempt.reason.isHandover() {
		g.attempt.adopted[targetName] = status
	}
	if g.attempt.phase == PhaseFence || fenced {
		g.attempt.fenced = true
		g.attempt.fencedPosition = status.Last
	}
}

// fenceActions returns the Adopt that fences the old primary, unless it was sent or has to wait. The primary of an
// evacuated domain serves replicas' reads by its evidence, and could be fenced in vain for as long as the lease's row
// can't be written: it is fenced once the row names the term.
func (g *Group) fenceActions(now time.Time) []Action {
	primary := g.attempt.oldPrimary
	waits := g.options.HeldTerms && g.attempt.reason == ReasonEvacuated && !g.attempt.announced
	if waits || g.attempt.adoptSent[primary] {
		return nil
	}
	g.attempt.adoptSent[primary] = true
	g.attempt.phaseStartedAt = now
	return []Action{Adopt{Target: primary, Term: g.attempt.term}}
}

func (g *Group) tickFence(now time.Time) []Action {
	if !g.attempt.adoptSent[g.attempt.oldPrimary] {
		if actions := g.fenceActions(now); actions != nil {
			return actions
		}
		return g.awaitAnnounced(now)
	}
	caughtUp := g.attempt.fenced && g.hasCaughtUpReplica()
	if !caughtUp && now.Sub(g.attempt.phaseStartedAt) < CatchUpTimeout {
		return nil
	}
	g.attempt.phase = PhaseAdopt
	g.attempt.phaseStartedAt = now
	return g.adoptRemaining()
}

// hasCaughtUpReplica reports whether a reachable target that is not withdrawn has the whole log of
// the fenced primary, which commits nothing more because it has adopted the attempt's term.
func (g *Group) hasCaughtUpReplica() bool {
	for _, m := range g.members {
		o := g.observations[m.Name]
		if m.isWithdrawn() || o == nil || !o.answered || o.missedPolls > 0 {
			continue
		}
		if o.status.Last == g.attempt.fencedPosition {
			return true
		}
	}
	return false
}

func (g *Group) tickAdopt(now time.Time) []Action {
	if len(g.attempt.adopted) >= g.quorum() {
		g.attempt.phase = PhaseSettle
		g.timeline.Adopted = now
		g.timeline.Started = g.attempt.phaseStartedAt
		g.attempt.phaseStartedAt = now
		g.attempt.adoptedAt = now
		return g.tickSettle(now)
	}
	if now.Sub(g.attempt.phaseStartedAt) >= AdoptTimeout {
		g.abandon(now)
	}
	return nil
}

func (g *Group) tickSettle(now time.Time) []Action {
	if g.options.HeldTerms && (g.hasPrimaryReturned(now) || !g.hasHeldQuorum()) {
		g.abandon(now)
		return nil
	}
	if now.Sub(g.attempt.phaseStartedAt) < g.settleDelay() {
		return nil
	}
	if g.options.HeldTerms && !g.attempt.announced {
		return g.awaitAnnounced(now)
	}
	g.attempt.candidate = g.chooseCandidate()
	g.attempt.prevOrderedTerm, g.attempt.prevPromoteDeadline = g.orderedTerm, g.promoteDeadline
	g.attempt.phase = PhasePromote
	g.attempt.phaseStartedAt = now
	g.orderedTerm = max(g.orderedTerm, g.attempt.term)
	g.setPromoteDeadline(now)
	return []Action{Promote{Target: g.attempt.candidate, Term: g.attempt.term}}
}

// chooseCandidate returns the adopter, all of which are members, with the highest last log position. Among equals it prefers
// a target that is not withdrawn, then one that is not leaving, then one in the orderer's failure domain, then the first.
func (g *Group) chooseCandidate() string {
	var best *Member
	var highest logpos.Position
	for i := range g.members {
		m := &g.members[i]
		status, ok := g.attempt.adopted[m.Name]
		if !ok {
			continue
		}
		if best == nil || highest.Less(status.Last) || status.Last == highest && g.isBetterCandidate(m, best) {
			best, highest = m, status.Last
		}
	}
	return best.Name
}

func (g *Group) isBetterCandidate(m, other *Member) bool {
	if m.isWithdrawn() != other.isWithdrawn() {
		return other.isWithdrawn()
	}
	if m.Leaving != other.Leaving {
		return other.Leaving
	}
	return m.Domain == g.options.Domain && other.Domain != g.options.Domain
}

// HandlePromoteResult handles the result of Promote and returns the follow-up actions. An error of
// class target.ErrNotOrdered means that the command cannot take effect; after any other error it
// still may.
func (g *Group) HandlePromoteResult(now time.Time, name string, term uint64, status target.Status, err error) []Action {
	if g.attempt.phase != PhasePromote || term != g.attempt.term {
		return nil
	}
	if err != nil || !g.hasTakenEffect(status, term) {
		if target.ErrNotOrdered.Has(err) {
			g.promoteDeadline = g.attempt.prevPromoteDeadline
			g.orderedTerm = g.attempt.prevOrderedTerm
		}
		g.abandon(now)
		return nil
	}
	g.promoteDeadline = g.attempt.prevPromoteDeadline
	g.orderedTerm = status.OwnTerm
	g.counters.Promotions++
	g.timeline.Promoted = now
	g.timeline.Term = term
	g.timeline.Reason = g.attempt.reason
	if o := g.observations[g.attempt.oldPrimary]; o != nil {
		g.timeline.LastHeard = o.polledAt
	}
	g.Observe(now, status)
	reason := g.attempt.reason
	g.clearAttempt()
	actions := []Action{RecordPromotion{Term: term, Primary: name, Reason: reason}}
	return append(actions, g.followActions(now, name, term)...)
}

// hasTakenEffect reports whether status shows that a promotion took effect. With Options.HeldTerms the
// term is not compared: the promoted target leads its own next term, which may differ from the term
// of the attempt.
func (g *Group) hasTakenEffect(status target.Status, term uint64) bool {
	return status.Role == target.RolePrimary && (g.options.HeldTerms || status.Term == term)
}

func (g *Group) tickPromote(now time.Time) []Action {
	limit := PromoteTimeout
	if g.options.HeldTerms {
		limit = HeldPromoteTimeout
	}
	if now.Sub(g.attempt.phaseStartedAt) >= limit {
		g.abandon(now)
	}
	return nil
}

// abandon ends the attempt and delays the next one by a random backoff. Without the randomness,
// two nodes could attempt promotions in step again and again, and the targets that adopt a term
// for one node would each time refuse the other.
func (g *Group) abandon(now time.Time) {
	g.counters.AbandonedAttempts++
	g.clearAttempt()
	spread := int64(BackoffMax - BackoffMin)
	g.backoffUntil = now.Add(BackoffMin + time.Duration(g.options.Rand.Int64N(spread)))
	g.noPrimarySince = time.Time{}
}

func (g *Group) clearAttempt() {
	g.attempt = attempt{}
	clear(g.peerAnswers)
}
