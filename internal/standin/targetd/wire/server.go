package wire

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"crocusyoke/internal/standin/targetd/faults"
	"crocusyoke/internal/standin/targetd/record"
	"crocusyoke/internal/standin/targetd/store"
)

// Options configures a Server.
type Options struct {
	// User and Password are the credentials that every client must present.
	User, Password string
	// Slots is the maximum number of statements that run concurrently.
	Slots int
	// Connections is the maximum number of open connections, not counting replicas'.
	Connections int
	// AcceptDelay is added to the time that opening a connection takes.
	AcceptDelay time.Duration
	// Echo enables echo mode, in which statements are answered from memory with a fixed row,
	// without the store or a slot. Only calls of the control functions in simple queries are
	// executed.
	Echo bool
}

// Server serves the connections to one target.
type Server struct {
	options  Options
	store    *store.Store
	faults   *faults.Faults
	seen     *record.Seen
	counters *record.Counters
	slots    chan struct{}

	mu       sync.Mutex
	sessions map[uint32]*session
	group    sync.WaitGroup
}

// New returns a Server that runs statements in the store.
func New(o Options, s *store.Store, f *faults.Faults, seen *record.Seen, c *record.Counters) *Server {
	return &Server{
		options: o, store: s, faults: f, seen: seen, counters: c,
		slots:    make(chan struct{}, o.Slots),
		sessions: make(map[uint32]*session),
	}
}

// Serve serves connections from listener until ctx ends. It returns once all of them have
// ended.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer s.group.Wait()
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			continue
		}
		s.group.Add(1)
		go s.serve(ctx, conn)
	}
}

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	defer s.group.Done()
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	session := newSession(ctx, s, conn)
	defer session.end()
	if session.start() == nil {
		session.run()
	}
}

// registerSession assigns the session a unique process ID and a secret, which a cancel
// request must present.
func (s *Server) registerSession(session *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for session.pid == 0 || s.sessions[session.pid] != nil {
		session.pid = rand.Uint32() >> 1
	}
	session.secret = rand.Uint32()
	s.sessions[session.pid] = session
}

func (s *Server) unregisterSession(session *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions[session.pid] == session {
		delete(s.sessions, session.pid)
	}
}

// cancel cancels the session's running statement. That has an effect only while the statement
// waits, for example for a slot or a lock. It ignores a request with a wrong secret.
func (s *Server) cancel(pid, secret uint32) {
	s.mu.Lock()
	session := s.sessions[pid]
	s.mu.Unlock()
	if session == nil || session.secret != secret {
		return
	}
	s.counters.Cancels.Add(1)
	session.cancelStatement()
}

// acquireSlot waits for a slot and then for the injected service time. If more statements are
// in flight than there are slots, it counts a slot violation, since the proxy must not send
// more. It returns store.ErrCancelled without a slot if ctx ends first.
func (s *Server) acquireSlot(ctx context.Context) error {
	if s.counters.InFlight.Add(1) > int64(s.options.Slots) {
		s.counters.SlotViolations.Add(1)
	}
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		s.counters.InFlight.Add(-1)
		return store.ErrCancelled
	}
	if s.faults.AwaitService(ctx) != nil {
		s.releaseSlot()
		return store.ErrCancelled
	}
	return nil
}

// releaseSlot releases a slot that acquireSlot acquired.
func (s *Server) releaseSlot() {
	<-s.slots
	s.counters.InFlight.Add(-1)
}
