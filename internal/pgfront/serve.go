package pgfront

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/request"
	"crocusyoke/internal/statement"
)

// Messages that the proxy itself sends to targets.
var (
	rollbackMessage = mustEncode(&pgproto3.Query{String: "ROLLBACK"})
	syncMessage     = mustEncode(&pgproto3.Sync{})
)

func mustEncode(message pgproto3.FrontendMessage) []byte {
	out, err := message.Encode(nil)
	if err != nil {
		panic(err)
	}
	return out
}

// stateInFailedTransaction is PostgreSQL's SQLSTATE in_failed_sql_transaction.
const stateInFailedTransaction = "25P02"

// serveExchange serves one exchange. It reports false if the connection is to be closed. A
// batch that ended with a Flush is forwarded with a Sync, and the caller does not see the
// ReadyForQuery that answers it.
func (c *conn) serveExchange(e *exchange) bool {
	c.server.Exchanges.Add(1)
	if c.ignoreTillSync && e.last != typeSync {
		return true
	}
	if c.ignoreTillSync {
		c.ignoreTillSync = false
		return c.send(appendReadyForQuery(c.out[:0], c.txStatus))
	}
	c.flushing = e.last == typeFlush
	if c.flushing {
		e.messages = append(e.messages, syncMessage...)
	}
	if e.unsupported != "" {
		return c.answerError(request.Refuse(request.CodeUnsupported, step, "", "not supported: %s", e.unsupported))
	}
	plan, err := c.statements.Plan(e.messages)
	if err != nil {
		return c.answerError(err)
	}
	if answer, ok, err := c.buildLocalAnswer(plan); err != nil {
		return c.answerError(err)
	} else if ok {
		return c.sendLocalAnswer(plan, e.messages, answer)
	}
	if c.txLost {
		out := appendError(c.out[:0], severityError, stateInFailedTransaction,
			"the transaction has failed, statements are ignored until it ends", request.NotRun.String())
		return c.send(appendReadyForQuery(out, c.txStatus))
	}
	return c.forward(plan, e.messages)
}

// sendLocalAnswer sends an answer that no target gave and applies what plan changes in the
// session's prepared statements.
func (c *conn) sendLocalAnswer(plan *statement.Plan, messages []byte, answer localAnswer) bool {
	c.server.Local.Add(1)
	c.statements.ApplyAll(plan)
	out := c.tokenStatus(c.out[:0])
	return c.send(answer.appendAnswer(out, messages, c.txStatus))
}

// forward sends an exchange through the filter chain and writes the answer. A rollback that
// fails is answered as done, since the transaction is then lost.
func (c *conn) forward(plan *statement.Plan, messages []byte) bool {
	kind := plan.Kind(c.txStatus)
	c.unchargedPreparation = !plan.Executes && !c.unchargedPreparation
	if plan.SplitOffset > 0 {
		return c.forwardSplit(plan, kind)
	}
	resp, err := c.doRequest(kind, plan.Messages)
	if err != nil && kind == request.KindRollback {
		c.setIdle()
		return c.sendLocalAnswer(plan, messages, localAnswer{tag: "ROLLBACK"})
	}
	if err != nil {
		return c.answerRequestError(kind, err)
	}
	c.txStatus = resp.TxStatus
	return c.reply(c.statements.Apply(plan, resp.Messages))
}

// forwardSplit forwards an exchange that opens a transaction and then runs more statements in
// it. It sends two requests: one that opens the transaction, and one with the other statements.
// The caller receives one answer, which joins the answers to both.
func (c *conn) forwardSplit(plan *statement.Plan, kind request.Kind) bool {
	opened, err := c.doRequest(kind, plan.Messages[:plan.SplitOffset])
	if err != nil {
		return c.answerRequestError(kind, err)
	}
	c.txStatus = opened.TxStatus
	if c.txStatus != txOpen {
		return c.reply(c.statements.Apply(plan, opened.Messages))
	}
	answer := slices.Clone(opened.Messages[:len(opened.Messages)-readyForQueryLength])
	resp, err := c.doRequest(request.KindInTransaction, plan.Messages[plan.SplitOffset:])
	if err != nil {
		c.firstPartAnswer = c.statements.Apply(plan, answer)
		return c.answerError(err)
	}
	c.txStatus = resp.TxStatus
	return c.reply(c.statements.Apply(plan, append(answer, resp.Messages...)))
}

// doRequest sends messages through the filter chain as a request of the given kind.
func (c *conn) doRequest(kind request.Kind, messages []byte) (*request.Response, error) {
	if err := c.fillRequest(kind, messages); err != nil {
		return nil, err
	}
	resp, err := c.callChain()
	if err == nil && c.txStatus == txIdle {
		c.txGroup = c.request.Group
	}
	return resp, err
}

// reply writes a target's answer. If the session token has changed, that is written first.
func (c *conn) reply(answer []byte) bool {
	out := c.tokenStatus(c.out[:0])
	if len(out) > 0 && len(answer) <= maxKeptBuffer {
		return c.send(append(out, answer...))
	}
	if len(out) > 0 && !c.write(out) {
		return false
	}
	return c.write(c.finishFlush(answer))
}

// finishFlush removes the ReadyForQuery from the answer to an exchange that ended with a
// Flush; other answers it returns unchanged. If the answer contains an error, what the caller
// sends is ignored until its Sync.
func (c *conn) finishFlush(answer []byte) []byte {
	if !c.flushing {
		return answer
	}
	c.flushing = false
	c.ignoreTillSync = hasError(answer)
	return answer[:len(answer)-readyForQueryLength]
}

// tokenStatus appends a ParameterStatus with the session token if that has changed. Within a
// transaction it appends nothing; a changed token is sent when the transaction has ended.
func (c *conn) tokenStatus(out []byte) []byte {
	if c.txStatus != txIdle {
		return out
	}
	token, changed := c.options.Session.TakeChangedToken(c.session)
	if !changed {
		return out
	}
	return appendParameterStatus(out, varSession, token)
}

// fillRequest sets c.request from the messages of an exchange, the session and the
// configuration in force. An idempotency key is used for one request only.
func (c *conn) fillRequest(kind request.Kind, messages []byte) error {
	cfg := c.options.Config.Current()
	if cfg == nil {
		return request.Refuse(request.CodeStaleConfig, step, "", "no configuration yet")
	}
	service := cfg.Service(c.service)
	if service == nil {
		return request.Refuse(request.CodeUnknownService, step, "", "service %q is not known", c.service)
	}
	profile, err := c.profile(cfg, service)
	if err != nil {
		return err
	}
	group := service.Group
	if c.txStatus != txIdle {
		group = c.txGroup
	}
	c.sequence++
	c.request = request.Request{
		ID:            request.ID{Session: c.session, Sequence: c.sequence},
		Customer:      c.identity.Customer,
		Service:       c.service,
		Group:         group,
		Kind:          kind,
		Profile:       profile,
		Weight:        1,
		Deadline:      c.options.Clock.Now().Add(c.timeout(profile)),
		Messages:      messages,
		ConfigVersion: cfg.Version,
		PrepareOnly:   c.unchargedPreparation,
	}
	customer := cfg.Customer(c.identity.Customer)
	if customer != nil {
		c.request.Weight = max(customer.Weight, 1)
	}
	if c.options.Priorities {
		c.request.Priority = request.PriorityOf(&profile, customer)
	}
	if kind == request.KindWrite || kind == request.KindBegin {
		c.request.IdempotencyKey = c.variables.requestID
		c.variables.requestID = ""
	}
	return nil
}

// profile returns the profile for the next request: the caller's choice or else the
// service's, with the caller's maximum age for reads if that is set.
func (c *conn) profile(cfg *fleet.Config, service *fleet.Service) (fleet.Profile, error) {
	name := c.variables.profile
	if name == "" {
		name = service.Profile
	}
	found := cfg.Profile(name)
	if found == nil {
		return fleet.Profile{}, request.Refuse(request.CodeUnknownProfile, step, "", "profile %q is not known", name)
	}
	profile := *found
	if c.variables.hasMaxAge {
		profile.Reads = fleet.ReadsAge
		profile.MaxAge = c.variables.maxAge
	}
	return profile, nil
}

// timeout returns the profile's timeout, or DefaultRequestTimeout if it has none. A caller can
// lower but not raise it with statement_timeout.
func (c *conn) timeout(profile fleet.Profile) time.Duration {
	timeout := profile.Timeout.Std()
	if timeout <= 0 {
		timeout = DefaultRequestTimeout
	}
	if c.variables.timeout > 0 {
		timeout = min(timeout, c.variables.timeout)
	}
	return timeout
}

// callChain passes c.request to the filter chain. It drops an answer with the ID of another
// request and then fails with CodeOutcomeUnknown.
func (c *conn) callChain() (*request.Response, error) {
	id := c.request.ID
	ctx, stop := context.WithDeadline(c.ctx, c.request.Deadline)
	defer stop()
	c.setRunning(stop)
	if c.server.isEnding() {
		stop()
	}
	c.startWatch()
	resp, err := c.options.Chain.Serve(ctx, &c.request)
	c.stopWatch()
	cause := c.setRunning(nil)
	if err != nil {
		return nil, explainCancel(cause, c.request.Kind, err)
	}
	if resp.ID != id {
		c.server.Crossed.Add(1)
		return nil, request.Refuse(request.CodeOutcomeUnknown, step, "", "the answer belongs to another request")
	}
	return resp, nil
}

// explainCancel returns the refusal for a request that the caller cancelled, with err as its
// cause, if the request committed no change. Otherwise it returns err. kind is the kind of
// the request after the call, as a read that a replica refused is retried as a write.
func explainCancel(cause error, kind request.Kind, err error) error {
	if cause != errCancelled {
		return err
	}
	if kind != request.KindRead && kind != request.KindInTransaction {
		return err
	}
	return request.Refuse(request.CodeTimeout, step, "", "%s", errCancelled).WithCause(err)
}

// answerRequestError answers a request that failed. After a failed COMMIT the transaction is
// over for the caller. A failed ROLLBACK never gets here: its transaction is lost, which is
// what the caller asked for, so forward answers it as done.
func (c *conn) answerRequestError(kind request.Kind, err error) bool {
	if kind == request.KindCommit {
		c.rollBack()
		c.setIdle()
	}
	return c.answerError(err)
}

// setIdle records that the caller's transaction has ended.
func (c *conn) setIdle() {
	c.txStatus = txIdle
	c.txLost = false
}

// answerError answers an exchange with an error. An open transaction is rolled back at once,
// and the caller sees it as failed until it sends COMMIT or ROLLBACK. answerError reports
// false if the connection is to be closed, which is so if the key is no longer valid.
func (c *conn) answerError(err error) bool {
	if c.txStatus == txOpen {
		c.rollBack()
	}
	if c.txStatus != txIdle {
		c.txStatus = txFailed
	}
	out := c.tokenStatus(append(c.out[:0], c.firstPartAnswer...))
	c.firstPartAnswer = nil
	var state *statement.StateError
	if errors.As(err, &state) {
		out = appendError(out, severityError, state.SQLState, state.Message, request.NotRun.String())
		return c.send(appendReadyForQuery(out, c.txStatus))
	}
	r := request.AsRefusal(err)
	c.server.Refused.Add(r.Code.Name, 1)
	if r.Code == request.CodeBadKey {
		c.write(appendRefusal(out, severityFatal, r))
		return false
	}
	return c.send(appendReadyForQuery(appendRefusal(out, severityError, r), c.txStatus))
}

// rollBack rolls back the session's transaction on the target that holds it, and marks it
// as lost whether or not that succeeds.
func (c *conn) rollBack() {
	c.txLost = true
	_, _ = c.doRequest(request.KindRollback, rollbackMessage)
}
