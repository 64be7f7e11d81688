package owner

import (
	"context"
	"slices"
	"time"

	"crocusyoke/internal/request"
)

// setEvacuated applies whether m's failure domain is evacuated. A request that waits for a slot of an evacuated
// target is placed again. g.mu is held.
func (g *group) setEvacuated(m *member, evacuated bool) {
	if !m.evacuation.Set(g.now(), evacuated) {
		return
	}
	m.isEvacuated.Store(evacuated)
	g.handover.End()
	if evacuated {
		m.endInUse()
	} else {
		m.inUse, m.endInUse = context.WithCancel(g.ctx)
	}
	g.manager.counts.evacuations.Add(1)
	_ = g.options.Logger.Log("event", "target evacuated", "group", g.name, "target", m.name, "domain", m.target.Domain,
		"evacuated", evacuated, "in_flight", m.schedule.InFlight(), "queued", m.schedule.Waiting(),
		"transactions", m.schedule.OpenTransactions())
}

// evacuateFormer applies the evacuations to the targets of open transactions that the group no longer has. g.mu is held.
func (g *group) evacuateFormer() {
	for _, tx := range g.transactions {
		if m := tx.member; !g.hasMember(m) {
			g.setEvacuated(m, slices.Contains(g.config.EvacuatedDomains, m.target.Domain))
		}
	}
}

// awaitNewSlot is awaitSlot for r's current placement. It returns a retryable refusal if the target is
// evacuated before it grants the slot.
func (g *group) awaitNewSlot(ctx context.Context, r *execution) *request.Refusal {
	select {
	case refusal := <-r.slot.decided:
		return withPeer(refusal, r.member)
	default:
	}
	if g.options.EvenLoad && r.waitsForSlot && len(r.alternatives) > 0 {
		g.awaitOffers(ctx, r)
	}
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(r.inUse, cancel)()
	refusal := g.awaitSlot(waiting, r.member, r.slot)
	if refusal == nil || ctx.Err() != nil || waiting.Err() == nil {
		return refusal
	}
	g.manager.counts.requestsMoved.Add(1)
	return markRetryable(request.Refuse(request.CodeNoTarget, "schedule", r.member.name, "the target's failure domain is evacuated"))
}

// needsRecheck reports whether r's placement has to be checked before anything is sent.
func (g *group) needsRecheck(r *execution) bool {
	return r.member.isEvacuated.Load() || g.now().Sub(r.placedAt) > recheckAfter
}

// handoverWait returns how long r, for which no target was found, waits for the primary of an evacuated failure
// domain to hand over, or a refusal. It returns neither if that is not why there is no target. g.mu is held.
func (g *group) handoverWait(ctx context.Context, now time.Time, r *execution) (time.Duration, *request.Refusal) {
	hasSuccessor, concerned := g.successors(r.criteria.Primary)
	if !concerned {
		return 0, nil
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(DefaultTimeout)
	}
	wait, retryAfter := g.handover.Wait(now, deadline, hasSuccessor)
	if wait > 0 {
		return wait, nil
	}
	g.manager.counts.refusedEvacuated.Add(1)
	refusal := request.Refuse(request.CodeNoTarget, "choose", "", "the targets of group %s that could serve it are in evacuated failure domains", g.name)
	return 0, refusal.WithRetryAfter(retryAfter)
}

// successors reports whether a target could take over that accepts new requests, as far as is known, and whether
// evacuation is why there is no primary: the primary, with the given index or -1, is evacuated, or some targets
// are evacuated and none accepts new requests. g.mu is held.
func (g *group) successors(primary int) (hasSuccessor, concerned bool) {
	anyEvacuated, allWithdrawn := false, true
	for _, m := range g.members {
		anyEvacuated = anyEvacuated || m.target.Evacuated
		if m.target.IsWithdrawn() {
			continue
		}
		allWithdrawn = false
		hasSuccessor = hasSuccessor || !m.isUnreachable()
	}
	if primary >= 0 && g.members[primary].target.Evacuated {
		return hasSuccessor, true
	}
	return hasSuccessor, anyEvacuated && allWithdrawn
}

// endsByEvacuation reports whether tx is at an evacuated target and its time there is over. It has none at a target that
// the group no longer has: without polls of it this node may hear of the order late. g.mu is held.
func (g *group) endsByEvacuation(now time.Time, tx *transaction) bool {
	evacuation := &tx.member.evacuation
	isFormer := evacuation.IsEvacuated() && !g.hasMember(tx.member)
	if !isFormer && !evacuation.EndsTransactions(now, g.options.EvacuationBound) {
		return false
	}
	if !tx.aborting {
		g.manager.counts.transactionsEvacuated.Add(1)
		_ = g.options.Logger.Log("event", "transaction evacuated", "group", g.name, "target", tx.member.name, "session", tx.session,
			"open_for", now.Sub(tx.opened), "busy", tx.busy)
	}
	return true
}

// refuseEvacuated returns the refusal of a statement of tx that is about to be sent, if tx's time at an evacuated
// target is over, or nil.
func (g *group) refuseEvacuated(tx *transaction) *request.Refusal {
	if !tx.member.isEvacuated.Load() {
		return nil
	}
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.endsByEvacuation(now, tx) {
		return nil
	}
	tx.aborting = true
	return request.Refuse(request.CodeTransactionLost, "transaction", tx.member.name, "the target's failure domain is evacuated; rolled back")
}
