package owner

import (
	"context"
	"time"

	"crocusyoke/internal/contain"
	"crocusyoke/internal/owner/evidence"
	"crocusyoke/internal/owner/pool"
	"crocusyoke/internal/owner/schedule"
	"crocusyoke/internal/request"
)

// transaction is a session's open transaction. It is pinned to one connection and ends when
// the connection does. The group's mu guards its mutable fields.
type transaction struct {
	session  string
	customer string
	weight   int
	member   *member
	conn     *pool.Conn
	replica  bool
	// term is the primary's term when the transaction began.
	term uint64
	// ended is closed when the transaction has ended.
	ended    chan struct{}
	opened   time.Time
	lastUsed time.Time
	// busy is true while a statement of the transaction waits or runs.
	busy bool
	// aborting is set when the transaction is to be rolled back after the current statement.
	aborting bool
	// tainted is set once a cancel request was sent for the connection. The connection is then
	// closed after the transaction, since a cancel request that takes effect late might cancel
	// another session's statement.
	tainted bool
	// connReturned is set once conn was returned to its pool or closed. Only the statement that made the
	// transaction busy uses it.
	connReturned bool
	// closed is set once the member's schedule no longer counts the transaction as open.
	closed bool
}

// rollbackTimeout bounds the rollback of an abandoned transaction. After that its connection
// is closed, which rolls the transaction back, too.
const rollbackTimeout = 250 * time.Millisecond

// serveInTransaction runs one statement of an open transaction. A panic ends the transaction.
func (g *group) serveInTransaction(ctx context.Context, req *request.Request, tx *transaction) (*request.Response, *request.Refusal) {
	if refusal := g.endOutsideHome(req, tx); refusal != nil {
		return nil, refusal
	}
	counted, refusal := g.admitColdStatement(ctx, tx)
	if refusal != nil {
		return nil, refusal
	}
	defer g.endColdStatement(tx, counted)
	class := schedule.InTransaction
	if req.Kind == request.KindCommit || req.Kind == request.KindRollback {
		class = schedule.EndTransaction
	}
	deadline, _ := ctx.Deadline()
	slot := g.newSlotWaiter(req, class, deadline)
	if refusal := g.beginStatement(tx, slot); refusal != nil {
		return nil, refusal
	}
	var o exchangeResult
	var kept bool
	if contain.Step(g.options.Logger, "serve statement", func() { o, kept, refusal = g.runStatement(ctx, req, tx, slot, counted) }) {
		g.abandonTransaction(tx, slot)
		return nil, request.Refuse(request.CodeOutcomeUnknown, "exchange", tx.member.name, "the statement panicked")
	}
	if refusal != nil {
		return nil, refusal
	}
	g.recycle(slot)
	response, refusal := g.evaluateInTransaction(ctx, req, tx, &o)
	if refusal != nil && kept {
		g.abort(tx)
	}
	return response, refusal
}

// runStatement waits for slot and runs a statement of tx, which it leaves idle or ended. counted is true if it is counted
// at a cold target. kept reports whether tx is still open. A refusal means that nothing was sent.
func (g *group) runStatement(ctx context.Context, req *request.Request, tx *transaction, slot *slotWaiter, counted bool) (o exchangeResult, kept bool, refusal *request.Refusal) {
	m := tx.member
	if refusal := g.awaitSlot(ctx, m, slot); refusal != nil {
		g.endUnsentStatement(tx)
		return o, true, refusal
	}
	if ctx.Err() != nil {
		g.freeSlot(m, slot, schedule.TransactionUnchanged)
		g.endUnsentStatement(tx)
		return o, true, request.Refuse(request.CodeTimeout, "exchange", m.name, "time ran out before anything was sent")
	}
	refusal = g.refuseEvacuated(tx)
	if refusal == nil && counted {
		refusal = g.refuseLateCold(tx)
	}
	if refusal != nil {
		g.freeSlot(m, slot, schedule.TransactionUnchanged)
		g.endUnsentStatement(tx)
		return o, true, refusal
	}
	o = g.exchange(ctx, tx.conn, req, 0, tx.replica)
	g.recordErrorAnswer(m.name, req, &o)
	return o, g.endStatement(tx, slot, &o), nil
}

// beginStatement marks tx as busy and requests a slot. It refuses if tx has ended or if a
// statement of the session is still running.
func (g *group) beginStatement(tx *transaction, slot *slotWaiter) *request.Refusal {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.transactions[tx.session] != tx || tx.aborting {
		return request.Refuse(request.CodeTransactionLost, "transaction", tx.member.name, "the transaction has ended")
	}
	if tx.busy {
		return request.Refuse(request.CodeProtocol, "transaction", g.options.Self, "a statement of this session still runs")
	}
	tx.member.deliver(now, tx.member.schedule.Submit(now, &slot.item))
	tx.busy = true
	return nil
}

// endUnsentStatement marks tx as idle after a statement that was not sent.
func (g *group) endUnsentStatement(tx *transaction) {
	g.mu.Lock()
	tx.busy = false
	tx.lastUsed = g.now()
	ended := tx.aborting
	g.mu.Unlock()
	if ended {
		g.abort(tx)
	}
}

// endStatement frees the slot after a statement. If the transaction has ended, it also
// returns the connection. It reports whether the transaction is still open.
func (g *group) endStatement(tx *transaction, slot *slotWaiter, o *exchangeResult) bool {
	over := o.connectionFailed() || o.reply.TxStatus == 'I'
	if over {
		if tx.tainted {
			o.cancelled = true
		}
		tx.connReturned = true
		g.returnConn(tx.member, tx.conn, o)
	}
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	tx.member.recordExchange(o.connectionFailed(), o.reply.Position)
	tx.member.recordWarm(o)
	tx.lastUsed = now
	tx.tainted = tx.tainted || o.cancelled
	change := schedule.TransactionUnchanged
	if over && !tx.closed {
		tx.closed = true
		change = schedule.TransactionClosed
	}
	tx.member.deliver(now, tx.member.schedule.Done(now, &slot.item, change))
	tx.busy = false
	if over {
		g.forget(tx)
	}
	if !over && tx.aborting {
		g.abortLocked(tx)
	}
	return !over
}

// evaluateInTransaction turns the result of a statement in a transaction into a response or a
// refusal.
func (g *group) evaluateInTransaction(ctx context.Context, req *request.Request, tx *transaction, o *exchangeResult) (*request.Response, *request.Refusal) {
	peer := tx.member.name
	if o.err != nil {
		g.manager.counts.transactionsLost.Add(1)
		if !o.sent {
			return nil, request.Refuse(request.CodeTransactionLost, "exchange", peer, "the statement was not sent; rolled back").WithCause(o.err)
		}
		return nil, request.Refuse(request.CodeOutcomeUnknown, "exchange", peer, "no answer").WithCause(o.err)
	}
	claim, needed := claimOf(req, peer, tx.term, o)
	if tx.replica || !needed {
		return newResponse(req, tx.member, tx.replica, o), nil
	}
	if g.confirm(ctx, claim) == evidence.Confirmed {
		return newResponse(req, tx.member, false, o), nil
	}
	if o.reply.TxStatus != 'I' {
		g.manager.counts.transactionsLost.Add(1)
		return nil, request.Refuse(request.CodeTransactionLost, "acknowledge", peer, "the transaction's primary is not confirmed; rolled back")
	}
	return nil, request.Refuse(request.CodeOutcomeUnknown, "acknowledge", peer, "the commit was not confirmed")
}

// endSession rolls back the session's open transaction, if any.
func (g *group) endSession(session string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if tx := g.transactions[session]; tx != nil {
		g.abortLocked(tx)
	}
}

// abort rolls tx back, at once or after its current statement.
func (g *group) abort(tx *transaction) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.abortLocked(tx)
}

func (g *group) abortLocked(tx *transaction) {
	if g.transactions[tx.session] != tx {
		return
	}
	tx.aborting = true
	if tx.busy {
		return
	}
	tx.busy = true
	go g.rollback(tx)
}

// rollback rolls tx back on its target and returns its connection, or closes the connection
// if that takes longer than rollbackTimeout or panics, or if nothing more is to be sent to the target.
func (g *group) rollback(tx *transaction) {
	g.manager.counts.transactionsLost.Add(1)
	req := &request.Request{Customer: tx.customer, Weight: tx.weight, Kind: request.KindRollback}
	slot := g.newSlotWaiter(req, schedule.EndTransaction, g.now().Add(rollbackTimeout))
	if tx.member.isEvacuated.Load() {
		g.abandonTransaction(tx, slot)
		return
	}
	if contain.Step(g.options.Logger, "rollback", func() { g.runRollback(req, tx, slot) }) {
		g.abandonTransaction(tx, slot)
	}
}

func (g *group) runRollback(req *request.Request, tx *transaction, slot *slotWaiter) {
	ctx, cancel := context.WithTimeout(context.Background(), rollbackTimeout)
	defer cancel()
	req.Messages = g.options.Dialer.Commands().Rollback
	g.submitStatement(tx, slot)
	if g.awaitSlot(ctx, tx.member, slot) != nil {
		g.abandonTransaction(tx, slot)
		return
	}
	admitted, counted := g.tryAdmitCold(tx.member, tx.conn, false)
	if !admitted {
		g.abandonTransaction(tx, slot)
		return
	}
	o := g.exchange(ctx, tx.conn, req, 0, tx.replica)
	g.endColdStatement(tx, counted)
	g.recordErrorAnswer(tx.member.name, req, &o)
	if o.err == nil && o.reply.TxStatus != 'I' {
		o.err = Error.New("rollback left the transaction open")
	}
	g.endStatement(tx, slot, &o)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.signalIdle()
}

// submitStatement requests slot for a statement of tx.
func (g *group) submitStatement(tx *transaction, slot *slotWaiter) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	tx.member.deliver(now, tx.member.schedule.Submit(now, &slot.item))
}

// abandonTransaction ends tx without an answer to its current statement, wherever that was left: it
// closes tx's connection, which rolls tx back, and gives up slot, which the statement waits for or holds.
func (g *group) abandonTransaction(tx *transaction, slot *slotWaiter) {
	if !tx.connReturned {
		tx.connReturned = true
		tx.member.pool.Discard(tx.conn, false)
	}
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	scheduler := tx.member.schedule
	if !scheduler.Cancel(&slot.item) {
		tx.member.deliver(now, scheduler.Done(now, &slot.item, schedule.TransactionUnchanged))
	}
	if !tx.closed {
		tx.closed = true
		tx.member.deliver(now, scheduler.CloseTransaction(now))
	}
	g.forget(tx)
	g.signalIdle()
}

// forget records that tx has ended. g.mu is held.
func (g *group) forget(tx *transaction) {
	if g.transactions[tx.session] != tx {
		return
	}
	delete(g.transactions, tx.session)
	close(tx.ended)
}

// expiredTransactions returns the transactions that have been idle for longer than
// Times.TransactionIdleTimeout, open for longer than Times.TransactionTotal, or at an evacuated target for too
// long. g.mu is held.
func (g *group) expiredTransactions(now time.Time) []*transaction {
	var expired []*transaction
	for _, tx := range g.transactions {
		idle := !tx.busy && now.Sub(tx.lastUsed) > g.options.Times.TransactionIdleTimeout
		old := now.Sub(tx.opened) > g.options.Times.TransactionTotal
		if idle || old || g.endsByEvacuation(now, tx) {
			expired = append(expired, tx)
		}
	}
	return expired
}
