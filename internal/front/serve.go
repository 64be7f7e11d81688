package front

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/request"
)

// session is one caller's connection.
type session struct {
	server *Server
	conn   net.Conn
	codec  Codec
	id     string
	state  *state

	service  string
	customer string

	mu sync.Mutex
	// open is true once the caller was admitted.
	open bool
	// busy is true from a statement's arrival to its answer, and inside a transaction.
	busy bool
	// retired is set when the session is to end as soon as it is not busy.
	retired bool
}

func newSession(s *Server, conn net.Conn, number uint64) *session {
	return &session{
		server: s,
		conn:   conn,
		codec:  s.options.NewCodec(conn),
		id:     fmt.Sprintf("%s.%d", s.options.Node, number),
		state:  newState(),
	}
}

// run serves the session until it ends.
func (s *session) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer s.conn.Close()
	if !s.start() {
		return
	}
	defer s.server.options.Chain.End(s.id)
	for s.next(ctx) {
	}
}

// start admits the caller.
func (s *session) start() bool {
	_ = s.conn.SetReadDeadline(time.Now().Add(HandshakeTimeout))
	startup, err := s.codec.Startup()
	if err != nil {
		if ErrProtocol.Has(err) {
			s.reject(malformed(err.Error()))
		}
		return false
	}
	_ = s.conn.SetReadDeadline(time.Time{})
	if s.server.stopping() {
		s.reject(request.Refuse(request.CodeShutdown, step, "", "node is stopping"))
		return false
	}
	identity, err := s.server.options.Auth.LoginByKey(startup.Key, startup.Service)
	if err != nil {
		s.reject(request.AsRefusal(err))
		return false
	}
	s.service, s.customer = startup.Service, identity.Customer
	s.server.options.Auth.SetIdentity(s.id, identity)
	s.mu.Lock()
	s.open = true
	s.mu.Unlock()
	s.codec.Welcome()
	return s.flush()
}

func (s *session) reject(refusal *request.Refusal) {
	s.server.Refused.Add(refusal.Code.Name, 1)
	s.codec.Reject(refusal)
	s.flush()
}

// next serves one statement. It reports false when the session is over.
func (s *session) next(ctx context.Context) bool {
	statement, err := s.codec.Next()
	if err != nil {
		s.failed(err)
		return false
	}
	if !s.enter() {
		return false
	}
	s.server.Counts.Add("statements", 1)
	s.serve(ctx, &statement)
	if !s.flush() {
		return false
	}
	return s.leave()
}

// failed answers what can't be read; any other error means that the caller is gone.
func (s *session) failed(err error) {
	if !ErrProtocol.Has(err) {
		if !errors.Is(err, io.EOF) {
			s.server.Counts.Add("sessions_broken", 1)
		}
		return
	}
	s.server.Counts.Add("malformed", 1)
	s.codec.Refuse(malformed(err.Error()), s.state.tx)
	s.flush()
}

// serve answers one statement.
func (s *session) serve(ctx context.Context, st *Statement) {
	verdict, kind, refusal := s.state.plan(st)
	switch verdict {
	case done:
		s.codec.Done(s.state.tx)
	case refuse:
		s.refuse(st, refusal)
	case forward:
		s.forward(ctx, st, kind)
	case abandon:
		s.abandon(ctx, st)
	}
}

// forward sends a statement along the filter chain and answers it.
func (s *session) forward(ctx context.Context, st *Statement, kind request.Kind) {
	req, refusal := s.request(s.state.call(st), kind)
	if refusal != nil {
		s.fail(st, refusal)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	began := s.server.options.Clock.Now()
	resp, err := s.server.options.Chain.Serve(ctx, req)
	if err != nil {
		s.ended(st, request.AsRefusal(err))
		return
	}
	s.logServed(st, req, resp, began)
	s.state.tx = resp.TxStatus
	s.codec.Answer(resp.Messages, resp.TxStatus, resp.Position)
}

// abandon rolls back a transaction that has failed, if a target still holds it. To commit
// it is refused.
func (s *session) abandon(ctx context.Context, st *Statement) {
	req, refusal := s.request(&Call{ID: "-", Text: s.server.options.Rollback, KeepSettings: true}, request.KindRollback)
	if refusal == nil {
		ctx, cancel := context.WithDeadline(ctx, req.Deadline)
		defer cancel()
		if _, err := s.server.options.Chain.Serve(ctx, req); err != nil {
			s.server.Counts.Add("rollbacks_without_answer", 1)
		}
	}
	s.state.tx = stateIdle
	if st.Verb == VerbRollback {
		s.codec.Done(s.state.tx)
		return
	}
	s.refuse(st, request.Refuse(request.CodeTransactionLost, step, "", "the transaction had failed and was rolled back"))
}

// ended answers a statement that got no answer from a target.
func (s *session) ended(st *Statement, refusal *request.Refusal) {
	switch st.Verb {
	case VerbRollback:
		s.state.tx = stateIdle
		s.codec.Done(s.state.tx)
	case VerbCommit:
		s.state.tx = stateIdle
		s.refuse(st, refusal)
	default:
		s.fail(st, refusal)
	}
}

// fail refuses a statement. Inside a transaction the transaction has failed with it.
func (s *session) fail(st *Statement, refusal *request.Refusal) {
	if s.state.tx != stateIdle {
		s.state.tx = stateFailed
	}
	s.refuse(st, refusal)
}

func (s *session) refuse(st *Statement, refusal *request.Refusal) {
	s.server.Refused.Add(refusal.Code.Name, 1)
	s.logRefused(st, refusal)
	s.codec.Refuse(refusal, s.state.tx)
}

// request returns the request for call under the configuration in force.
func (s *session) request(call *Call, kind request.Kind) (*request.Request, *request.Refusal) {
	config := s.server.options.Config.Current()
	if config == nil {
		return nil, request.Refuse(request.CodeStaleConfig, step, "", "no configuration yet")
	}
	service := config.Service(s.service)
	if service == nil {
		return nil, request.Refuse(request.CodeUnknownService, step, "", "service %q is not known", s.service)
	}
	profile := fleet.Profile{}
	if p := config.Profile(service.Profile); p != nil {
		profile = *p
	}
	messages, err := call.Encode()
	if err != nil {
		return nil, request.Refuse(request.CodeProtocol, step, "", "encode").WithCause(err)
	}
	timeout := profile.Timeout.Std()
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	weight := 1
	if c := config.Customer(s.customer); c != nil {
		weight = max(1, c.Weight)
	}
	s.state.sequence++
	return &request.Request{
		ID:            request.ID{Session: s.id, Sequence: s.state.sequence},
		Customer:      s.customer,
		Service:       s.service,
		Group:         service.Group,
		Kind:          kind,
		Profile:       profile,
		Weight:        weight,
		Deadline:      s.server.options.Clock.Now().Add(timeout),
		Messages:      messages,
		ConfigVersion: config.Version,
	}, nil
}

func (s *session) flush() bool {
	_ = s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return s.codec.Flush() == nil
}

// enter marks the session busy. It reports false if the session was ended meanwhile.
func (s *session) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retired && !s.busy {
		return false
	}
	s.busy = true
	return true
}

// leave marks the session idle, unless a transaction is open. It reports false if the
// session is to end.
func (s *session) leave() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = s.state.tx != stateIdle
	return s.busy || !s.retired
}

// retire ends the session as soon as it is not busy.
func (s *session) retire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retired = true
	if s.open && !s.busy {
		_ = s.conn.Close()
	}
}

func (s *session) admitted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}
