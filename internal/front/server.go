package front

import (
	"context"
	"errors"
	"expvar"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"crocusyoke/internal/admission"
	"crocusyoke/internal/budget"
	"crocusyoke/internal/clock"
	"crocusyoke/internal/filter/auth"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/request"
	"crocusyoke/internal/requestlog"
	"crocusyoke/internal/run/gate"
)

// Timeouts.
const (
	// HandshakeTimeout bounds the wait for a caller's startup message.
	HandshakeTimeout = 10 * time.Second
	// DefaultTimeout bounds a statement whose service has no profile, or a profile without a
	// timeout.
	DefaultTimeout = 10 * time.Second
	// writeTimeout bounds sending one answer to a caller.
	writeTimeout = 5 * time.Second
)

// Options configures a Server. All fields are required.
type Options struct {
	// Node is the node's name, the prefix of every session's identifier.
	Node   string
	Config fleet.Source
	Chain  request.Handler
	// EndTransaction ends the transaction that a target may hold open for a session, without an
	// answer. It is called when the caller is told that its transaction has ended, but no target has
	// confirmed it.
	EndTransaction func(session string)
	// Owner returns the node that serves a session's requests, "" if there is none.
	Owner func(session string) string
	Auth  *auth.Filter
	Clock clock.Clock
	Log   *requestlog.Log
	// NewCodec returns the codec for a caller's connection.
	NewCodec func(net.Conn) Codec
	// Rollback is the text of the statement that rolls back a transaction.
	Rollback string
	// MaxConnections bounds the number of sessions. extraConnections more connections are let in, to be refused
	// with an answer.
	MaxConnections int
	// CustomerShare is the part of the sessions that one customer may have (see admission.Limits); 0 means all.
	CustomerShare float64
	// Logger is told of connections that are closed at the limits; nil logs nothing.
	Logger log.Logger
	// Priorities orders requests by the priorities of their profiles and customers.
	Priorities bool
}

// extraConnections is how many connections a server keeps beyond MaxConnections: those that log in, and those whose
// sessions have ended.
const extraConnections = 64

// Server accepts callers' connections and runs their sessions. Its methods are safe for
// concurrent use.
type Server struct {
	options Options
	// Counts counts statements, sessions that were opened, refused, broken, cut or withdrawn, answers
	// that their callers no longer wanted, accept
	// errors, malformed input, and rollbacks without an answer.
	Counts expvar.Map
	// Refused counts refused sessions and statements by refusal code.
	Refused expvar.Map

	// stateBudget is the budget of the sessions' settings and prepared statements.
	stateBudget *budget.Budget
	// servingBudget is the budget of the statements that are being served.
	servingBudget *budget.Budget
	// answerBudget is the budget of the answers that have arrived and are not sent yet.
	answerBudget *budget.Budget
	// largeReads has an element for each session that reads a large statement.
	largeReads chan struct{}

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	// drain holds nil until Drain is called.
	drain atomic.Pointer[drainTimes]
	// gate decides which connections are kept.
	gate *gate.Gate

	mu        sync.Mutex
	sessions  map[*session]struct{}
	accepted  uint64
	listeners []net.Listener
}

// New returns a Server. It accepts no connections until Serve is called.
func New(options Options) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	if options.CustomerShare == 0 {
		options.CustomerShare = 1
	}
	if options.Logger == nil {
		options.Logger = log.NewNopLogger()
	}
	s := &Server{
		options: options, ctx: ctx, cancel: cancel, sessions: make(map[*session]struct{}),
		stateBudget: budget.New(stateLimits), servingBudget: budget.New(servingLimits),
		answerBudget: budget.New(answerLimits), largeReads: make(chan struct{}, maxLargeReads),
	}
	s.gate = s.newGate()
	return s
}

func (s *Server) newGate() *gate.Gate {
	o := &s.options
	return gate.New("callers", admission.Limits{
		Connections: o.MaxConnections + extraConnections, Sessions: o.MaxConnections, CustomerShare: o.CustomerShare,
	}, o.Clock, o.Logger)
}

// Vars returns the server's counters.
func (s *Server) Vars() *expvar.Map {
	all := new(expvar.Map)
	all.Set("counts", &s.Counts)
	all.Set("refused", &s.Refused)
	all.Set("gate", s.gate.Vars())
	all.Set("large_reads", expvar.Func(func() any { return len(s.largeReads) }))
	all.Set("serving_bytes", expvar.Func(func() any { return s.servingBudget.Held() }))
	all.Set("answer_bytes", expvar.Func(func() any { return s.answerBudget.Held() }))
	all.Set("state_bytes", expvar.Func(func() any { return s.stateBudget.Held() }))
	return all
}

// Refusals returns the counts of refused sessions and statements by refusal code.
func (s *Server) Refusals() *expvar.Map { return &s.Refused }

// Serve accepts callers from listener until ctx ends or Drain is called, and returns nil when
// no session is left. When ctx ends, it closes the listener and all sessions at once. Any other
// accept error is counted and logged, and accepting goes on after acceptRetryDelay.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	s.mu.Lock()
	s.listeners = append(s.listeners, listener)
	s.mu.Unlock()
	defer context.AfterFunc(ctx, func() {
		_ = listener.Close()
		s.cancel()
		s.closeSessions(cutAtExit)
	})()
	s.wg.Add(1)
	s.acceptCallers(ctx, listener)
	s.wg.Done()
	s.wg.Wait()
	return nil
}

// acceptCallers starts a session for each connection until listener is closed or ctx ends.
func (s *Server) acceptCallers(ctx context.Context, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.recordAcceptError(err)
			if s.options.Clock.Sleep(ctx, acceptRetryDelay) != nil {
				return
			}
			continue
		}
		s.startSession(conn)
	}
}

// acceptRetryDelay is the pause after an accept error, such as a lack of file descriptors, which
// an immediate retry would only repeat.
const acceptRetryDelay = 20 * time.Millisecond

// startSession runs a session on conn in a goroutine of its own, or closes conn if there is no room for it.
func (s *Server) startSession(conn net.Conn) {
	visit := s.gate.Enter(conn)
	if visit == nil {
		s.Counts.Add("sessions_refused", 1)
		return
	}
	s.mu.Lock()
	s.accepted++
	sess := newSession(s, conn, s.accepted)
	sess.visit = visit
	s.sessions[sess] = struct{}{}
	s.mu.Unlock()
	s.Counts.Add("sessions", 1)
	s.wg.Go(func() {
		defer visit.Leave()
		sess.runContained(s.ctx)
		visit.End()
		s.remove(sess)
		// Its buffers may be as large as a message, and the connection may stay for a while.
		sess.codec = nil
		if !sess.endedByCaller {
			sess.linger()
		}
		_ = sess.conn.Close()
	})
}

// remove removes a session that has ended.
func (s *Server) remove(sess *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, sess)
}

// CloseWithdrawn ends the sessions whose key has been withdrawn, each as soon as it is
// idle and outside a transaction. It is called when the configuration changes.
func (s *Server) CloseWithdrawn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for sess := range s.sessions {
		if sess.isAdmitted() && s.options.Auth.IsKeyWithdrawn(sess.id) {
			s.Counts.Add("sessions_withdrawn", 1)
			sess.closeWhenIdle()
		}
	}
}

// closeSessions closes all sessions at once.
func (s *Server) closeSessions(why string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for sess := range s.sessions {
		sess.cut(why)
	}
}
