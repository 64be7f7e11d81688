package owner

import (
	"context"
	"time"

	"crocusyoke/internal/owner/choose"
	"crocusyoke/internal/owner/schedule"
	"crocusyoke/internal/request"
)

// place chooses a target for r and submits r to its schedule. It waits for a replica as long
// as the profile allows, and for a primary up to primaryWait.
func (g *group) place(ctx context.Context, r *execution) *request.Refusal {
	for {
		changed, wait, refusal := g.tryPlace(ctx, r)
		if refusal != nil || changed == nil && wait == 0 {
			return refusal
		}
		if r.coldWaitsAt != nil {
			g.awaitColdRoom(ctx, r, wait)
			continue
		}
		g.awaitChange(ctx, changed, wait)
	}
}

// tryPlace chooses a target for r and submits r to its schedule, or refuses r. If r has to wait, up to
// wait, it returns a channel that is closed when the group's state changes, and counts r as waiting. For room at a cold
// target it returns the wait only.
func (g *group) tryPlace(ctx context.Context, r *execution) (changed <-chan struct{}, wait time.Duration, refusal *request.Refusal) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	choice := g.choose(now, r)
	if choice.Target >= 0 {
		if wait, refusal := g.placeCold(ctx, now, r, g.members[choice.Target]); wait > 0 || refusal != nil {
			return nil, wait, refusal
		}
		g.placeAt(ctx, now, r, choice)
		return nil, 0, nil
	}
	if r.req.Nearby {
		return nil, 0, g.refuseNoReplica()
	}
	if refusal := g.refuseOutsideHome(r); refusal != nil {
		return nil, 0, refusal
	}
	if choice.Wait <= 0 {
		if refusal := g.refuseWithoutShare(r); refusal != nil {
			return nil, 0, refusal
		}
	}
	wait, retryAfter := choice.Wait, time.Duration(0)
	if wait <= 0 {
		if wait, refusal = g.handoverWait(ctx, now, r); refusal != nil {
			return nil, 0, refusal
		}
	}
	if wait <= 0 {
		wait, retryAfter = g.primaryWait(ctx, now, r)
	}
	if refusal := g.checkWait(ctx, wait); refusal != nil {
		return nil, 0, refusal.WithRetryAfter(g.returnAfter(now, r.req, retryAfter))
	}
	g.waitingForTarget++
	g.wakePollers()
	return g.changed, wait, nil
}

// primaryWait returns how long the request may wait for a primary. If wait is not positive,
// the request is to be refused, and retryAfter is the retry delay, 0 if not known. g.mu is
// held.
func (g *group) primaryWait(ctx context.Context, now time.Time, r *execution) (wait, retryAfter time.Duration) {
	maxWait := g.options.Times.PrimaryWait - now.Sub(r.startedAt)
	if !g.options.FailFastWithoutPrimary {
		return maxWait, 0
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(maxWait)
	}
	wait, retryAfter = g.gap.MaxWait(now, deadline)
	return min(wait, maxWait), retryAfter
}

// choose picks a target for r, or a wait, from what is known of the group. g.mu is held.
func (g *group) choose(now time.Time, r *execution) choose.Choice {
	g.refresh()
	g.syncEvidence()
	primary, term, ok := g.evidence.Primary(now)
	g.gap.Observe(now, ok)
	if r.req.MinPositionKnown && r.req.MinPosition.Term > term {
		ok = false
	}
	r.term = term
	r.criteria = choose.Criteria{
		Policy:           g.options.Reads,
		Read:             !r.primaryOnly && !choose.NeedsPrimary(r.req.Kind),
		Profile:          &r.req.Profile,
		MinPosition:      r.req.MinPosition,
		MinPositionKnown: r.req.MinPositionKnown,
		Domain:           g.options.Domain,
		Nearby:           r.req.Nearby,
		Primary:          -1,
		HeldTerms:        g.options.HeldTerms,
		Term:             g.evidence.HighestTerm(),
		ReplicaWaitLeft:  r.req.Profile.ReplicaWait.Std() - now.Sub(r.startedAt),
		EvenLoad:         g.options.EvenLoad,
	}
	if g.options.EvenLoad {
		r.criteria.Random = g.options.Random()
	}
	for i, m := range g.members {
		g.candidates[i] = m.candidate(now, r.req)
		g.candidates[i].HasReader = g.hasReader(m.target.Domain)
		g.candidates[i].ExpectedWait = r.expectedWait(now, m, g.candidates[i].ExpectedWait)
		if ok && m.name == primary && !m.isUnreachable() {
			r.criteria.Primary = i
		}
	}
	return choose.Choose(&r.criteria, g.candidates)
}

// placeAt submits r to the schedule of the chosen target. g.mu is held.
func (g *group) placeAt(ctx context.Context, now time.Time, r *execution, choice choose.Choice) {
	r.member = g.members[choice.Target]
	r.replica = choice.Replica
	r.placedAt = now
	r.inUse = r.member.inUse
	if !choice.Replica {
		g.handover.End()
	}
	g.submit(ctx, now, r)
}

// submit requests a slot of r.member. g.mu is held.
func (g *group) submit(ctx context.Context, now time.Time, r *execution) {
	deadline, _ := ctx.Deadline()
	r.slot = g.newSlotWaiter(r.req, classOf(r.req.Kind), deadline)
	r.member.deliver(now, r.member.schedule.Submit(now, &r.slot.item))
	g.beginSlotWait(now, r)
}

func classOf(kind request.Kind) schedule.Class {
	switch kind {
	case request.KindRead:
		return schedule.Read
	case request.KindBegin, request.KindBeginRead:
		return schedule.BeginTransaction
	default:
		return schedule.Write
	}
}

// checkWait returns a refusal if the request can't wait any longer for a target, or nil. g.mu
// is held.
func (g *group) checkWait(ctx context.Context, wait time.Duration) *request.Refusal {
	switch {
	case g.releasing:
		return request.Refuse(request.CodeNoOwner, "choose", g.options.Self, "group %s is being handed over", g.name)
	case ctx.Err() != nil || wait <= 0:
		return g.refuseNoPrimary()
	default:
		return nil
	}
}

// awaitChange waits until changed is closed, ctx ends or wait has passed, and no longer counts the request
// as waiting.
func (g *group) awaitChange(ctx context.Context, changed <-chan struct{}, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	g.waitingForTarget--
	g.mu.Unlock()
}

// isPlacementValid reports whether r's target may still serve r: it is in the configuration and
// not withdrawn. Unless it was chosen as a replica, it must also still be the primary of the same
// term.
func (g *group) isPlacementValid(r *execution) bool {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh()
	if !g.hasMember(r.member) || r.member.target.IsWithdrawn() || !r.member.allows(r.req) {
		return false
	}
	if r.replica {
		return true
	}
	g.syncEvidence()
	name, term, ok := g.evidence.Primary(now)
	return ok && name == r.member.name && term == r.term
}
