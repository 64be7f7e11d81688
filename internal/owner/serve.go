package owner

import (
	"context"
	"time"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/logpos"
	"crocusyoke/internal/owner/choose"
	"crocusyoke/internal/owner/evidence"
	"crocusyoke/internal/owner/pool"
	"crocusyoke/internal/owner/schedule"
	"crocusyoke/internal/request"
	"crocusyoke/internal/target"
)

// maxAttempts bounds how often a request is placed. Only what provably did not run, and
// reads, are placed again.
const maxAttempts = 4

// recheckAfter is how long a request may have waited until its place is judged again.
const recheckAfter = 100 * time.Millisecond

// serve serves one request.
func (g *group) serve(ctx context.Context, req *request.Request) (*request.Response, *request.Refusal) {
	ctx, cancel := g.withDeadline(ctx, req)
	defer cancel()
	g.mu.Lock()
	refusal := g.beginRequest(req)
	tx := g.transactions[req.ID.Session]
	g.mu.Unlock()
	if refusal != nil {
		return nil, refusal
	}
	defer g.endRequest()
	if tx != nil {
		return g.serveInTransaction(ctx, req, tx)
	}
	switch req.Kind {
	case request.KindInTransaction, request.KindCommit, request.KindRollback:
		return nil, request.Refuse(request.CodeTransactionLost, "transaction", g.options.Self, "the session has no open transaction here")
	default:
		return g.serveNew(ctx, req)
	}
}

// withDeadline ends ctx at the request's deadline.
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

// execution is the way of one request that opens no earlier transaction's statement.
type execution struct {
	req *request.Request
	// startedAt is when the request arrived.
	startedAt time.Time
	// primaryOnly is set once a replica's answer would not do.
	primaryOnly bool
	// answerLost is set once a read got no answer, ran once a try may have run.
	answerLost bool
	mayHaveRun bool

	member   *member
	replica  bool
	term     uint64
	placedAt time.Time
	question choose.Question
	slot     *slotWaiter
}

// serveNew places a request outside a transaction and runs it.
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
		refusal = refusal.Knowing(r.mayHaveRun)
		r.mayHaveRun = r.mayHaveRun || refusal.Code.Fate == request.Unknown
		if !retry || ctx.Err() != nil {
			return nil, refusal
		}
		g.manager.counts.readsRerun.Add(1)
	}
	return nil, refusal
}

// errRetryable marks a refusal after which the request may be placed again.
type errRetryable struct{}

func (errRetryable) Error() string { return "may be run again" }

// markRetryable marks refusal so that serveNew places the request once more.
func markRetryable(refusal *request.Refusal) *request.Refusal { return refusal.Because(errRetryable{}) }

func (r *execution) takeRetryMark(refusal *request.Refusal) bool {
	if _, marked := refusal.Cause.(errRetryable); marked {
		refusal.Cause = nil
		return true
	}
	return false
}

// attempt places the request, waits for a slot and a connection, and runs it.
func (g *group) attempt(ctx context.Context, r *execution) (*request.Response, *request.Refusal) {
	if refusal := g.place(ctx, r); refusal != nil {
		return nil, refusal
	}
	if refusal := g.awaitSlot(ctx, r.member, r.slot); refusal != nil {
		return nil, refusal
	}
	conn, err := r.member.connection(ctx, r.req.Customer)
	if err != nil {
		g.freeSlot(r.member, r.slot, schedule.Unchanged)
		return nil, g.refuseNoConnection(ctx, r, err)
	}
	if g.now().Sub(r.placedAt) > recheckAfter && !g.isPlacementValid(r) {
		r.member.pool.Put(conn)
		g.freeSlot(r.member, r.slot, schedule.Unchanged)
		return nil, markRetryable(g.refuseNoPrimary())
	}
	if ctx.Err() != nil {
		r.member.pool.Put(conn)
		g.freeSlot(r.member, r.slot, schedule.Unchanged)
		return nil, request.Refuse(request.CodeTimeout, "exchange", r.member.target.Name, "time ran out before anything was sent")
	}
	o := g.exchange(ctx, conn, r.req, r.attemptTimeout(ctx, g.now()), r.replica)
	tx := g.finishExchange(ctx, r, conn, &o)
	g.recycle(r.slot)
	return g.evaluate(ctx, r, tx, &o)
}

// maxReadAttempt is the longest that a read waits on a connection that may be silent.
const maxReadAttempt = 2 * time.Second

// attemptTimeout is how long a read may take until it is taken as lost and run again: half of
// the time left, once. Nothing else is bounded before the deadline.
func (r *execution) attemptTimeout(ctx context.Context, now time.Time) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok || r.answerLost || r.req.Kind != request.KindRead {
		return 0
	}
	return min(maxReadAttempt, max(time.Millisecond, deadline.Sub(now)/2))
}

// refuseNoConnection counts against the target, so that the request is placed elsewhere if it
// can be: nothing was sent.
func (g *group) refuseNoConnection(ctx context.Context, r *execution, err error) *request.Refusal {
	if ctx.Err() != nil {
		return request.Refuse(request.CodeTimeout, "connect", r.member.target.Name, "no connection in time").Because(err)
	}
	g.mu.Lock()
	r.member.recordExchange(true, logpos.Position{})
	g.mu.Unlock()
	return markRetryable(request.Refuse(request.CodeNoTarget, "connect", r.member.target.Name, "no connection: %v", err))
}

// finishExchange gives back the slot and the connection, or pins them to the session when the
// exchange left a transaction open.
func (g *group) finishExchange(ctx context.Context, r *execution, conn *pool.Conn, o *exchangeResult) *transaction {
	pinned := o.err == nil && o.reply.TxStatus != 'I'
	if !pinned {
		g.returnConn(r.member, conn, o)
	}
	failed := o.err != nil && o.refusal() == nil && ctx.Err() != context.Canceled
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	r.member.recordExchange(failed, o.reply.Position)
	if !pinned {
		deliver(r.member.schedule.Done(now, &r.slot.item, schedule.Unchanged))
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
		opened:   now,
		lastUsed: now,
		tainted:  o.cancelled,
	}
	g.transactions[tx.session] = tx
	deliver(r.member.schedule.Done(now, &r.slot.item, schedule.Opened))
	return tx
}

// evaluate decides what becomes of the outcome. tx is the transaction that it left open.
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

// refuseFailed returns the refusal for an exchange that brought no answer.
func (g *group) refuseFailed(ctx context.Context, r *execution, o *exchangeResult) *request.Refusal {
	peer := r.member.target.Name
	if refusal := o.refusal(); refusal != nil {
		return refusal
	}
	if !o.sent {
		if ctx.Err() != nil {
			return request.Refuse(request.CodeTimeout, "exchange", peer, "time ran out before anything was sent").Because(o.err)
		}
		return markRetryable(request.Refuse(request.CodeNoTarget, "exchange", peer, "nothing was sent: %v", o.err))
	}
	if r.req.Kind == request.KindRead && !r.answerLost && ctx.Err() == nil {
		r.answerLost = true
		return markRetryable(request.Refuse(request.CodeOutcomeUnknown, "exchange", peer, "no answer: %v", o.err))
	}
	return request.Refuse(request.CodeOutcomeUnknown, "exchange", peer, "no answer").Because(o.err)
}

// accept passes the answer on if it may be.
func (g *group) accept(ctx context.Context, r *execution, o *exchangeResult) (*request.Response, *request.Refusal) {
	if o.reply.Outcome == target.ReadOnly && (r.replica || choose.Write(r.req.Kind)) {
		r.primaryOnly = true
		refusal := request.Refuse(request.CodeReplicaWrite, "exchange", r.member.target.Name, "target is read-only")
		if r.replica {
			refusal = markRetryable(refusal)
		}
		return nil, refusal
	}
	if r.replica {
		return g.acceptReplica(r, o)
	}
	claim, needed := claimOf(r.req, r.member.target.Name, r.term, o)
	if !needed {
		return newResponse(r.req, r.member, false, o), nil
	}
	switch g.confirm(ctx, claim) {
	case evidence.Confirmed:
		return newResponse(r.req, r.member, false, o), nil
	case evidence.Replaced:
		return nil, g.refuseUnconfirmed(r, "the primary was replaced")
	default:
		return nil, g.refuseUnconfirmed(r, "no majority confirmed it in time")
	}
}

// refuseUnconfirmed returns the refusal for an answer that must not be passed on.
func (g *group) refuseUnconfirmed(r *execution, why string) *request.Refusal {
	refusal := request.Refuse(request.CodeOutcomeUnknown, "acknowledge", r.member.target.Name, "%s", why)
	if r.req.Kind == request.KindRead {
		return markRetryable(refusal)
	}
	return refusal
}

// acceptReplica checks that a replica's answer is as new as it has to be.
func (g *group) acceptReplica(r *execution, o *exchangeResult) (*request.Response, *request.Refusal) {
	g.mu.Lock()
	age, known := g.evidence.Age(o.answeredAt, o.reply.Position)
	g.mu.Unlock()
	if choose.Accepts(&r.question, o.reply.Position, age, known) {
		return newResponse(r.req, r.member, true, o), nil
	}
	r.primaryOnly = true
	return nil, markRetryable(request.Refuse(request.CodeOutcomeUnknown, "acknowledge", r.member.target.Name, "the replica's answer is too old"))
}

// claimOf returns what must be confirmed before an answer of the primary is passed on.
func claimOf(req *request.Request, primary string, term uint64, o *exchangeResult) (evidence.Claim, bool) {
	claim := evidence.Claim{Primary: primary, Term: term, Position: o.reply.Position, Since: o.answeredAt}
	switch req.Kind {
	case request.KindWrite, request.KindCommit:
		claim.Majority = req.Profile.Confirm != fleet.ConfirmTerm
		return claim, o.reply.Outcome == target.Done
	case request.KindInTransaction:
		if o.reply.TxStatus == 'I' && o.reply.Outcome == target.Done {
			claim.Majority = req.Profile.Confirm != fleet.ConfirmTerm
			return claim, true
		}
	case request.KindRollback, request.KindBegin:
		return claim, false
	case request.KindRead:
		claim.Since = o.sentAt
		return claim, !coversToken(req, o) || req.Profile.Reads == fleet.ReadsPrimary
	}
	claim.Since = o.sentAt
	return claim, !coversToken(req, o)
}

// coversToken reports whether the answer is known to reflect all that the session has seen.
func coversToken(req *request.Request, o *exchangeResult) bool {
	return req.TokenKnown && !o.reply.Position.IsZero() && o.reply.Position.Covers(req.Token)
}

func newResponse(req *request.Request, m *member, replica bool, o *exchangeResult) *request.Response {
	return &request.Response{
		ID:       req.ID,
		Messages: o.reply.Messages,
		TxStatus: o.reply.TxStatus,
		Position: o.reply.Position,
		Replica:  replica,
		Target:   m.target.Name,
		Repeated: o.repeated,
		Times:    request.Times{AtTarget: o.answeredAt.Sub(o.sentAt), Exchanges: 1},
	}
}
