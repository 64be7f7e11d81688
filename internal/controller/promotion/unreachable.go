package promotion

import "time"

// unreachableTargets returns the targets that missed SuspectMissedPolls polls of this node in
// a row.
func (g *Group) unreachableTargets() []string {
	var names []string
	for _, m := range g.members {
		if o := g.observations[m.Name]; o != nil && o.missedPolls >= SuspectMissedPolls {
			names = append(names, m.Name)
		}
	}
	return names
}

// peerQueries returns the queries to send to peers. They concern the primary or, if this node
// knows no primary, every target that it cannot reach.
func (g *Group) peerQueries(primary string) []Action {
	if primary != "" {
		return []Action{QueryPeers{Target: primary}}
	}
	var actions []Action
	for _, name := range g.unreachableTargets() {
		actions = append(actions, QueryPeers{Target: name})
	}
	return actions
}

// noPrimaryReason returns ReasonNoPrimary once the group has had no primary for NoPrimaryTimeout,
// and reasonNone before. It also reports whether to query peers. With Options.HeldTerms, a target
// that only this node cannot reach may still be the primary, so peers must first confirm that it is
// unreachable.
func (g *Group) noPrimaryReason(now time.Time) (Reason, bool) {
	timedOut := elapsedSince(&g.noPrimarySince, now) >= NoPrimaryTimeout
	if !g.options.HeldTerms {
		if timedOut {
			return ReasonNoPrimary, false
		}
		return reasonNone, false
	}
	unreachable := g.unreachableTargets()
	for _, name := range unreachable {
		if !g.isConfirmedUnreachable(now, name) {
			return reasonNone, true
		}
	}
	if timedOut && !g.hasDeclined(now) {
		return ReasonNoPrimary, len(unreachable) > 0
	}
	return reasonNone, len(unreachable) > 0
}

// ObserveDeclinedPoll records that a target answered a poll that was sent at sentAt without its status. It is alive,
// and so not unreachable, until it has declined polls for DeclinedTimeout.
func (g *Group) ObserveDeclinedPoll(sentAt time.Time, name string) {
	o := g.observation(name)
	if o.answered && sentAt.Before(o.polledAt) {
		return
	}
	if o.declinedSince.IsZero() {
		o.declinedSince = sentAt
	}
	if sentAt.Sub(o.declinedSince) >= DeclinedTimeout {
		g.ObserveFailedPoll(sentAt, name)
		return
	}
	if o.missedPolls == 0 {
		o.firstMissAt = sentAt
	}
	o.missedPolls = 1
	o.declinedAt = sentAt
}

// hasDeclined reports whether a member has lately declined a poll, and may be the primary.
func (g *Group) hasDeclined(now time.Time) bool {
	for _, m := range g.members {
		o := g.observations[m.Name]
		if o != nil && !o.declinedAt.IsZero() && now.Sub(o.declinedAt) < PeerAnswerTTL {
			return true
		}
	}
	return false
}

// IsUnfit reports whether another node should own the group, that is, decide on its promotions. This
// is so if this node cannot reach a target that may be the primary, while a peer can. The result is
// always false without Options.HeldTerms.
func (g *Group) IsUnfit(now time.Time) bool {
	if !g.enabled || !g.options.HeldTerms {
		return false
	}
	primary, _ := g.Primary()
	for key, a := range g.peerAnswers {
		if !a.reachable || now.Sub(a.at) > PeerAnswerTTL {
			continue
		}
		o := g.observations[key.target]
		missed := o != nil && o.missedPolls >= SuspectMissedPolls
		if missed && (primary == "" || primary == key.target) {
			return true
		}
	}
	return false
}
