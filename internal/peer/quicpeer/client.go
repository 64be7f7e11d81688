package quicpeer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/quic-go/quic-go"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/contain"
	"crocusyoke/internal/peer"
	"crocusyoke/internal/request"
)

// DelayFunc returns the artificial latency that is added in each direction to messages
// exchanged with address.
type DelayFunc func(address string) time.Duration

// linkUse is what a connection is used for.
type linkUse uint8

const (
	// useSessions is for sessions, and for calls too unless Client.SeparateCalls says otherwise.
	// The connection is kept alive, so that its loss is noticed without traffic.
	useSessions linkUse = iota
	// useCalls is for calls only.
	useCalls
)

// linkKey identifies a link.
type linkKey struct {
	address string
	use     linkUse
}

// Client calls other nodes over one connection to each address, or over two if calls have their
// own.
type Client struct {
	// Accept reports whether the node that answers at address may have the given name; nil
	// accepts every name. It must be set before the first call if no authority signs
	// certificates.
	Accept func(address, name string) bool

	// SeparateCalls reports whether calls use connections of their own, which are not kept alive.
	// In a large fleet a node calls too many others to keep all connections alive. nil means
	// no. It must be set before the first call.
	SeparateCalls func() bool

	// ReadsHaveEffects is true if what targets take for a read may change something there. A read whose answer has no
	// room is then of unknown outcome. It must be set before the first request.
	ReadsHaveEffects bool

	// Logger is told of panics. It must be set before the first call; the default logs nothing.
	Logger log.Logger

	tls       *tls.Config
	clock     clock.Clock
	delay     DelayFunc
	transport *quic.Transport

	mu     sync.Mutex
	links  map[linkKey]*link
	onLost func(address string)
}

// link is the connection to one address or the attempt to open it. ready is closed once conn
// or err is set.
type link struct {
	ready chan struct{}
	conn  *quic.Conn
	err   error
}

// isLost reports whether the attempt to connect failed or the connection has ended.
func (l *link) isLost() bool {
	select {
	case <-l.ready:
		return l.err != nil || l.conn.Context().Err() != nil
	default:
		return false
	}
}

// isOpen reports whether the connection has been established and has not ended.
func (l *link) isOpen() bool {
	select {
	case <-l.ready:
		return l.err == nil && l.conn.Context().Err() == nil
	default:
		return false
	}
}

// NewClient returns a Client that sends from packets. A nil delay adds no latency.
func NewClient(config *tls.Config, packets net.PacketConn, c clock.Clock, delay DelayFunc) *Client {
	if delay == nil {
		delay = func(string) time.Duration { return 0 }
	}
	return &Client{
		Logger:    log.NewNopLogger(),
		tls:       config,
		clock:     c,
		delay:     delay,
		transport: &quic.Transport{Conn: packets},
		links:     make(map[linkKey]*link),
	}
}

// OnConnectionLost sets the function that is called with the address of each connection that ends,
// including one that has been silent for IdleTimeout. f must not block.
func (c *Client) OnConnectionLost(f func(address string)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onLost = f
}

// Close closes all connections.
func (c *Client) Close() error {
	return c.transport.Close()
}

// Call implements peer.Caller.
func (c *Client) Call(ctx context.Context, address string, kind peer.Kind, req, reply any) error {
	payload, err := cbor.Marshal(req)
	if err != nil {
		return Error.Wrap(err)
	}
	counters.Add(counterCalls, 1)
	counters.Add(counterCallBytes, int64(len(payload)))
	delay := c.delay(address)
	if err := c.sleep(ctx, delay); err != nil {
		return err
	}
	answer, err := c.roundTrip(ctx, address, callRequest{Kind: kind, Payload: payload})
	if err != nil {
		return Error.New("call to %s: %w", address, markRefused(err))
	}
	if answer.Error != "" {
		return Error.New("call to %s: %s", address, answer.Error)
	}
	if err := c.sleep(ctx, delay); err != nil {
		return err
	}
	return Error.Wrap(cbor.Unmarshal(answer.Payload, reply))
}

// markRefused wraps err as peer.ErrRefused if the other node closed the connection on purpose.
// This shows that the other node is running, but accepts no calls from this node.
func markRefused(err error) error {
	var closed *quic.ApplicationError
	if errors.As(err, &closed) && closed.Remote {
		return peer.ErrRefused.Wrap(err)
	}
	return err
}

func (c *Client) roundTrip(ctx context.Context, address string, call callRequest) (callReply, error) {
	key := c.callKey(address)
	answer, err := c.callOver(ctx, key, call)
	if key.use == useCalls && ctx.Err() != nil {
		c.closeLink(key)
	}
	return answer, err
}

// callKey returns the key of the link for calls to address.
func (c *Client) callKey(address string) linkKey {
	if c.SeparateCalls != nil && c.SeparateCalls() {
		return linkKey{address, useCalls}
	}
	return linkKey{address, useSessions}
}

// callOver makes a call over the link with the given key.
func (c *Client) callOver(ctx context.Context, key linkKey, call callRequest) (callReply, error) {
	stream, err := c.openStream(ctx, key, streamCall)
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
	return &remoteHandler{client: c, address: address}
}

func (c *Client) sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	return c.clock.Sleep(ctx, d)
}

// openStream opens a stream of the given kind over the link with the given key, which is
// opened if needed.
func (c *Client) openStream(ctx context.Context, key linkKey, kind streamKind) (*quic.Stream, error) {
	conn, err := c.connect(ctx, key)
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

// connect returns the open connection of the link with the given key, or opens one. Concurrent
// callers share one attempt.
func (c *Client) connect(ctx context.Context, key linkKey) (*quic.Conn, error) {
	c.mu.Lock()
	l := c.links[key]
	if l == nil || l.isLost() {
		l = &link{ready: make(chan struct{})}
		c.links[key] = l
		go c.dial(key, l)
	}
	c.mu.Unlock()
	select {
	case <-l.ready:
		return l.conn, l.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *Client) dial(key linkKey, l *link) {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	l.conn, l.err = contain.Call("dial peer", func() (*quic.Conn, error) { return c.handshake(ctx, key) })
	close(l.ready)
	if l.err != nil {
		c.removeLink(key, l)
		return
	}
	c.watchLink(key, l)
}

// closeLink closes the link with the given key because a call over it was not answered in time: the
// connection may have gone silent while a new one works.
func (c *Client) closeLink(key linkKey) {
	if conn := c.openConn(key); conn != nil {
		_ = conn.CloseWithError(0, "call not answered")
	}
}

// notifyLost calls the function that OnConnectionLost set, if any.
func (c *Client) notifyLost(address string) {
	c.mu.Lock()
	onLost := c.onLost
	c.mu.Unlock()
	if onLost != nil {
		onLost(address)
	}
}

func (c *Client) handshake(ctx context.Context, key linkKey) (*quic.Conn, error) {
	address := key.address
	remoteAddr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	config := c.tls.Clone()
	config.ServerName = remoteAddr.IP.String()
	conn, err := c.transport.Dial(ctx, remoteAddr, config, clientConfig(key.use))
	if err != nil {
		return nil, err
	}
	accepted := false
	defer func() {
		if !accepted {
			_ = conn.CloseWithError(0, "another node is listed here")
		}
	}()
	p := identify(conn)
	accepted = c.Accept == nil || c.Accept(address, p.Name)
	if !accepted {
		counters.Add(counterForbidden, 1)
		return nil, Error.New("node %s answers at %s, where another node is listed", p.Name, address)
	}
	return conn, nil
}

// HoldsKey reports whether the process at address holds the key of the certificate with the given
// fingerprint. An open connection can only confirm the key, not rule it out, because it may
// lead to a former process at that address. The same holds for an attempt that is already under
// way, which may have begun before the process was replaced. Therefore only a new connection
// can yield false. A new connection that confirms the key replaces the existing one. HoldsKey
// also returns false if the new connection fails.
func (c *Client) HoldsKey(ctx context.Context, address, fingerprint string) bool {
	key := c.callKey(address)
	current := c.openConn(key)
	if current != nil && identify(current).Fingerprint == fingerprint {
		return true
	}
	fresh, err := c.handshake(ctx, key)
	if err != nil {
		return false
	}
	if identify(fresh).Fingerprint != fingerprint {
		_ = fresh.CloseWithError(0, "asked")
		return false
	}
	c.replaceLink(key, fresh)
	if current != nil {
		_ = current.CloseWithError(0, "the process there is another now")
	}
	return true
}

// openConn returns the open connection of the link with the given key, or nil if there is none.
func (c *Client) openConn(key linkKey) *quic.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.links[key]
	if l == nil || !l.isOpen() {
		return nil
	}
	return l.conn
}

// replaceLink makes conn the connection of the link with the given key.
func (c *Client) replaceLink(key linkKey, conn *quic.Conn) {
	l := &link{ready: make(chan struct{}), conn: conn}
	close(l.ready)
	c.mu.Lock()
	c.links[key] = l
	c.mu.Unlock()
	c.watchLink(key, l)
}

// watchLink counts the connection of l as dialed. When the connection ends, it removes l and, if
// the connection was kept alive, notifies the function that OnConnectionLost set.
func (c *Client) watchLink(key linkKey, l *link) {
	counters.Add(counterConnectionsDialed, 1)
	context.AfterFunc(l.conn.Context(), func() {
		counters.Add(counterConnectionsLost, 1)
		c.removeLink(key, l)
		if key.use == useSessions {
			contain.Step(c.Logger, "lost peer", func() { c.notifyLost(key.address) })
		}
	})
}

func (c *Client) removeLink(key linkKey, l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links[key] == l {
		delete(c.links, key)
	}
}
