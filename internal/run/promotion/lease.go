package promotion

import (
	"context"

	"crocusyoke/internal/controller/promotion"
)

// Lease is held by the one node that may order promotions of a group. Its methods are safe
// for concurrent use.
type Lease interface {
	// State returns the fence of the lease that this node holds now, and the highest term that
	// its row named as ordered when this node took it. It fails while the node holds none.
	State(group string) (fence, ordered uint64, err error)
	// Announce writes into the row that a promotion to term may be called.
	Announce(ctx context.Context, group string, term uint64) error
	// SetOrdered corrects what the row names as ordered, from its next renewal on, while this
	// node's lease is the one with this fence.
	SetOrdered(group string, fence, term uint64)
}

// lease returns what is known of the group's lease.
func (r *Runner) lease(group string) promotion.Lease {
	fence, ordered, err := r.options.Lease.State(group)
	if err != nil {
		return promotion.Lease{}
	}
	return promotion.Lease{Fence: fence, Ordered: ordered}
}

// Sole reports whether this node alone may order promotions of the group now, and none was
// called that is not known where highest is the highest term known of.
func (r *Runner) Sole(name string, highest uint64) bool {
	if r.options.Lease == nil {
		return false
	}
	g := r.group(name)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Sole(r.options.Clock.Now(), r.lease(name).Fence, highest)
}

// announce has the lease's row name the term of an order. It tries again while there is time.
func (r *Runner) announce(ctx context.Context, g *group, a promotion.Announce) {
	if r.options.Lease == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, promotion.AnnounceWait)
	defer cancel()
	err := r.options.Lease.Announce(ctx, g.name, a.Term)
	for err != nil && r.options.Clock.Sleep(ctx, announceRetry) == nil {
		err = r.options.Lease.Announce(ctx, g.name, a.Term)
	}
	_ = r.options.Logger.Log("event", "announce", "group", g.name, "term", a.Term, "err", err)
	g.mu.Lock()
	g.core.Announced(r.options.Clock.Now(), a.Term, err)
	g.mu.Unlock()
	r.tick(ctx, g)
}
