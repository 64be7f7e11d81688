package owner

import (
	"context"
	"slices"
	"time"

	"crocusyoke/internal/owner/choose"
)

// offerInterval is the least time between two offers of free slots to one request, so that one that stays where it is
// does not keep others from being offered a slot.
const offerInterval = 5 * time.Millisecond

// reconsiderInterval is how often a request that waits for a slot is compared with targets that have had free slots all
// along.
const reconsiderInterval = 20 * time.Millisecond

// offerSlot tells the most urgent request that waits at another target, and of those the first, that m, which has a free
// slot, could serve it. g.mu is held.
func (g *group) offerSlot(now time.Time, m *member) {
	var first *execution
	for _, r := range g.waiting {
		if now.Sub(r.offeredAt) < offerInterval || !r.canUse(m) {
			continue
		}
		if first == nil || r.req.Priority < first.req.Priority {
			first = r
		}
	}
	if first == nil {
		return
	}
	first.offeredAt = now
	select {
	case first.offered <- struct{}{}:
	default:
	}
}

// canUse reports whether m could serve the request in place of the target where it waits.
func (r *execution) canUse(m *member) bool {
	return slices.ContainsFunc(r.alternatives, func(a alternative) bool { return a.member == m })
}

// awaitOffers waits until r's placement is decided or can't wait any longer, and moves r to targets that have a free slot
// for it meanwhile.
func (g *group) awaitOffers(ctx context.Context, r *execution) {
	ticker := time.NewTicker(reconsiderInterval)
	defer ticker.Stop()
	for len(r.slot.decided) == 0 {
		select {
		case <-r.offered:
			g.tryMove(ctx, r)
		case <-ticker.C:
			g.tryMove(ctx, r)
		case refusal := <-r.slot.decided:
			r.slot.decided <- refusal
			return
		case <-r.inUse.Done():
			return
		case <-ctx.Done():
			return
		}
	}
}

// tryMove places r, which waits for a slot, at another target if that has a free one and r would be placed there now.
// A request stays where it is if one of the two targets has just started.
func (g *group) tryMove(ctx context.Context, r *execution) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.releasing || r.coldAt != nil {
		return
	}
	criteria, term := r.criteria, r.term
	choice := g.choose(now, r)
	if !g.isMove(now, r, choice) || !r.member.schedule.Cancel(&r.slot.item) {
		// What is known now is not what r was placed by.
		r.criteria, r.term = criteria, term
		return
	}
	g.endSlotWaitLocked(now, r)
	g.recycle(r.slot)
	g.manager.counts.slotWaits.moved.Add(1)
	g.placeAt(ctx, now, r, choice)
}

// expectedWait returns the expected wait of r at m, which is estimated if r is new there. Where r waits already, it is at
// least as long as r has waited, since a target that hangs shows no long slot times.
func (r *execution) expectedWait(now time.Time, m *member, estimated time.Duration) time.Duration {
	if !r.waitsForSlot || m != r.member {
		return estimated
	}
	return max(estimated, now.Sub(r.placedAt))
}

// isMove reports whether choice is another target than r's, with a free slot. g.mu is held.
func (g *group) isMove(now time.Time, r *execution, choice choose.Choice) bool {
	if choice.Target < 0 {
		return false
	}
	m := g.members[choice.Target]
	return m != r.member && m.hasFreeSlot(now) && !m.isCold(now)
}
