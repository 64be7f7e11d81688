package owner

import (
	"context"
	"time"

	"crocusyoke/internal/logpos"
	"crocusyoke/internal/owner/pool"
	"crocusyoke/internal/owner/schedule"
	"crocusyoke/internal/request"
	"crocusyoke/internal/target"
)

// connectTimeout is how long a request waits for a connection to one target before it is
// placed again, possibly on another target.
const connectTimeout = 300 * time.Millisecond

// connect gets a connection for r, which holds a slot. With priorities the slot is given back while a connection is
// opened or probed, so that other work uses it. After a refusal r holds neither.
func (g *group) connect(ctx context.Context, r *execution) (*pool.Conn, *request.Refusal) {
	use := r.member.useFor(r.req)
	if conn := r.member.pool.TryGetFor(use); conn != nil {
		return conn, nil
	}
	gaveBack := g.giveBackSlot(r)
	conn, err := r.member.connection(ctx, use)
	if !gaveBack {
		if err != nil {
			g.freeSlot(r.member, r.slot, schedule.TransactionUnchanged)
			return nil, g.refuseNoConnection(ctx, r, err)
		}
		return conn, nil
	}
	if err != nil {
		g.abandonSlot(r)
		return nil, g.refuseNoConnection(ctx, r, err)
	}
	g.retakeSlot(r)
	if refusal := g.awaitNewSlot(ctx, r); refusal != nil {
		r.member.pool.Put(conn)
		return nil, refusal
	}
	return conn, nil
}

// giveBackSlot gives back r's slot until retakeSlot or abandonSlot. It reports false if r keeps it.
func (g *group) giveBackSlot(r *execution) bool {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	decisions, ok := r.member.schedule.GiveBack(now, &r.slot.item)
	r.member.deliver(now, decisions)
	return ok
}

func (g *group) abandonSlot(r *execution) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r.member.schedule.Abandon(&r.slot.item)
}

func (g *group) retakeSlot(r *execution) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	r.member.deliver(now, r.member.schedule.Submit(now, &r.slot.item))
}

// useFor returns what a connection of m is wanted for by req.
func (m *member) useFor(req *request.Request) pool.Use {
	use := pool.Use{Customer: req.Customer, Priority: req.Priority, Weight: 1 / float64(1+request.Rank(req.Priority))}
	if !m.perCustomer {
		use.Customer = ""
	}
	return use
}

// connection gets a connection for use from m's pool, within connectTimeout.
func (m *member) connection(ctx context.Context, use pool.Use) (*pool.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	return m.pool.GetFor(ctx, use)
}

// refuseNoConnection returns the refusal for an attempt without a connection. Unless ctx has
// ended, it counts the failure against the target, unless it concerns the customer only, and marks
// the refusal as retryable, since nothing was sent; the next attempt prefers another target if one
// will do.
func (g *group) refuseNoConnection(ctx context.Context, r *execution, err error) *request.Refusal {
	if ctx.Err() != nil {
		return request.Refuse(request.CodeTimeout, "connect", r.member.name, "no connection in time").WithCause(err)
	}
	if !target.ErrLoginRefused.Has(err) {
		g.mu.Lock()
		r.member.recordExchange(true, logpos.Position{})
		g.mu.Unlock()
	}
	return markRetryable(request.Refuse(request.CodeNoTarget, "connect", r.member.name, "no connection: %v", err))
}
