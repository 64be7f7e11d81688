package front

import (
	"context"
	"errors"
	"expvar"
	"net"
	"sync"
	"time"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/filter/auth"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/request"
	"crocusyoke/internal/requestlog"
)

// Bounds in time.
const (
	// HandshakeTimeout bounds the wait for a caller's introduction.
	HandshakeTimeout = 10 * time.Second
	// DefaultTimeout bounds a statement whose profile has no timeout.
	DefaultTimeout = 10 * time.Second
	// writeTimeout bounds the write of one answer.
	writeTimeout = 5 * time.Second
)

// Options are what a Server needs.
type Options struct {
	// Node begins every session's identifier.
	Node   string
	Config fleet.Source
	Chain  request.Handler
	Auth   *auth.Filter
	Clock  clock.Clock
	Log    *requestlog.Log
	// NewCodec speaks the callers' protocol on a connection.
	NewCodec func(net.Conn) Codec
	// Rollback is the text that ends a transaction without effect.
	Rollback string
	// MaxConnections bounds the callers' connections.
	MaxConnections int
}

// Server serves callers. Its methods are safe for concurrent use.
type Server struct {
	options Options
	// Counts counts sessions and statements by what became of them.
	Counts expvar.Map
	// Refused counts refusals by code.
	Refused expvar.Map

	base context.Context
	stop context.CancelFunc
	wait sync.WaitGroup

	mu        sync.Mutex
	sessions  map[*session]struct{}
	accepted  uint64
	draining  bool
	listeners []net.Listener
}

// New returns a Server that serves nobody yet.
func New(options Options) *Server {
	base, stop := context.WithCancel(context.Background())
	return &Server{options: options, base: base, stop: stop, sessions: make(map[*session]struct{})}
}

// Vars returns the server's counters.
func (s *Server) Vars() *expvar.Map {
	all := new(expvar.Map)
	all.Set("counts", &s.Counts)
	all.Set("refused", &s.Refused)
	return all
}

// Refusals counts refusals by code.
func (s *Server) Refusals() *expvar.Map { return &s.Refused }

// Serve accepts callers from listener until ctx ends or the Server drains, and returns
// when no session is left.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	s.mu.Lock()
	s.listeners = append(s.listeners, listener)
	s.mu.Unlock()
	defer context.AfterFunc(ctx, func() {
		_ = listener.Close()
		s.stop()
		s.closeAll()
	})()
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			s.acceptFailed(err)
			if s.options.Clock.Sleep(ctx, acceptPause) != nil {
				break
			}
			continue
		}
		s.serve(conn)
	}
	s.wait.Wait()
	return nil
}

// acceptPause follows a failed accept, such as one for want of file descriptors.
const acceptPause = 20 * time.Millisecond

// serve starts a session on conn.
func (s *Server) serve(conn net.Conn) {
	s.mu.Lock()
	s.accepted++
	sess := newSession(s, conn, s.accepted)
	full := len(s.sessions) >= s.options.MaxConnections
	if !full {
		s.sessions[sess] = struct{}{}
	}
	s.mu.Unlock()
	if full {
		s.Counts.Add("sessions_refused", 1)
		_ = conn.Close()
		return
	}
	s.Counts.Add("sessions", 1)
	s.wait.Go(func() {
		sess.run(s.base)
		s.mu.Lock()
		delete(s.sessions, sess)
		s.mu.Unlock()
	})
}

// Drain accepts no more callers, ends each session as soon as it is idle outside a
// transaction, and returns when none is left or ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	listeners := s.listeners
	for sess := range s.sessions {
		sess.retire()
	}
	s.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	over := make(chan struct{})
	go func() {
		s.wait.Wait()
		close(over)
	}()
	select {
	case <-over:
		return nil
	case <-ctx.Done():
		s.closeAll()
		return ctx.Err()
	}
}

// Sweep ends idle sessions whose key has been withdrawn.
func (s *Server) Sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for sess := range s.sessions {
		if sess.admitted() && s.options.Auth.IsKeyWithdrawn(sess.id) {
			s.Counts.Add("sessions_withdrawn", 1)
			sess.retire()
		}
	}
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for sess := range s.sessions {
		_ = sess.conn.Close()
	}
}

func (s *Server) stopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}
