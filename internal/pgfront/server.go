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

	"crocusyoke/internal/admission"
	"crocusyoke/internal/clock"
	"crocusyoke/internal/filter/auth"
	"crocusyoke/internal/filter/session"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/request"
	"crocusyoke/internal/run/gate"
)

// step is the name of this package in refusals and errors.
const step = "callers"

// Timeouts and limits.
const (
	// DefaultHandshakeTimeout bounds TLS, startup and authentication together.
	DefaultHandshakeTimeout = 10 * time.Second
	// DefaultIdleTransactionTimeout is how long a caller may send nothing within a
	// transaction.
	DefaultIdleTransactionTimeout = 60 * time.Second
	// DefaultRequestTimeout bounds a request whose profile has no timeout.
	DefaultRequestTimeout = 30 * time.Second
	// DefaultMaxExchangeBytes is the size limit of one exchange in bytes.
	DefaultMaxExchangeBytes = 16 << 20
	// DefaultMaxConnections is the limit on admitted connections.
	DefaultMaxConnections = 10_000
	// withdrawnKeyGrace is how long a running request may continue after its caller's key
	// has been withdrawn.
	withdrawnKeyGrace = 2 * time.Second
	// lingerTimeout bounds the wait for the caller to read the last message and close.
	lingerTimeout = 2 * time.Second
	// lingerExchanges bounds what is read meanwhile, as a number of exchanges.
	lingerExchanges = 4
	// DefaultWriteTimeout bounds the write of one answer.
	DefaultWriteTimeout = 30 * time.Second
	// extraHandshakes is how many connections beyond MaxConnections are accepted at a time,
	// to be refused with an error message. Further ones are closed without one.
	extraHandshakes = 64
	// DefaultStatementTimeout bounds the time from the first byte of an exchange to its last.
	DefaultStatementTimeout = 30 * time.Second
)

// Options configure a Server. A duration or limit of zero means the default above. Clock and
// Logger may be nil.
type Options struct {
	// Node is the prefix of session identifiers and must be unique in the fleet.
	Node    string
	Config  fleet.Source
	Chain   request.Handler
	Auth    *auth.Filter
	Session *session.Filter
	Clock   clock.Clock
	Logger  log.Logger
	// TLS is the configuration for callers that request TLS; nil refuses TLS.
	TLS *tls.Config
	// Plaintext permits connections without TLS.
	Plaintext bool
	// MaxConnections is the number of connection slots. A connection needs a slot once its
	// caller's key was accepted, until it is closed or refused.
	MaxConnections int
	// Priorities orders requests by the priorities of their profiles and customers.
	Priorities bool
	// MaxExchangeBytes is the size limit of one exchange in bytes.
	MaxExchangeBytes int
	// ForwardCancel passes on a cancel request that matches no session of this node. It may
	// be nil.
	ForwardCancel          func(pid, secret uint32)
	HandshakeTimeout       time.Duration
	IdleTransactionTimeout time.Duration
	StatementTimeout       time.Duration
	WriteTimeout           time.Duration
	// CustomerShare is the part of the sessions that one customer may have (see admission.Limits).
	CustomerShare float64
	// Memory is the memory in bytes that the budgets of all sessions are parts of.
	Memory int
}

func (o *Options) setDefaults() {
	if o.HandshakeTimeout == 0 {
		o.HandshakeTimeout = DefaultHandshakeTimeout
	}
	if o.IdleTransactionTimeout == 0 {
		o.IdleTransactionTimeout = DefaultIdleTransactionTimeout
	}
	if o.StatementTimeout == 0 {
		o.StatementTimeout = DefaultStatementTimeout
	}
	if o.WriteTimeout == 0 {
		o.WriteTimeout = DefaultWriteTimeout
	}
	if o.CustomerShare == 0 {
		o.CustomerShare = 1
	}
	if o.Memory == 0 {
		o.Memory = DefaultMemory
	}
	if o.MaxExchangeBytes == 0 {
		o.MaxExchangeBytes = DefaultMaxExchangeBytes
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

// Server accepts and serves callers' connections. Its methods are safe for concurrent use.
type Server struct {
	Counters
	options Options
	budgets
	// gate decides which connections are kept.
	gate *gate.Gate
	// draining is closed when a drain begins, ending when its time is almost over.
	draining, ending chan struct{}
	// base is the parent of all connections' contexts. stop cancels it, which cancels all
	// requests and closes all connections.
	base context.Context
	stop context.CancelFunc

	mu sync.Mutex
	// conns holds the connections with a session, by process ID.
	conns     map[uint32]*conn
	listeners []net.Listener
	wait      sync.WaitGroup
	drainOnce sync.Once
	endOnce   sync.Once
}

// New returns a Server that serves no connections yet.
func New(options Options) *Server {
	options.setDefaults()
	base, stop := context.WithCancel(context.Background())
	return &Server{
		options:  options,
		draining: make(chan struct{}),
		ending:   make(chan struct{}),
		base:     base,
		stop:     stop,
		conns:    make(map[uint32]*conn),
		budgets:  newBudgets(&options),
		gate: gate.New("callers", admission.Limits{
			Connections: options.MaxConnections + extraHandshakes, Sessions: options.MaxConnections, CustomerShare: options.CustomerShare,
		}, options.Clock, options.Logger),
	}
}

// Serve accepts connections from listener until ctx ends or a Drain has finished, and then
// returns nil. It retries after other errors of Accept.
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
			if s.options.Clock.Sleep(ctx, acceptRetryDelay) != nil {
				return nil
			}
			continue
		}
		s.Handle(socket)
	}
}

// acceptRetryDelay is the pause after a failed Accept, for example when the process has run
// out of file descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// Handle serves one caller's connection in a goroutine of its own. It closes the connection
// at once if there is no room for it.
func (s *Server) Handle(socket net.Conn) {
	s.Accepted.Add(1)
	visit := s.gate.Enter(socket)
	if visit == nil {
		s.TooMany.Add(1)
		return
	}
	s.wait.Go(func() {
		defer visit.Leave()
		newConn(s, socket, visit).serve()
	})
}

// isDraining reports whether Drain has begun.
func (s *Server) isDraining() bool { return isClosed(s.draining) }

// isEnding reports whether the time of a drain is almost over.
func (s *Server) isEnding() bool { return isClosed(s.ending) }

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Drain refuses new callers, closes idle connections, and waits until running exchanges and
// transactions have finished. Shortly before ctx ends, it cancels the requests that still run, so
// that they are answered, and tells the callers of open transactions. When ctx ends first, it closes
// the remaining connections and returns an error. Listeners stay open until then, so that new callers are told of the
// shutdown.
func (s *Server) Drain(ctx context.Context) error {
	s.drainOnce.Do(func() {
		s.options.Logger.Log("event", "callers draining", "open", s.Open.Value())
		close(s.draining)
		for _, c := range s.sessionConns() {
			c.interrupt()
		}
	})
	if end, limited := ctx.Deadline(); limited {
		left := time.Until(end)
		defer time.AfterFunc(left-min(answerTime, left/4), s.endConns).Stop()
	}
	finished := make(chan struct{})
	go func() {
		s.wait.Wait()
		close(finished)
	}()
	var err error
	select {
	case <-finished:
	case <-ctx.Done():
		err = errs.New("step %s: drain timed out, closing %d connections of callers", step, s.Open.Value())
		s.stop()
		<-finished
	}
	s.closeListeners()
	s.options.Logger.Log("event", "callers drained", "err", err)
	return err
}

// answerTime is the end of a drain's time, in which requests that still run are canceled and answered.
const answerTime = 400 * time.Millisecond

// endConns ends every connection with an answer to its caller.
func (s *Server) endConns() {
	s.endOnce.Do(func() {
		close(s.ending)
		for _, c := range s.sessionConns() {
			c.interrupt()
			c.cancelRunning(errShutdown)
		}
	})
}

func (s *Server) closeListeners() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, listener := range s.listeners {
		listener.Close()
	}
}

// CloseWithdrawn closes the connections whose key has been withdrawn. It must be called
// after every change of the configuration.
func (s *Server) CloseWithdrawn() {
	for _, c := range s.sessionConns() {
		if s.options.Auth.IsKeyWithdrawn(c.session) {
			s.Swept.Add(1)
			c.closeForWithdrawnKey()
		}
	}
}

// Cancel cancels the running request, if any, of the session with this process ID and secret
// key. It reports whether this node has that session.
func (s *Server) Cancel(pid, secret uint32) bool {
	s.mu.Lock()
	c := s.conns[pid]
	s.mu.Unlock()
	if c == nil || !equalSecrets(c.secret, secret) {
		s.CancelUnknown.Add(1)
		return false
	}
	s.Cancelled.Add(1)
	c.cancelRunning(errCancelled)
	return true
}

// sessionConns returns the connections that have a session.
func (s *Server) sessionConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*conn, 0, len(s.conns))
	for _, c := range s.conns {
		all = append(all, c)
	}
	return all
}

// register gives c its session, process ID and secret key, and adds it to s.conns.
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

func (s *Server) unregister(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns[c.pid] == c {
		delete(s.conns, c.pid)
		s.Open.Add(-1)
	}
}
