package owner

import (
	"context"
	"errors"
	"time"

	"crocusyoke/internal/owner/pool"
	"crocusyoke/internal/request"
	"crocusyoke/internal/target"
)

// exchangeResult is what came of one exchange.
type exchangeResult struct {
	reply    target.Reply
	repeated bool
	sent     bool
	err      error
	// sentAt and answeredAt enclose the exchange.
	sentAt     time.Time
	answeredAt time.Time
	// cancelled is true when a cancel request was sent, so that the connection may still
	// be hit by it.
	cancelled bool
	// silent is true when no answer came in time.
	silent bool
}

// refusal returns the refusal that the exchange itself ended with, or nil.
func (o *exchangeResult) refusal() *request.Refusal {
	var r *request.Refusal
	if errors.As(o.err, &r) {
		return r
	}
	return nil
}

// exchange runs req on conn. When ctx ends the statement is cancelled, and given up a
// short time later. A positive patience gives it up after that time. At a primary it is
// given up as soon as the primary has been replaced: nothing that it may still answer
// would be passed on.
func (g *group) exchange(ctx context.Context, conn *pool.Conn, req *request.Request, timeout time.Duration, replica bool) exchangeResult {
	o := exchangeResult{sentAt: g.now()}
	running, abandon := detach(ctx, timeout)
	defer abandon()
	if !replica {
		defer context.AfterFunc(g.primaryContext(), abandon)()
	}
	cancelDone := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(cancelDone)
		g.cancelStatement(running, conn, abandon)
	})
	o.reply, o.repeated, o.sent, o.err = g.send(running, conn, req)
	o.answeredAt = g.now()
	if !stop() {
		o.cancelled = true
		abandon()
		<-cancelDone
	}
	lost := o.err != nil && errors.Is(running.Err(), context.DeadlineExceeded)
	if lost && !o.cancelled {
		g.cancelAbandoned(ctx, conn)
	}
	o.silent = lost || (o.err != nil && o.cancelled)
	return o
}

// cancelAbandoned asks the target to cancel a statement that was given up, in case it still
// runs there, before its slot is used again.
func (g *group) cancelAbandoned(ctx context.Context, conn *pool.Conn) {
	g.manager.counts.statementsCancelled.Add(1)
	ctx, done := context.WithTimeout(ctx, g.options.Times.CancelWait)
	defer done()
	_ = conn.Cancel(ctx)
}

// detach returns a context that outlives ctx's end, so that a statement is cancelled
// before its connection is given up.
func detach(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	if timeout > 0 {
		return context.WithTimeout(context.WithoutCancel(ctx), timeout)
	}
	return context.WithCancel(context.WithoutCancel(ctx))
}

// cancelStatement asks the target to cancel what runs on conn, and abandons it when no
// answer has come within the bound.
func (g *group) cancelStatement(running context.Context, conn *pool.Conn, abandon context.CancelFunc) {
	defer abandon()
	g.manager.counts.statementsCancelled.Add(1)
	ctx, done := context.WithTimeout(running, g.options.Times.CancelWait)
	defer done()
	_ = conn.Cancel(ctx)
	<-ctx.Done()
}

func (g *group) send(ctx context.Context, conn *pool.Conn, req *request.Request) (target.Reply, bool, bool, error) {
	if req.IdempotencyKey != "" {
		if req.Kind == request.KindWrite && g.options.Idempotent != nil {
			return g.options.Idempotent(ctx, conn.Conn, req)
		}
		if req.Kind == request.KindBegin && g.options.IdempotentBegin != nil {
			return g.options.IdempotentBegin(ctx, conn.Conn, req)
		}
	}
	reply, sent, err := conn.Exchange(ctx, req.Messages)
	return reply, false, sent, err
}

// returnConn gives conn back, or closes it when it is in doubt.
func (g *group) returnConn(m *member, conn *pool.Conn, o *exchangeResult) {
	if o.err == nil && !o.cancelled && o.reply.TxStatus == 'I' {
		m.pool.Put(conn)
		return
	}
	if o.silent {
		g.manager.counts.silentConnections.Add(1)
	}
	m.pool.Discard(conn, o.silent)
}
