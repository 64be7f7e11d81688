package owner

import (
	"context"
	"time"

	"crocusyoke/internal/owner/choose"
	"crocusyoke/internal/owner/evidence"
	"crocusyoke/internal/owner/pool"
	"crocusyoke/internal/owner/schedule"
	"crocusyoke/internal/request"
	"crocusyoke/internal/target"
)

// maxAttempts bounds how often a request is placed, that is, a target is chosen for it and a slot
// requested there. Only reads and requests that provably did not run are placed again.
const maxAttempts = 4

// recheckAfter is how long a request may wait for a slot and a connection before its
// placement is checked again.
const recheckAfter = 100 * time.Millisecond

// serve serves one request, in its session's open transaction if there is one.
func (g *group) serve(ctx context.Context, req *request.Request) (*request.Response, *request.Refusal) {
	ctx, cancel := g.withDeadline(ctx, req)
	defer cancel()
	tx, refusal := g.beginServing(req)
	if refusal != nil {
		return nil, refusal
	}
	defer g.endRequest()
	switch {
	case !isInTransaction(req.Kind):
		if refusal := g.endFormerTransaction(ctx, tx); refusal != nil {
			return nil, refusal
		}
		return g.serveNew(ctx, req)
	case tx == nil:
		return nil, request.Refuse(request.CodeTransactionLost, "transaction", g.options.Self, "the session has no open transaction here")
	default:
		return g.serveInTransaction(ctx, req, tx)
	}
}

// beginServing counts req as under way, and returns its session's open transaction, if there is one.
func (g *group) beginServing(req *request.Request) (*transaction, *request.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if refusal := g.beginRequest(req); refusal != nil {
		return nil, refusal
	}
	return g.transactions[req.ID.Session], nil
}

// isInTransaction reports whether a request of kind belongs to the session's open transaction.
func isInTransaction(kind request.Kind) bool {
	return kind == request.KindInTransaction || kind == request.KindCommit || kind == request.KindRollback
}

// endFormerTransaction rolls back tx, which may be nil, and waits until it has ended: the session has
// sent a request that belongs to no transaction, so it has given tx up.
func (g *group) endFormerTransaction(ctx context.Context, tx *transaction) *request.Refusal {
	if tx == nil {
		return nil
	}
	g.abort(tx)
	select {
	case <-tx.ended:
		return nil
	case <-ctx.Done():
		return request.Refuse(request.CodeTimeout, "transaction", tx.member.name, "the session's former transaction has not ended in time")
	}
}

// withDeadline returns a context that ends at the request's deadline, or after DefaultTimeout
// if the request has none.
func (g *group) withDeadline(ctx context.Context, req *request.Request) (context.Context, context.CancelFunc) {
	deadline := req.Deadline
	if deadline.IsZero() {
		deadline = g.now().Add(DefaultTimeout)
	}
	if own, ok := ctx.Deadline(); ok && !deadline.Before(own) {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, deadline)
}

// execution is the state of one request outside an open transaction, over all its attempts.
// The fields from member on belong to the current attempt.
type execution struct {
	req *request.Request
	// startedAt is when the request arrived.
	startedAt time.Time
	// primaryOnly is set once a replica has turned out to be unable to serve the request.
	primaryOnly bool
	// answerLost is set once an attempt of a read got no answer, mayHaveRun once an attempt
	// may have run at a target.
	answerLost bool
	mayHaveRun bool

	member   *member
	replica  bool
	term     uint64
	placedAt time.Time
	// waitsForSlot is true if the request got no slot at once. alternatives are other targets that could serve it
	// meanwhile.
	waitsForSlot bool
	alternatives []alternative
	// offered is signalled when one of them has a free slot, and offeredAt is when it was last.
	offered   chan struct{}
	offeredAt time.Time
	// coldAt is the cold target at which the request is counted, coldWaitsAt the one at which it waits for room.
	coldAt, coldWaitsAt *member

	criteria choose.Criteria
	slot     *slotWaiter
	// inUse ends when member is evacuated.
	inUse context.Context
}

// serveNew runs a request outside a transaction, in up to maxAttempts attempts.
func (g *group) serveNew(ctx context.Context, req *request.Request) (*request.Response, *request.Refusal) {
	r := &execution{req: req, startedAt: g.now()}
	var refusal *request.Refusal
	for previous := range maxAttempts {
		var response *request.Response
		response, refusal = g.attempt(ctx, r)
		if response != nil {
			response.Times.Exchanges = previous + 1
			return response, nil
		}
		retry := r.takeRetryMark(refusal)
		refusal = refusal.WithPriorAttempts(r.mayHaveRun)
		r.mayHaveRun = r.mayHaveRun || refusal.Code.Fate == request.Unknown
		if !retry || ctx.Err() != nil {
			return nil, refusal
		}
		g.manager.counts.readsRerun.Add(1)
	}
	return nil, refusal
}

// errRetryable marks a refusal after which serveNew may place the request again. It is set as
// the refusal's cause and removed by takeRetryMark.
type errRetryable struct{}

func (errRetryable) Error() string { return "request may be retried" }

// markRetryable marks refusal so that serveNew places the request again.
func markRetryable(refusal *request.Refusal) *request.Refusal {
	return refusal.WithCause(errRetryable{})
}

func (r *execution) takeRetryMark(refusal *request.Refusal) bool {
	if _, marked := refusal.Cause.(errRetryable); marked {
		refusal.Cause = nil
		return true
	}
	return false
}

// attempt places the request, waits for a slot and a connection, and runs it once.
func (g *group) attempt(ctx context.Context, r *execution) (*request.Response, *request.Refusal) {
	if refusal := g.place(ctx, r); refusal != nil {
		return nil, refusal
	}
	defer g.endCold(r, false)
	refusal := g.awaitNewSlot(ctx, r)
	g.endSlotWait(r)
	if refusal != nil {
		return nil, refusal
	}
	conn, refusal := g.connect(ctx, r)
	if refusal != nil {
		return nil, refusal
	}
	if g.needsRecheck(r) && !g.isPlacementValid(r) {
		r.member.pool.Put(conn)
		g.freeSlot(r.member, r.slot, schedule.TransactionUnchanged)
		return nil, markRetryable(g.refuseNoPrimary())
	}
	if ctx.Err() != nil {
		r.member.pool.Put(conn)
		g.freeSlot(r.member, r.slot, schedule.TransactionUnchanged)
		return nil, request.Refuse(request.CodeTimeout, "exchange", r.member.name, "time ran out before anything was sent")
	}
	if refusal := g.admitCold(ctx, r, conn); refusal != nil {
		r.member.pool.Put(conn)
		g.freeSlot(r.member, r.slot, schedule.TransactionUnchanged)
		return nil, refusal
	}
	o := g.runAttempt(ctx, r, conn)
	tx := g.finishExchange(ctx, r, conn, &o)
	g.recycle(r.slot)
	return g.evaluate(ctx, r, tx, &o)
}

// runAttempt runs r's request on conn. If it panics, the connection is closed and the slot is free.
func (g *group) runAttempt(ctx context.Context, r *execution, conn *pool.Conn) exchangeResult {
	finished := false
	defer func() {
		if !finished {
			r.member.pool.Discard(conn, false)
			g.freeSlot(r.member, r.slot, schedule.TransactionUnchanged)
		}
	}()
	defer g.endCold(r, true)
	o := g.exchange(ctx, conn, r.req, r.attemptTimeout(ctx, g.now()), r.replica)
	g.recordErrorAnswer(r.member.name, r.req, &o)
	finished = true
	return o
}

// maxReadAttempt bounds how long a read waits on a connection that may be silent before the
// read is run again on another connection.
const maxReadAttempt = 2 * time.Second

// attemptTimeout returns the timeout of the current attempt, 0 for none. Until an answer has
// been lost, a read gets half of the time left, at most maxReadAttempt, so that there is time
// to run it again. Any other request may take until its deadline.
func (r *execution) attemptTimeout(ctx context.Context, now time.Time) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok || r.answerLost || r.req.Kind != request.KindRead {
		return 0
	}
	return min(maxReadAttempt, max(time.Millisecond, deadline.Sub(now)/2))
}

// finishExchange frees the slot and returns the connection. If the exchange left a transaction
// open, it pins the connection to the session instead and returns the transaction.
func (g *group) finishExchange(ctx context.Context, r *execution, conn *pool.Conn, o *exchangeResult) *transaction {
	pinned := o.err == nil && o.reply.TxStatus != 'I'
	if !pinned {
		g.returnConn(r.member, conn, o)
	}
	failed := o.connectionFailed() && o.refusal() == nil && ctx.Err() != context.Canceled
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	r.member.recordExchange(failed, o.reply.Position)
	r.member.recordWarm(o)
	if !pinned {
		r.member.deliver(now, r.member.schedule.Done(now, &r.slot.item, schedule.TransactionUnchanged))
		return nil
	}
	tx := &transaction{
		session:  r.req.ID.Session,
		customer: r.req.Customer,
		weight:   r.req.Weight,
		member:   r.member,
		conn:     conn,
		replica:  r.replica,
		term:     r.term,
		ended:    make(chan struct{}),
		opened:   now,
		lastUsed: now,
		tainted:  o.cancelled,
	}
	g.transactions[tx.session] = tx
	r.member.deliver(now, r.member.schedule.Done(now, &r.slot.item, schedule.TransactionOpened))
	return tx
}

// evaluate turns the result of an exchange into a response or a refusal. tx is the transaction
// that the exchange left open, or nil; a refusal rolls it back.
func (g *group) evaluate(ctx context.Context, r *execution, tx *transaction, o *exchangeResult) (*request.Response, *request.Refusal) {
	if o.err != nil {
		return nil, g.refuseFailed(ctx, r, o)
	}
	response, refusal := g.accept(ctx, r, o)
	if refusal != nil && tx != nil {
		g.abort(tx)
	}
	return response, refusal
}

// refuseFailed returns the refusal for an exchange without an answer. It is retryable if
// nothing was sent, and once for a read.
func (g *group) refuseFailed(ctx context.Context, r *execution, o *exchangeResult) *request.Refusal {
	peer := r.member.name
	if refusal := o.refusal(); refusal != nil {
		return refusal
	}
	if refused := o.setUpRefused(); refused != nil && !refused.Retryable {
		return request.Refuse(request.CodeProtocol, "set up", peer, "nothing was sent").WithCause(o.err)
	}
	if !o.sent {
		if ctx.Err() != nil {
			return request.Refuse(request.CodeTimeout, "exchange", peer, "time ran out before anything was sent").WithCause(o.err)
		}
		return markRetryable(request.Refuse(request.CodeNoTarget, "exchange", peer, "nothing was sent: %v", o.err))
	}
	if r.req.Kind == request.KindRead && !r.answerLost && ctx.Err() == nil {
		r.answerLost = true
		return markRetryable(request.Refuse(request.CodeOutcomeUnknown, "exchange", peer, "no answer: %v", o.err))
	}
	return request.Refuse(request.CodeOutcomeUnknown, "exchange", peer, "no answer").WithCause(o.err)
}

// accept returns the response for an answer, or a refusal if the answer can't be passed on. An
// answer of a primary waits for its confirmation where claimOf requires one.
func (g *group) accept(ctx context.Context, r *execution, o *exchangeResult) (*request.Response, *request.Refusal) {
	if o.reply.Outcome == target.ReadOnly && (r.replica || choose.NeedsPrimary(r.req.Kind)) {
		r.primaryOnly = true
		refusal := request.Refuse(request.CodeReplicaWrite, "exchange", r.member.name, "target is read-only")
		if r.replica {
			refusal = markRetryable(refusal)
		}
		return nil, refusal
	}
	if r.replica {
		return g.acceptReplica(r, o)
	}
	claim, needed := claimOf(r.req, r.member.name, r.term, o)
	if !needed {
		return newResponse(r.req, r.member, false, o), nil
	}
	switch g.confirm(ctx, claim) {
	case evidence.Confirmed:
		return newResponse(r.req, r.member, false, o), nil
	case evidence.Replaced:
		return nil, g.refuseUnconfirmed(r, "the primary was replaced")
	default:
		return nil, g.refuseUnconfirmed(r, "no majority confirmed the answer in time")
	}
}

// refuseUnconfirmed returns the refusal for an answer that was not confirmed. It is retryable
// for reads.
func (g *group) refuseUnconfirmed(r *execution, why string) *request.Refusal {
	refusal := request.Refuse(request.CodeOutcomeUnknown, "acknowledge", r.member.name, "%s", why)
	if r.req.Kind == request.KindRead {
		return markRetryable(refusal)
	}
	return refusal
}

// acceptReplica returns the response for a replica's answer, or a retryable refusal if the
// answer is older than the request accepts.
func (g *group) acceptReplica(r *execution, o *exchangeResult) (*request.Response, *request.Refusal) {
	age, known := g.ageOf(o)
	if choose.Accepts(&r.criteria, o.reply.Position, age, known) {
		return newResponse(r.req, r.member, true, o), nil
	}
	r.primaryOnly = true
	return nil, markRetryable(request.Refuse(request.CodeOutcomeUnknown, "acknowledge", r.member.name, "the replica's answer is too old"))
}

// ageOf returns the age of the data that an answer reflects.
func (g *group) ageOf(o *exchangeResult) (age time.Duration, known bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.evidence.Age(o.answeredAt, o.reply.Position)
}
