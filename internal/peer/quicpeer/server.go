package quicpeer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/peer"
	"crocusyoke/internal/request"
)

// Limits of one connection.
const (
	// IdleTimeout is how long a connection may stay silent.
	IdleTimeout = 600 * time.Millisecond
	// KeepAlive is the pause between two probes of a quiet connection.
	KeepAlive = 200 * time.Millisecond
	// handshakeTimeout bounds the opening of a connection.
	handshakeTimeout = 2 * time.Second
	// maxStreams is the most streams that a peer may have open at once.
	maxStreams = 1 << 16
	// callTimeout bounds the serving of one control call.
	callTimeout = 5 * time.Second
	// streamWindow and connectionWindow bound what may be under way, in bytes.
	streamWindow     = 8 << 20
	connectionWindow = 64 << 20
)

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:       handshakeTimeout,
		MaxIdleTimeout:             IdleTimeout,
		KeepAlivePeriod:            KeepAlive,
		MaxIncomingStreams:         maxStreams,
		MaxIncomingUniStreams:      -1,
		MaxStreamReceiveWindow:     streamWindow,
		MaxConnectionReceiveWindow: connectionWindow,
	}
}

// Server hears other nodes and operators.
type Server struct {
	self string
	// Allow reports whether p may connect; nil means always. It may ask the node that is
	// listed under p's name. Set it before Serve where no authority signs certificates.
	Allow func(ctx context.Context, p Peer) bool
	// ResetKey lets a node that starts again end the connections of its former process at
	// once; nil where the next process can't know the key.
	ResetKey *quic.StatelessResetKey
	tls      *tls.Config
	clock    clock.Clock
	sessions request.Handler
	handlers map[peer.Kind]handler
	wait     sync.WaitGroup

	mu sync.Mutex
	// running holds the sessions with a stream, by their name.
	running map[string]*session
}

type handler struct {
	serve     peer.ServeFunc
	operators bool
}

// NewServer returns a Server that serves sessions' requests by sessions. self is the
// node's name. Handle is called before Serve.
func NewServer(self string, config *tls.Config, c clock.Clock, sessions request.Handler) *Server {
	return &Server{
		self:     self,
		tls:      config,
		clock:    c,
		sessions: sessions,
		handlers: make(map[peer.Kind]handler),
		running:  make(map[string]*session),
	}
}

// Handle sets the function that answers calls of kind from nodes, and from operators
// too if operators is true.
func (s *Server) Handle(kind peer.Kind, operators bool, serve peer.ServeFunc) {
	s.handlers[kind] = handler{serve: serve, operators: operators}
}

// Serve accepts connections on packets until ctx ends, then waits for what runs.
func (s *Server) Serve(ctx context.Context, packets net.PacketConn) error {
	transport := &quic.Transport{Conn: packets, StatelessResetKey: s.ResetKey}
	listener, err := transport.Listen(s.tls, quicConfig())
	if err != nil {
		return Error.Wrap(err)
	}
	defer s.wait.Wait()
	defer transport.Close()
	defer listener.Close()
	for {
		conn, err := listener.Accept(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return Error.Wrap(err)
		}
		count.Add(countAccepted, 1)
		s.wait.Go(func() { s.serveConn(ctx, conn) })
	}
}

func (s *Server) serveConn(ctx context.Context, conn *quic.Conn) {
	defer conn.CloseWithError(0, "done")
	id := identify(conn)
	if s.Allow != nil && !s.Allow(ctx, id) {
		count.Add(countForbidden, 1)
		return
	}
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		s.wait.Go(func() { s.serveStream(ctx, id, stream) })
	}
}

func (s *Server) serveStream(ctx context.Context, id Peer, stream *quic.Stream) {
	defer stream.Close()
	defer stream.CancelRead(0)
	reader := newFrameReader(stream)
	first, err := reader.in.ReadByte()
	if err != nil {
		return
	}
	kind := streamKind(first)
	if kind != streamCall && id.Role != RoleNode {
		count.Add(countForbidden, 1)
		return
	}
	switch kind {
	case streamCall:
		s.serveCall(ctx, id, reader, stream)
	case streamSession:
		s.serveSession(ctx, reader, stream)
	case streamCancel:
		s.serveCancel(reader)
	default:
		count.Add(countMalformed, 1)
	}
}

func (s *Server) serveCall(ctx context.Context, id Peer, reader *frameReader, stream *quic.Stream) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var call callRequest
	if err := reader.read(&call); err != nil {
		count.Add(countMalformed, 1)
		return
	}
	reply := s.answerCall(ctx, id, call)
	if err := writeFrame(stream, reply); err != nil {
		count.Add(countBroken, 1)
	}
}

func (s *Server) answerCall(ctx context.Context, id Peer, call callRequest) callReply {
	h, ok := s.handlers[call.Kind]
	if !ok {
		return callReply{Error: "unknown kind of call"}
	}
	if id.Role != RoleNode && !(h.operators && id.Role == RoleOperator) {
		count.Add(countForbidden, 1)
		return callReply{Error: "forbidden for this certificate"}
	}
	answer, err := h.serve(ctx, id.Name, call.Payload)
	if err != nil {
		return callReply{Error: err.Error()}
	}
	payload, err := cbor.Marshal(answer)
	if err != nil {
		return callReply{Error: err.Error()}
	}
	return callReply{Payload: payload}
}
