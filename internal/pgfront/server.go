package pgfront

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/zeebo/errs"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/filter/auth"
	"crocusyoke/internal/filter/session"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/request"
)

const step = "callers"

// Bounds in time and number.
const (
	// HandshakeTimeout bounds TLS and startup.
	HandshakeTimeout = 10 * time.Second
	// IdleTransactionTimeout is the longest pause of a caller within a transaction.
	IdleTransactionTimeout = 60 * time.Second
	// DefaultTimeout bounds a request whose profile has no timeout.
	DefaultTimeout = 30 * time.Second
	// DefaultMaxMessage is in bytes.
	DefaultMaxMessage = 16 << 20
	// DefaultMaxConnections is the number of callers without a setting.
	DefaultMaxConnections = 10_000
	// sweepGrace is how long a running request of a withdrawn key may go on.
	sweepGrace = 2 * time.Second
	// lingerTimeout bounds the wait for a caller to read its last message.
	lingerTimeout = 2 * time.Second
	// writeTimeout bounds the write of one answer.
	writeTimeout = 30 * time.Second
	// spareHandshakes may be refused in an orderly way at once beyond the limit.
	spareHandshakes = 64
)

// Options are what a Server needs. Zero values of durations and numbers stand for the
// defaults above.
type Options struct {
	// Node begins every session's identifier.
	Node    string
	Config  fleet.Source
	Chain   request.Handler
	Auth    *auth.Filter
	Session *session.Filter
	Clock   clock.Clock
	Logger  log.Logger
	// TLS is nil if callers cannot use TLS.
	TLS *tls.Config
	// Plaintext lets callers connect without TLS.
	Plaintext      bool
	MaxConnections int
	// MaxMessage bounds one exchange, in bytes.
	MaxMessage int
	// ForwardCancel passes on a cancel request for a session of another node; may be nil.
	ForwardCancel          func(pid, secret uint32)
	HandshakeTimeout       time.Duration
	IdleTransactionTimeout time.Duration
}

func (o *Options) setDefaults() {
	if o.HandshakeTimeout == 0 {
		o.HandshakeTimeout = HandshakeTimeout
	}
	if o.IdleTransactionTimeout == 0 {
		o.IdleTransactionTimeout = IdleTransactionTimeout
	}
	if o.MaxMessage == 0 {
		o.MaxMessage = DefaultMaxMessage
	}
	if o.MaxConnections == 0 {
		o.MaxConnections = DefaultMaxConnections
	}
	if o.Clock == nil {
		o.Clock = clock.Wall{}
	}
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
}

// Server serves callers.
type Server struct {
	Counters
	options Options
	// draining is closed when no new work is taken.
	draining chan struct{}
	// stop ends all requests and closes all connections.
	base context.Context
	stop context.CancelFunc

	mu    sync.Mutex
	conns map[uint32]*conn
	// sockets counts connections, also those without a place: in their handshake, refused
	// or about to close.
	sockets int
	// places counts the connections admitted and those whose key is being checked.
	places    int
	listeners []net.Listener
	wait      sync.WaitGroup
	once      sync.Once
}

// New returns a Server.
func New(options Options) *Server {
	options.setDefaults()
	base, stop := context.WithCancel(context.Background())
	return &Server{
		options:  options,
		draining: make(chan struct{}),
		base:     base,
		stop:     stop,
		conns:    make(map[uint32]*conn),
	}
}

// Serve accepts callers until ctx ends or Drain is done; then it returns nil.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	s.mu.Lock()
	s.listeners = append(s.listeners, listener)
	s.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	for {
		socket, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			if s.options.Clock.Sleep(ctx, acceptPause) != nil {
				return nil
			}
			continue
		}
		s.Handle(socket)
	}
}

// acceptPause follows a failed accept, such as one for want of file descriptors.
const acceptPause = 20 * time.Millisecond

// Handle serves one caller's connection in the background.
func (s *Server) Handle(socket net.Conn) {
	s.Accepted.Add(1)
	s.mu.Lock()
	s.sockets++
	count := s.sockets
	s.wait.Add(1)
	s.mu.Unlock()
	if count > s.options.MaxConnections+spareHandshakes {
		s.TooMany.Add(1)
		socket.Close()
		s.done()
		return
	}
	go func() {
		defer s.done()
		c := newConn(s, socket)
		c.serve()
	}()
}

func (s *Server) done() {
	s.mu.Lock()
	s.sockets--
	s.mu.Unlock()
	s.wait.Done()
}

// isDraining reports whether Drain has begun.
func (s *Server) isDraining() bool {
	select {
	case <-s.draining:
		return true
	default:
		return false
	}
}

// Drain takes no new callers, ends idle sessions, and waits until running exchanges and
// transactions have finished. When ctx ends it cuts what is left and returns an error.
func (s *Server) Drain(ctx context.Context) error {
	s.once.Do(func() {
		s.options.Logger.Log("event", "callers draining", "open", s.Open.Value())
		close(s.draining)
		for _, c := range s.all() {
			c.interrupt()
		}
	})
	finished := make(chan struct{})
	go func() {
		s.wait.Wait()
		close(finished)
	}()
	var err error
	select {
	case <-finished:
	case <-ctx.Done():
		err = errs.New("step %s: %d callers' connections cut at the end of the drain", step, s.Open.Value())
		s.stop()
		<-finished
	}
	s.closeListeners()
	s.options.Logger.Log("event", "callers drained", "err", err)
	return err
}

func (s *Server) closeListeners() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, listener := range s.listeners {
		listener.Close()
	}
}

// Sweep ends the connections whose key has been withdrawn. Call it whenever the
// configuration has changed.
func (s *Server) Sweep() {
	for _, c := range s.all() {
		if s.options.Auth.IsKeyWithdrawn(c.session) {
			s.Swept.Add(1)
			c.sweep()
		}
	}
}

// Cancel cancels the running statement of the session with this process identifier and
// secret. It reports whether this node has that session.
func (s *Server) Cancel(pid, secret uint32) bool {
	s.mu.Lock()
	c := s.conns[pid]
	s.mu.Unlock()
	if c == nil || !sameSecret(c.secret, secret) {
		s.CancelUnknown.Add(1)
		return false
	}
	s.Cancelled.Add(1)
	c.cancelRunning(errCancelled)
	return true
}

func (s *Server) all() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*conn, 0, len(s.conns))
	for _, c := range s.conns {
		all = append(all, c)
	}
	return all
}

// reserve takes one of the MaxConnections places for c. It reports false if none is free.
func (s *Server) reserve(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.places >= s.options.MaxConnections {
		s.TooMany.Add(1)
		return false
	}
	s.places++
	c.placed = true
	return true
}

// vacate gives the place of c back, if it holds one.
func (s *Server) vacate(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.placed {
		c.placed = false
		s.places--
	}
}

// register gives a connection its identifiers.
func (s *Server) register(c *conn) {
	var random [20]byte
	rand.Read(random[:])
	c.secret = binary.BigEndian.Uint32(random[4:])
	c.session = s.options.Node + "-" + hex.EncodeToString(random[8:])
	s.mu.Lock()
	defer s.mu.Unlock()
	c.pid = binary.BigEndian.Uint32(random[:]) >> 1
	for c.pid == 0 || s.conns[c.pid] != nil {
		c.pid = (c.pid + 1) & (1<<31 - 1)
	}
	s.conns[c.pid] = c
	s.Open.Add(1)
}

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns[c.pid] == c {
		delete(s.conns, c.pid)
		s.Open.Add(-1)
	}
}
