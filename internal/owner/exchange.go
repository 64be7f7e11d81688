package owner

import (
	"context"
	"errors"
	"time"

	"crocusyoke/internal/contain"
	"crocusyoke/internal/owner/pool"
	"crocusyoke/internal/request"
	"crocusyoke/internal/target"
)

// exchangeResult is the result of one exchange. repeated and sent are those of ExchangeFunc.
type exchangeResult struct {
	reply    target.Reply
	repeated bool
	sent     bool
	err      error
	// sentAt is from before the exchange and answeredAt from after it.
	sentAt     time.Time
	answeredAt time.Time
	// cancelled is true if a cancel request was sent. It may still take effect on the
	// connection's next statement, so the connection must not be reused.
	cancelled bool
	// silent is true if no answer arrived in time.
	silent bool
	// warm is true if the connection was proven to lead to a warm target (package coldstart).
	warm bool
}

// refusal returns the refusal that the exchange returned as its error, or nil.
func (o *exchangeResult) refusal() *request.Refusal {
	var r *request.Refusal
	if errors.As(o.err, &r) {
		return r
	}
	return nil
}

// setUpRefused returns the error of an exchange whose request was not sent, because the target refused the
// session state for it, or nil. The connection can be used again.
func (o *exchangeResult) setUpRefused() *target.SetUpRefused {
	var refused *target.SetUpRefused
	errors.As(o.err, &refused)
	return refused
}

// connectionFailed reports whether the exchange left the connection unusable.
func (o *exchangeResult) connectionFailed() bool { return o.err != nil && o.setUpRefused() == nil }

// exchange runs req on conn. When ctx ends, it asks the target to cancel the statement. If no
// answer arrives within Times.CancelWait after that, it abandons the statement, that is, stops
// waiting for the answer. A positive timeout abandons the statement after that time. A statement
// at a primary is abandoned as soon as the primary is replaced, since no answer of a replaced
// primary could be confirmed any more.
func (g *group) exchange(ctx context.Context, conn *pool.Conn, req *request.Request, timeout time.Duration, replica bool) exchangeResult {
	o := exchangeResult{sentAt: g.now(), warm: conn.IsWarm()}
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

// primaryContext returns a context that ends when the current primary is replaced.
func (g *group) primaryContext() context.Context {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primaryCtx
}

// cancelAbandoned asks the target to cancel a statement that was abandoned after its timeout.
// The statement may still be running, so the target is asked before the statement's slot is
// reused.
func (g *group) cancelAbandoned(ctx context.Context, conn *pool.Conn) {
	g.manager.counts.statementsCancelled.Add(1)
	ctx, done := context.WithTimeout(ctx, g.options.Times.CancelWait)
	defer done()
	_ = conn.Cancel(ctx)
}

// detach returns a context that does not end with ctx, so that a statement can be cancelled
// after ctx has ended and before its connection is closed. A positive timeout bounds it.
func detach(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	if timeout > 0 {
		return context.WithTimeout(context.WithoutCancel(ctx), timeout)
	}
	return context.WithCancel(context.WithoutCancel(ctx))
}

// cancelStatement asks the target to cancel the statement on conn, and calls abandon if the
// exchange has not ended within Times.CancelWait.
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
	reply, sent, err := exchangeContained(ctx, conn, req.Messages)
	return reply, false, sent, err
}

// exchangeContained exchanges messages on conn. A panic over the target's answer becomes an error;
// the messages then count as sent.
func exchangeContained(ctx context.Context, conn *pool.Conn, messages []byte) (reply target.Reply, sent bool, err error) {
	reply, err = contain.Call("exchange", func() (target.Reply, error) {
		answer, wasSent, err := conn.Exchange(ctx, messages)
		sent = wasSent
		return answer, err
	})
	return reply, sent || contain.Error.Has(err), err
}

// returnConn returns conn to m's pool, or closes it if its state is uncertain.
func (g *group) returnConn(m *member, conn *pool.Conn, o *exchangeResult) {
	if !o.connectionFailed() && !o.cancelled && o.reply.TxStatus == 'I' {
		m.pool.Put(conn)
		return
	}
	if o.silent {
		g.manager.counts.silentConnections.Add(1)
	}
	m.pool.Discard(conn, o.silent)
}
