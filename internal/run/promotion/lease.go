package promotion

import (
	"context"

	"crocusyoke/internal/controller/promotion"
	"crocusyoke/internal/run/lease"
)

// Lease gives access to this node's leases. There is one lease for each group; it allows its
// holder to order promotions of the group, and at most one node holds it. The type of the
// same name in the controller's package is the state of one lease. The methods are safe for
// concurrent use.
type Lease interface {
	// State returns the state of the group's lease. It fails if this node does not hold it.
	State(group string) (lease.State, error)
	// Announce records in the lease's row that a promotion to term may be ordered.
	Announce(ctx context.Context, group string, term uint64) error
	// SetOrderedTerm replaces the ordered term in the row from its next renewal on. It has
	// no effect if this node does not hold the lease under the given fence.
	SetOrderedTerm(group string, fence, term uint64)
}

// leaseState returns the state of the group's lease; the zero value if this node does not
// hold it.
func (r *Runner) leaseState(group string) promotion.LeaseState {
	state, err := r.options.Lease.State(group)
	if err != nil {
		return promotion.LeaseState{}
	}
	return promotion.LeaseState{
		Fence: state.Fence, OrderedTerm: state.InheritedTerm, OrderedTermUnknown: state.TermUnknown,
	}
}

// IsSoleOrderer reports whether only this node may currently order promotions of the group
// and every promotion ordered so far is accounted for. highest is the highest term known to
// the caller. The conditions are those of the controller's method of the same name.
func (r *Runner) IsSoleOrderer(name string, highest uint64) bool {
	if r.options.Lease == nil {
		return false
	}
	g := r.group(name)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.IsSoleOrderer(r.options.Clock.Now(), r.leaseState(name).Fence, highest)
}

// announce records in the lease's row the term for which a Promote command may be sent. It
// retries until AnnounceTimeout has elapsed. What follows from the announcement is not bounded by that.
func (r *Runner) announce(ctx context.Context, g *group, a promotion.Announce) {
	if r.options.Lease == nil {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, promotion.AnnounceTimeout)
	defer cancel()
	err := r.options.Lease.Announce(bounded, g.name, a.Term)
	for err != nil && r.options.Clock.Sleep(bounded, announceRetryInterval) == nil {
		err = r.options.Lease.Announce(bounded, g.name, a.Term)
	}
	_ = r.options.Logger.Log("event", "announce", "group", g.name, "term", a.Term, "err", err)
	g.update(func(c *promotion.Group) { c.HandleAnnounceResult(r.options.Clock.Now(), a.Term, err) })
	r.tick(ctx, g)
}
