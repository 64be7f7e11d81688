package quicpeer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/peer"
	"crocusyoke/internal/request"
)

// DelayFunc returns the latency that is added one way to messages to address.
type DelayFunc func(address string) time.Duration

// Client calls other nodes over one connection each.
type Client struct {
	// Accept reports whether a node that answers at address may be called name; nil means
	// always. Set it before the first call where no authority signs certificates.
	Accept func(address, name string) bool

	tls       *tls.Config
	clock     clock.Clock
	delay     DelayFunc
	transport *quic.Transport

	mu    sync.Mutex
	conns map[string]*link
	lost  func(address string)
}

// link is the connection to one address, or the attempt to open it.
type link struct {
	ready chan struct{}
	conn  *quic.Conn
	err   error
}

// lost reports whether the connection was open and is no more.
func (l *link) lost() bool {
	select {
	case <-l.ready:
		return l.err != nil || l.conn.Context().Err() != nil
	default:
		return false
	}
}

// open reports whether the connection stands.
func (l *link) open() bool {
	select {
	case <-l.ready:
		return l.err == nil && l.conn.Context().Err() == nil
	default:
		return false
	}
}

// NewClient returns a Client that sends from packets. delay may be nil.
func NewClient(config *tls.Config, packets net.PacketConn, c clock.Clock, delay DelayFunc) *Client {
	if delay == nil {
		delay = func(string) time.Duration { return 0 }
	}
	return &Client{
		tls:       config,
		clock:     c,
		delay:     delay,
		transport: &quic.Transport{Conn: packets},
		conns:     make(map[string]*link),
	}
}

// OnLost has f called whenever an open connection to address breaks or goes silent. f must
// not block.
func (c *Client) OnLost(f func(address string)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = f
}

// Close ends all connections.
func (c *Client) Close() error {
	return c.transport.Close()
}

// Call implements peer.Caller.
func (c *Client) Call(ctx context.Context, address string, kind peer.Kind, req, reply any) error {
	payload, err := cbor.Marshal(req)
	if err != nil {
		return Error.Wrap(err)
	}
	count.Add(countCalls, 1)
	count.Add(countCallBytes, int64(len(payload)))
	delay := c.delay(address)
	if err := c.pause(ctx, delay); err != nil {
		return err
	}
	answer, err := c.call(ctx, address, callRequest{Kind: kind, Payload: payload})
	if err != nil {
		return Error.New("call to %s: %w", address, told(err))
	}
	if answer.Error != "" {
		return Error.New("call to %s: %s", address, answer.Error)
	}
	if err := c.pause(ctx, delay); err != nil {
		return err
	}
	return Error.Wrap(cbor.Unmarshal(answer.Payload, reply))
}

// told marks an error that the other end caused on purpose: it runs, and takes no calls from
// this node.
func told(err error) error {
	var closed *quic.ApplicationError
	if errors.As(err, &closed) && closed.Remote {
		return peer.Refused.Wrap(err)
	}
	return err
}

func (c *Client) call(ctx context.Context, address string, call callRequest) (callReply, error) {
	stream, err := c.open(ctx, address, streamCall)
	if err != nil {
		return callReply{}, err
	}
	defer stream.CancelRead(0)
	stop := context.AfterFunc(ctx, func() { stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := writeFrame(stream, call); err != nil {
		stream.CancelWrite(0)
		return callReply{}, err
	}
	stream.Close()
	var answer callReply
	err = newFrameReader(stream).read(&answer)
	return answer, err
}

// Open implements peer.Sessions.
func (c *Client) Open(address string) request.Handler {
	return &remote{client: c, address: address}
}

func (c *Client) pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	return c.clock.Sleep(ctx, d)
}

// open returns a new stream of the given kind to address.
func (c *Client) open(ctx context.Context, address string, kind streamKind) (*quic.Stream, error) {
	conn, err := c.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	if _, err := stream.Write([]byte{byte(kind)}); err != nil {
		return nil, err
	}
	return stream, nil
}

// connect returns the live connection to address; attempts are shared.
func (c *Client) connect(ctx context.Context, address string) (*quic.Conn, error) {
	c.mu.Lock()
	l := c.conns[address]
	if l == nil || l.lost() {
		l = &link{ready: make(chan struct{})}
		c.conns[address] = l
		go c.dial(address, l)
	}
	c.mu.Unlock()
	select {
	case <-l.ready:
		return l.conn, l.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *Client) dial(address string, l *link) {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	l.conn, l.err = c.handshake(ctx, address)
	close(l.ready)
	if l.err != nil {
		c.forget(address, l)
		return
	}
	c.watch(address, l)
}

// tell passes on that the connection to address is lost.
func (c *Client) tell(address string) {
	c.mu.Lock()
	lost := c.lost
	c.mu.Unlock()
	if lost != nil {
		lost(address)
	}
}

func (c *Client) handshake(ctx context.Context, address string) (*quic.Conn, error) {
	remoteAddr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	config := c.tls.Clone()
	config.ServerName = remoteAddr.IP.String()
	conn, err := c.transport.Dial(ctx, remoteAddr, config, quicConfig())
	if err != nil {
		return nil, err
	}
	p := identify(conn)
	if c.Accept != nil && !c.Accept(address, p.Name) {
		count.Add(countForbidden, 1)
		_ = conn.CloseWithError(0, "another node is listed here")
		return nil, Error.New("node %s answers at %s, where another is listed", p.Name, address)
	}
	return conn, nil
}

// Proves reports whether the node at address has the key of the certificate with this
// fingerprint. A link that is open may lead to a former process there, and an attempt under
// way may have begun before this one: only a new connection says no. One that says yes serves
// as the link from then on.
func (c *Client) Proves(ctx context.Context, address, fingerprint string) bool {
	linked := c.live(address)
	if linked != nil && identify(linked).Fingerprint == fingerprint {
		return true
	}
	anew, err := c.handshake(ctx, address)
	if err != nil {
		return false
	}
	if identify(anew).Fingerprint != fingerprint {
		_ = anew.CloseWithError(0, "asked")
		return false
	}
	c.adopt(address, anew)
	if linked != nil {
		_ = linked.CloseWithError(0, "the process there is another now")
	}
	return true
}

// live returns the open connection to address, nil without one.
func (c *Client) live(address string) *quic.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.conns[address]
	if l == nil || !l.open() {
		return nil
	}
	return l.conn
}

// adopt makes conn the link to address.
func (c *Client) adopt(address string, conn *quic.Conn) {
	l := &link{ready: make(chan struct{}), conn: conn}
	close(l.ready)
	c.mu.Lock()
	c.conns[address] = l
	c.mu.Unlock()
	c.watch(address, l)
}

// watch forgets the link l to address once it is lost, and passes that on.
func (c *Client) watch(address string, l *link) {
	count.Add(countDialed, 1)
	context.AfterFunc(l.conn.Context(), func() {
		count.Add(countLost, 1)
		c.forget(address, l)
		c.tell(address)
	})
}

func (c *Client) forget(address string, l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == l {
		delete(c.conns, address)
	}
}
