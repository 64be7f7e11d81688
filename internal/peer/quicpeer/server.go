package quicpeer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/quic-go/quic-go"

	"crocusyoke/internal/budget"
	"crocusyoke/internal/clock"
	"crocusyoke/internal/contain"
	"crocusyoke/internal/peer"
	"crocusyoke/internal/request"
)

// Timeouts and limits of a connection.
const (
	// IdleTimeout is how long a connection that carries sessions may be silent before it is closed.
	IdleTimeout = 600 * time.Millisecond
	// KeepAliveInterval is the interval between keep-alive packets on such a connection.
	KeepAliveInterval = 200 * time.Millisecond
	// controlIdleTimeout is how long a connection that carries only calls stays open unused. It
	// has no keep-alive packets: a call that is not answered shows that it is dead.
	controlIdleTimeout = 20 * time.Second
	// handshakeTimeout is the timeout for opening a connection.
	handshakeTimeout = 2 * time.Second
	// maxStreams is the maximum number of streams that a peer may have open at once on a
	// connection.
	maxStreams = 1 << 16
	// callTimeout is the timeout for serving a control call.
	callTimeout = 5 * time.Second
	// streamWindow and connectionWindow are the maximum flow-control windows in bytes.
	streamWindow     = 8 << 20
	connectionWindow = 64 << 20
)

// answerLimits bound the answers to the sessions of all other nodes until they are sent, in bytes, unless LimitAnswers
// says otherwise.
var answerLimits = budget.Limits{Share: 4 << 10, Common: 16 << 20}

// serverConfig returns the configuration of accepted connections. The idle timeout of a connection
// is the lower one of both ends, so the client decides.
func serverConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:       handshakeTimeout,
		MaxIdleTimeout:             controlIdleTimeout,
		MaxIncomingStreams:         maxStreams,
		MaxIncomingUniStreams:      -1,
		MaxStreamReceiveWindow:     streamWindow,
		MaxConnectionReceiveWindow: connectionWindow,
		// Its probes cost more than most connections carry in all.
		DisablePathMTUDiscovery: true,
	}
}

// clientConfig returns the configuration of dialed connections for use.
func clientConfig(use linkUse) *quic.Config {
	config := serverConfig()
	if use == useSessions {
		config.MaxIdleTimeout = IdleTimeout
		config.KeepAlivePeriod = KeepAliveInterval
	}
	return config
}

// Server serves the calls and sessions of other nodes, and the calls of operators.
type Server struct {
	self string
	// Allow reports whether p may connect; nil allows everyone. It may block, for example to
	// check with the node that is listed under p's name. It must be set before Serve if no
	// authority signs certificates.
	Allow func(ctx context.Context, p Peer) bool
	// ResetKey lets a restarted node end the connections of its former process at once. It is
	// nil if the next process can't know the key.
	ResetKey *quic.StatelessResetKey
	// Logger is told of panics. It must be set before Serve; the default logs nothing.
	Logger   log.Logger
	tls      *tls.Config
	clock    clock.Clock
	sessions request.Handler
	handlers map[peer.Kind]handler
	wait     sync.WaitGroup
	// answers is the budget of the answers to sessions until they are sent.
	answers *budget.Budget
	// answering counts the requests of sessions that are being served or answered.
	answering atomic.Int64
	// strangers bounds the connections that are not yet allowed.
	strangers strangers

	mu sync.Mutex
	// activeSessions holds the sessions that have a stream, by session ID.
	activeSessions map[string]*session
}

type handler struct {
	serve           peer.ServeFunc
	allowsOperators bool
}

// NewServer returns a Server that passes the requests of sessions to the handler sessions. self
// is the node's name.
func NewServer(self string, config *tls.Config, c clock.Clock, sessions request.Handler) *Server {
	return &Server{
		Logger:         log.NewNopLogger(),
		self:           self,
		tls:            config,
		clock:          c,
		sessions:       sessions,
		handlers:       make(map[peer.Kind]handler),
		answers:        budget.New(answerLimits),
		activeSessions: make(map[string]*session),
	}
}

// LimitAnswers makes size what the answers to the sessions of all other nodes may hold beyond their shares, in bytes. It
// must be called before Serve.
func (s *Server) LimitAnswers(size int) {
	s.answers = budget.New(budget.Limits{Share: answerLimits.Share, Common: size})
}

// Handle sets the function that handles calls of the given kind from nodes, and from operators
// too if allowOperators is true. It must be called before Serve.
func (s *Server) Handle(kind peer.Kind, allowOperators bool, serve peer.ServeFunc) {
	s.handlers[kind] = handler{serve: serve, allowsOperators: allowOperators}
}

// Serve accepts connections on packets until ctx ends, and then waits for the connections and
// streams that are being served.
func (s *Server) Serve(ctx context.Context, packets net.PacketConn) error {
	transport := &quic.Transport{
		Conn: packets, StatelessResetKey: s.ResetKey,
		VerifySourceAddress: s.strangers.mustValidate, ConnContext: s.strangers.begin,
	}
	listener, err := transport.Listen(s.tls, serverConfig())
	if err != nil {
		return Error.Wrap(err)
	}
	defer s.wait.Wait()
	defer transport.Close()
	defer listener.Close()
	defer s.awaitAnswers(ctx)
	for {
		conn, err := listener.Accept(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return Error.Wrap(err)
		}
		counters.Add(counterConnectionsAccepted, 1)
		s.wait.Go(func() {
			contain.Step(s.Logger, "serve peer", func() { s.serveConn(ctx, conn) })
		})
	}
}

func (s *Server) serveConn(ctx context.Context, conn *quic.Conn) {
	defer conn.CloseWithError(0, "done")
	caller := identify(conn)
	if s.Allow != nil && !s.Allow(ctx, caller) {
		counters.Add(counterForbidden, 1)
		return
	}
	s.strangers.allow(conn)
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			s.awaitAnswers(ctx)
			return
		}
		s.wait.Go(func() {
			contain.Step(s.Logger, "serve stream", func() { s.serveStream(ctx, caller, stream) })
		})
	}
}

const (
	// maxAnswerWait bounds the wait for answers to sessions at the server's end.
	maxAnswerWait = 100 * time.Millisecond
	// answerSendTime is how long the server keeps its connections after the last answer to a session was
	// written, since closing a connection drops what has not been sent.
	answerSendTime = 20 * time.Millisecond
	answerPoll     = time.Millisecond
)

// awaitAnswers waits for the answers of requests that end with the server, if ctx has ended, and until
// they are sent.
func (s *Server) awaitAnswers(ctx context.Context) {
	if ctx.Err() == nil {
		return
	}
	background := context.WithoutCancel(ctx)
	end := s.clock.Now().Add(maxAnswerWait)
	for s.answering.Load() > 0 && s.clock.Now().Before(end) {
		_ = s.clock.Sleep(background, answerPoll)
	}
	_ = s.clock.Sleep(background, answerSendTime)
}

func (s *Server) serveStream(ctx context.Context, caller Peer, stream *quic.Stream) {
	defer stream.Close()
	defer stream.CancelRead(0)
	reader := newFrameReader(stream)
	first, err := reader.in.ReadByte()
	if err != nil {
		return
	}
	kind := streamKind(first)
	if kind != streamCall && caller.Role != RoleNode {
		counters.Add(counterForbidden, 1)
		return
	}
	switch kind {
	case streamCall:
		s.serveCall(ctx, caller, reader, stream)
	case streamSession:
		s.serveSession(ctx, reader, stream)
	case streamCancel:
		s.serveCancel(reader)
	default:
		counters.Add(counterMalformed, 1)
	}
}

func (s *Server) serveCall(ctx context.Context, caller Peer, reader *frameReader, stream *quic.Stream) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var call callRequest
	if err := reader.read(&call); err != nil {
		counters.Add(counterMalformed, 1)
		return
	}
	reply := s.answerCall(ctx, caller, call)
	if err := writeFrame(stream, reply); err != nil {
		counters.Add(counterBrokenStreams, 1)
	}
}

func (s *Server) answerCall(ctx context.Context, caller Peer, call callRequest) callReply {
	h, ok := s.handlers[call.Kind]
	if !ok {
		return callReply{Error: "unknown kind of call"}
	}
	if caller.Role != RoleNode && !(h.allowsOperators && caller.Role == RoleOperator) {
		counters.Add(counterForbidden, 1)
		return callReply{Error: "forbidden for this certificate"}
	}
	answer, err := contain.Call("serve call", func() (any, error) { return h.serve(ctx, caller.Name, call.Payload) })
	if err != nil {
		return callReply{Error: err.Error()}
	}
	payload, err := cbor.Marshal(answer)
	if err != nil {
		return callReply{Error: err.Error()}
	}
	return callReply{Payload: payload}
}
