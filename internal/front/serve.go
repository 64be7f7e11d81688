package front

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"crocusyoke/internal/budget"
	"crocusyoke/internal/contain"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/request"
	"crocusyoke/internal/run/gate"
)

// session is the session of one caller, which lives as long as its connection.
type session struct {
	server *Server
	conn   net.Conn
	codec  Codec
	id     string
	state  *sessionState
	// serving holds the size of the statement that is being served.
	serving *budget.Account
	// answer holds the size of the answer until it is sent.
	answer *budget.Account
	// in is what codec reads from.
	in *statementConn
	// visit is the connection's place among all.
	visit *gate.Visit

	service  string
	customer string
	// preparing is true if the last statement only changed the session's settings or prepared statements.
	// Only the session's goroutine uses it.
	preparing bool

	mu sync.Mutex
	// admitted is set once the caller has logged in.
	admitted bool
	// busy is true from a statement's arrival to its answer, and while a transaction is open or
	// has failed.
	busy bool
	// closing is set when the session must end as soon as it is not busy.
	closing bool
	// endedByCaller is set when reading shows that the caller has ended the session or its connection.
	// Only the session's goroutine uses it.
	endedByCaller bool
	// refusedByDrain is set when a drain has refused a statement of the session's transaction.
	refusedByDrain bool
	// progress is what the session is doing, and cutReported is set by logCut.
	progress    progress
	cutReported bool
}

func newSession(s *Server, conn net.Conn, number uint64) *session {
	in := &statementConn{Conn: conn, turns: s.largeReads, stopped: s.ctx}
	return &session{
		server: s,
		conn:   conn,
		codec:  s.options.NewCodec(in),
		id:     fmt.Sprintf("%s.%d", s.options.Node, number),
		state:  newSessionState(s.stateBudget.Account()),

		serving: s.servingBudget.Account(),
		answer:  s.answerBudget.Account(),
		in:      in,

		progress: progress{phase: phaseLogin},
	}
}

// runContained is run, except that a panic ends only the session.
func (s *session) runContained(ctx context.Context) {
	_, err := contain.Call("session", func() (struct{}, error) {
		s.run(ctx)
		return struct{}{}, nil
	})
	if err != nil {
		s.logCut(cutByPanic, err)
		s.logPanic(err)
	}
}

// run serves the session until it ends.
func (s *session) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ctx = budget.NewContext(ctx, s.answer)
	defer s.answer.Release()
	defer s.in.endTurn()
	defer s.state.release()
	if !s.admit() {
		return
	}
	defer s.server.options.Chain.End(s.id)
	for s.serveNext(ctx) {
	}
}

// serveNext reads and serves one statement. It reports false when the session is over.
func (s *session) serveNext(ctx context.Context) bool {
	statement, err := s.readStatement()
	if err != nil {
		s.handleReadError(err)
		return false
	}
	s.in.endRead()
	s.beginStatement(&statement)
	s.server.Counts.Add("statements", 1)
	s.serveStatement(ctx, &statement)
	s.in.endTurn()
	s.setPhase(phaseAnswering)
	if err := s.flush(); err != nil {
		s.handleWriteError(err)
		return false
	}
	s.answer.Release()
	return s.endStatement()
}

// lastReadTime is how long an idle session looks once more for a statement after its time to read is over.
const lastReadTime = 20 * time.Millisecond

// readStatement reads the next statement. A statement that arrived in the time to read is read also if
// this process got no processor until that time was over.
func (s *session) readStatement() (Statement, error) {
	statement, err := contain.Call("read statement", s.codec.Next)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return statement, err
	}
	_ = s.conn.SetReadDeadline(time.Now().Add(lastReadTime))
	return contain.Call("read statement", s.codec.Next)
}

// handleReadError refuses input that violates the protocol or that can't be read to its end. Any other
// error means that the caller has closed the connection, that the connection broke, or that an idle
// session is to close.
func (s *session) handleReadError(err error) {
	if contain.Error.Has(err) {
		s.logPanic(err)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		s.logCut(cutAtLimit, nil)
	}
	if refusal := readRefusal(err); refusal != nil {
		s.failStatement(&Statement{}, refusal)
		_ = s.flush()
		return
	}
	if !ErrProtocol.Has(err) {
		s.endedByCaller = !contain.Error.Has(err) && !errors.Is(err, os.ErrDeadlineExceeded)
		if !errors.Is(err, io.EOF) && !errors.Is(err, os.ErrDeadlineExceeded) {
			s.server.Counts.Add("sessions_broken", 1)
		}
		return
	}
	s.server.Counts.Add("malformed", 1)
	s.codec.Refuse(withShortDetail(protocolRefusal(err.Error())), s.state.txStatus)
	_ = s.flush()
}

// handleWriteError records that an answer could not be written. If the caller has closed the connection, it
// was not the node that cut the session.
func (s *session) handleWriteError(err error) {
	if errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) {
		s.server.Counts.Add("answers_unwanted", 1)
		return
	}
	s.logCut(cutByWrite, err)
}

// serveStatement answers one statement.
func (s *session) serveStatement(ctx context.Context, st *Statement) {
	action, kind, refusal := s.state.plan(st)
	s.preparing = action == actionAnswer
	switch action {
	case actionAnswer:
		s.codec.Completed(s.state.txStatus)
	case actionRefuse:
		s.refuse(st, refusal)
	case actionForward:
		s.forwardInTime(ctx, st, kind)
	case actionRollback:
		s.rollbackFailed(ctx, st)
	}
}

// forward sends a statement through the filter chain and passes on the answer.
func (s *session) forward(ctx context.Context, st *Statement, kind request.Kind) {
	call := s.state.newCall(st)
	defer s.serving.Release()
	if refusal := s.takeRoom(st, call); refusal != nil {
		s.failStatement(st, refusal)
		return
	}
	req, refusal := s.newRequest(call, kind)
	if refusal != nil {
		s.failStatement(st, refusal)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	began := s.server.options.Clock.Now()
	resp, err := s.server.options.Chain.Serve(ctx, req)
	if err != nil {
		s.answer.Release()
		s.handleChainError(st, request.AsRefusal(err))
		return
	}
	s.logServed(st, req, resp, began)
	s.state.observe(req.Group, resp.TxStatus)
	s.codec.Answer(resp.Messages, resp.TxStatus, resp.Position)
}

// rollbackFailed ends a failed transaction, for the caller whatever the outcome. It sends a rollback in
// case a target still holds the transaction open. If that has no answer, or can't be sent because the
// service is no longer in the configuration, the transaction is ended without one. A ROLLBACK
// succeeds, a COMMIT is refused.
func (s *session) rollbackFailed(ctx context.Context, st *Statement) {
	if s.rollBack(ctx) {
		s.state.txStatus = txIdle
	} else {
		s.server.Counts.Add("rollbacks_without_answer", 1)
		s.dropTransaction()
	}
	if st.Verb == VerbRollback {
		s.codec.Completed(s.state.txStatus)
		return
	}
	s.refuse(st, request.Refuse(request.CodeTransactionLost, step, "", "the transaction had failed and was rolled back"))
}

// rollBack sends a rollback and reports whether it was answered.
func (s *session) rollBack(ctx context.Context) bool {
	req, refusal := s.newRequest(&Call{ID: "-", Text: s.server.options.Rollback, KeepSettings: true}, request.KindRollback)
	if refusal != nil {
		return false
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	_, err := s.server.options.Chain.Serve(ctx, req)
	return err == nil
}

// dropTransaction ends the session's transaction for the caller, and wherever it may still be open.
func (s *session) dropTransaction() {
	s.state.txStatus = txIdle
	s.server.options.EndTransaction(s.id)
}

// handleChainError answers a statement that the filter chain refused. A refused COMMIT or
// ROLLBACK still ends the transaction. The ROLLBACK is reported as a success, since after it
// nothing can commit the transaction.
func (s *session) handleChainError(st *Statement, refusal *request.Refusal) {
	switch st.Verb {
	case VerbRollback:
		s.dropTransaction()
		s.codec.Completed(s.state.txStatus)
	case VerbCommit:
		s.dropTransaction()
		s.refuse(st, refusal)
	default:
		s.failStatement(st, refusal)
	}
}

// failStatement refuses a statement and marks the transaction as failed if one is open.
func (s *session) failStatement(st *Statement, refusal *request.Refusal) {
	if s.state.txStatus != txIdle {
		s.state.txStatus = txFailed
	}
	s.refuse(st, refusal)
}

func (s *session) refuse(st *Statement, refusal *request.Refusal) {
	refusal = withShortDetail(refusal)
	s.server.Refused.Add(refusal.Code.Name, 1)
	s.logRefused(st, refusal)
	s.codec.Refuse(refusal, s.state.txStatus)
}

// newRequest returns the request for call under the configuration in force.
func (s *session) newRequest(call *Call, kind request.Kind) (*request.Request, *request.Refusal) {
	config := s.server.options.Config.Current()
	if config == nil {
		return nil, request.Refuse(request.CodeStaleConfig, step, "", "no configuration yet")
	}
	service := config.Service(s.service)
	if service == nil {
		return nil, request.Refuse(request.CodeUnknownService, step, "", "service %q is not known", s.service)
	}
	profile := profileOf(config, service)
	messages, err := call.Encode()
	if err != nil {
		return nil, request.Refuse(request.CodeProtocol, step, "", "encode").WithCause(err)
	}
	weight, priority := s.server.standing(&profile, config.Customer(s.customer))
	s.state.sequence++
	return &request.Request{
		ID:            request.ID{Session: s.id, Sequence: s.state.sequence},
		Customer:      s.customer,
		Service:       s.service,
		Group:         s.state.groupFor(service),
		Kind:          kind,
		Profile:       profile,
		Weight:        weight,
		Priority:      priority,
		Deadline:      s.server.latestAnswer(s.server.options.Clock.Now().Add(timeoutOf(&profile))),
		Messages:      messages,
		ConfigVersion: config.Version,
	}, nil
}

func profileOf(config *fleet.Config, service *fleet.Service) fleet.Profile {
	if p := config.Profile(service.Profile); p != nil {
		return *p
	}
	return fleet.Profile{}
}

func timeoutOf(profile *fleet.Profile) time.Duration {
	if timeout := profile.Timeout.Std(); timeout > 0 {
		return timeout
	}
	return DefaultTimeout
}

func (s *session) flush() error {
	_ = s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return s.codec.Flush()
}

func (s *session) isAdmitted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admitted
}
