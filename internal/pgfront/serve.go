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

// Messages of the server's own making.
var (
	rollback    = own(&pgproto3.Query{String: "ROLLBACK"})
	syncMessage = own(&pgproto3.Sync{})
)

func own(message pgproto3.FrontendMessage) []byte {
	out, err := message.Encode(nil)
	if err != nil {
		panic(err)
	}
	return out
}

// stateFailed is PostgreSQL's SQLSTATE of a statement in a failed transaction.
const stateFailed = "25P02"

// exchange serves one exchange. It reports false if the connection is to end.
func (c *conn) exchange(e *exchange) bool {
	c.server.Exchanges.Add(1)
	if c.skipping && e.last != typeSync {
		return true
	}
	if c.skipping {
		c.skipping = false
		return c.send(ready(c.out[:0], c.tx))
	}
	c.flushing = e.last == typeFlush
	if c.flushing {
		e.messages = append(e.messages, syncMessage...)
	}
	if e.refused != "" {
		return c.refuse(request.Refuse(request.CodeUnsupported, step, "", "not supported: %s", e.refused))
	}
	plan, err := c.statements.Plan(e.messages)
	if err != nil {
		return c.refuse(err)
	}
	if answer, ok, err := c.local(plan); err != nil {
		return c.refuse(err)
	} else if ok {
		return c.answerLocal(plan, e.messages, answer)
	}
	if c.lost {
		out := failure(c.out[:0], severityError, stateFailed,
			"the transaction has failed, statements are ignored until it ends", request.NotRun.String())
		return c.send(ready(out, c.tx))
	}
	return c.forward(plan, e.messages)
}

func (c *conn) answerLocal(plan *statement.Plan, messages []byte, answer local) bool {
	c.server.Local.Add(1)
	c.statements.ApplyAll(plan)
	out := c.tokenStatus(c.out[:0])
	return c.send(answer.answer(out, messages, c.tx))
}

// forward sends an exchange along the chain and writes its answer.
func (c *conn) forward(plan *statement.Plan, messages []byte) bool {
	kind := plan.Kind(c.tx)
	c.prepared = !plan.Executes && !c.prepared
	if plan.Split > 0 {
		return c.forwardSplit(plan, kind)
	}
	resp, err := c.ask(kind, plan.Messages)
	if err != nil && kind == request.KindRollback {
		c.setIdle()
		return c.answerLocal(plan, messages, local{tag: "ROLLBACK"})
	}
	if err != nil {
		return c.failed(kind, err)
	}
	c.tx = resp.TxStatus
	return c.reply(c.statements.Apply(plan, resp.Messages))
}

// forwardSplit sends an exchange that opens a transaction and goes on in it as two. The
// caller sees one answer.
func (c *conn) forwardSplit(plan *statement.Plan, kind request.Kind) bool {
	opened, err := c.ask(kind, plan.Messages[:plan.Split])
	if err != nil {
		return c.failed(kind, err)
	}
	c.tx = opened.TxStatus
	if c.tx != txOpen {
		return c.reply(c.statements.Apply(plan, opened.Messages))
	}
	answer := slices.Clone(opened.Messages[:len(opened.Messages)-readyLength])
	resp, err := c.ask(request.KindInTransaction, plan.Messages[plan.Split:])
	if err != nil {
		c.begun = c.statements.Apply(plan, answer)
		return c.refuse(err)
	}
	c.tx = resp.TxStatus
	return c.reply(c.statements.Apply(plan, append(answer, resp.Messages...)))
}

// ask sends messages along the chain as a request of the given kind.
func (c *conn) ask(kind request.Kind, messages []byte) (*request.Response, error) {
	if err := c.fill(kind, messages); err != nil {
		return nil, err
	}
	return c.call()
}

// reply writes a target's answer, after the session's token if that has changed.
func (c *conn) reply(answer []byte) bool {
	out := c.tokenStatus(c.out[:0])
	if len(out) == 0 {
		return c.write(c.trim(answer))
	}
	return c.send(append(out, answer...))
}

// trim drops the ReadyForQuery of an answer to a Flush. After an error nothing is done
// until the caller's Sync.
func (c *conn) trim(answer []byte) []byte {
	if !c.flushing {
		return answer
	}
	c.flushing = false
	c.skipping = hasError(answer)
	return answer[:len(answer)-readyLength]
}

// tokenStatus appends the session's token if it has changed. Within a transaction it
// waits for the end.
func (c *conn) tokenStatus(out []byte) []byte {
	if c.tx != txIdle {
		return out
	}
	token, changed := c.options.Session.TakeChangedToken(c.session)
	if !changed {
		return out
	}
	return status(out, varSession, token)
}

// fill makes the connection's request from an exchange.
func (c *conn) fill(kind request.Kind, messages []byte) error {
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
	c.sequence++
	c.request = request.Request{
		ID:            request.ID{Session: c.session, Sequence: c.sequence},
		Customer:      c.identity.Customer,
		Service:       c.service,
		Group:         service.Group,
		Kind:          kind,
		Profile:       profile,
		Weight:        1,
		Deadline:      c.options.Clock.Now().Add(c.timeout(profile)),
		Messages:      messages,
		ConfigVersion: cfg.Version,
		PrepareOnly:   c.prepared,
	}
	if customer := cfg.Customer(c.identity.Customer); customer != nil {
		c.request.Weight = max(customer.Weight, 1)
	}
	if kind == request.KindWrite || kind == request.KindBegin {
		c.request.IdempotencyKey = c.variables.requestID
		c.variables.requestID = ""
	}
	return nil
}

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

func (c *conn) timeout(profile fleet.Profile) time.Duration {
	timeout := profile.Timeout.Std()
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	if c.variables.timeout > 0 {
		timeout = min(timeout, c.variables.timeout)
	}
	return timeout
}

// call runs the connection's request. An answer to another request is dropped.
func (c *conn) call() (*request.Response, error) {
	id := c.request.ID
	ctx, stop := context.WithDeadline(c.ctx, c.request.Deadline)
	defer stop()
	c.setRunning(stop)
	c.startWatch()
	resp, err := c.options.Chain.Serve(ctx, &c.request)
	c.stopWatch()
	cause := c.setRunning(nil)
	if err != nil {
		return nil, explain(cause, c.request.Kind, err)
	}
	if resp.ID != id {
		c.server.Crossed.Add(1)
		return nil, request.Refuse(request.CodeOutcomeUnknown, step, "", "the answer belongs to another request")
	}
	return resp, nil
}

// explain names a cancel as the cause of a failed request that changed nothing. kind is
// what the request had become: a read that a replica refused has turned into a write.
func explain(cause error, kind request.Kind, err error) error {
	if cause != errCancelled {
		return err
	}
	if kind != request.KindRead && kind != request.KindInTransaction {
		return err
	}
	return request.Refuse(request.CodeTimeout, step, "", "%s", errCancelled).WithCause(err)
}

// failed answers a request that was refused. A transaction whose rollback fails is lost,
// which is what its caller wanted, so that never comes here.
func (c *conn) failed(kind request.Kind, err error) bool {
	if kind == request.KindCommit {
		c.abort()
		c.setIdle()
	}
	return c.refuse(err)
}

func (c *conn) setIdle() {
	c.tx = txIdle
	c.lost = false
}

// refuse answers an exchange with an error. A transaction fails with it: it is rolled
// back now, and the caller sees a failed transaction until it ends it.
func (c *conn) refuse(err error) bool {
	if c.tx == txOpen {
		c.abort()
	}
	if c.tx != txIdle {
		c.tx = txFailed
	}
	out := c.tokenStatus(append(c.out[:0], c.begun...))
	c.begun = nil
	var state *statement.StateError
	if errors.As(err, &state) {
		out = failure(out, severityError, state.SQLState, state.Message, request.NotRun.String())
		return c.send(ready(out, c.tx))
	}
	r := request.AsRefusal(err)
	c.server.Refused.Add(r.Code.Name, 1)
	if r.Code == request.CodeBadKey {
		c.write(refusal(out, severityFatal, r))
		return false
	}
	return c.send(ready(refusal(out, severityError, r), c.tx))
}

// abort rolls back the session's transaction, wherever it is.
func (c *conn) abort() {
	c.lost = true
	_, _ = c.ask(request.KindRollback, rollback)
}
