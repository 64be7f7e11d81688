package link

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("link")

// Direction is a direction of a Link.
type Direction int

// The directions: from the end that connects to the target, and back.
const (
	Forward Direction = iota
	Backward
	directions
)

// NoCut is the number of bytes for SetCut after which no connection is cut.
const NoCut = -1

// Options configures a Link.
type Options struct {
	// Delay is how long bytes are under way, for each direction.
	Delay [directions]time.Duration
	// ResetOvertakes makes a reset discard the bytes that are under way.
	ResetOvertakes bool
}

// Symmetric returns options with the same delay in both directions.
func Symmetric(delay time.Duration) Options {
	return Options{Delay: [directions]time.Duration{delay, delay}}
}

// Link forwards the connections that it accepts to a target. Its methods are safe for concurrent use.
type Link struct {
	target   string
	options  Options
	listener net.Listener
	held     [directions]atomic.Bool
	wait     sync.WaitGroup

	mu     sync.Mutex
	cut    [directions]int64
	closed bool
	open   map[*socket]struct{}
	// passages holds the carriers of the last connection from each address, ended ones too.
	passages map[string][directions]*carrier
}

// Listen starts a Link on a free port of the loopback interface. The caller must call Close.
func Listen(target string, options Options) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	l := &Link{
		target: target, options: options, listener: listener,
		cut: [directions]int64{NoCut, NoCut}, open: make(map[*socket]struct{}), passages: make(map[string][directions]*carrier),
	}
	l.wait.Go(l.accept)
	return l, nil
}

// Address returns the IP:port at which the target is reached through the link.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Hold holds a direction back, or lets it go on: nothing that is sent arrives meanwhile, nor does the end
// of a stream or a reset.
func (l *Link) Hold(direction Direction, held bool) { l.held[direction].Store(held) }

// SetCut makes the connections that are accepted from now on end with a reset at both ends, once so many
// bytes have passed in a direction. NoCut ends that.
func (l *Link) SetCut(direction Direction, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[direction] = bytes
}

// Passage returns when the link last delivered bytes to the target on the connection from an address, and
// when it saw the target's stream end, as exactly as this process can tell; zero times if it has not.
func (l *Link) Passage(from string) (delivered, ended time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	carriers, ok := l.passages[from]
	if !ok {
		return delivered, ended
	}
	return timeOf(carriers[Forward].deliveredAt.Load()), timeOf(carriers[Backward].endSeenAt.Load())
}

func timeOf(nanoseconds int64) time.Time {
	if nanoseconds == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanoseconds)
}

// Reset resets all open connections at both ends.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for s := range l.open {
		s.Reset()
	}
}

// Close ends the link and resets its connections.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	for direction := range l.held {
		l.held[direction].Store(false)
	}
	_ = l.listener.Close()
	l.Reset()
	l.wait.Wait()
}

func (l *Link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.wait.Go(func() { l.forward(conn) })
	}
}

// dialTimeout bounds the wait for the target to accept a connection.
const dialTimeout = 2 * time.Second

// forward connects to the target and carries both directions until they have ended. If the target can't
// be reached, the connection is reset.
func (l *Link) forward(conn net.Conn) {
	near := &socket{conn.(*net.TCPConn)}
	defer near.Close()
	dialed, err := net.DialTimeout("tcp", l.target, dialTimeout)
	if err != nil {
		near.Reset()
		return
	}
	far := &socket{dialed.(*net.TCPConn)}
	defer far.Close()
	if !l.register(near, far) {
		near.Reset()
		far.Reset()
		return
	}
	defer l.unregister(near, far)
	var wait sync.WaitGroup
	forward, backward := l.carrier(near, far, Forward), l.carrier(far, near, Backward)
	forward.reverse, backward.reverse = backward, forward
	l.mu.Lock()
	l.passages[conn.RemoteAddr().String()] = [directions]*carrier{forward, backward}
	l.mu.Unlock()
	wait.Go(forward.run)
	wait.Go(backward.run)
	wait.Wait()
}

func (l *Link) carrier(from, to *socket, direction Direction) *carrier {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &carrier{
		from: from, to: to, delay: l.options.Delay[direction], remaining: l.cut[direction],
		isHeld: l.held[direction].Load, resetOvertakes: l.options.ResetOvertakes,
	}
}

// register notes open sockets. It reports false if the link is closed.
func (l *Link) register(sockets ...*socket) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range sockets {
		l.open[s] = struct{}{}
	}
	return !l.closed
}

func (l *Link) unregister(sockets ...*socket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range sockets {
		delete(l.open, s)
	}
}

// socket is an end that is a TCP connection.
type socket struct{ *net.TCPConn }

// Reset implements end.
func (s *socket) Reset() {
	_ = s.SetLinger(0)
	_ = s.Close()
}
