package front

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/request"
)

// longAnswer is more than a caller's receive buffer takes before the caller reads.
var longAnswer = strings.Repeat("x", 1<<20)

// closeWait is how long a test waits for a close that must not discard anything.
const closeWait = 100 * time.Millisecond

// drainedSession is a session over TCP whose server begins to stop while a statement runs.
type drainedSession struct {
	t       *testing.T
	conn    net.Conn
	in      *bufio.Reader
	goOn    chan struct{}
	drained chan error
	served  chan error
}

// drainDuringStatement begins a session over the connection that dial returns, sends a statement and tells
// the server to stop. The statement's answer is sent once goOn is closed.
func drainDuringStatement(t *testing.T, answer string, dial func(address string) string) *drainedSession {
	t.Helper()
	began, goOn := make(chan struct{}), make(chan struct{})
	c := &fakeChain{answer: func(*request.Request, *Call) (*request.Response, error) {
		close(began)
		<-goOn
		return &request.Response{Messages: []byte(answer), TxStatus: txIdle}, nil
	}}
	s := newServer(c, nil)
	s.options.NewCodec = newWordCodec
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	d := &drainedSession{t: t, goOn: goOn, drained: make(chan error, 1), served: make(chan error, 1)}
	go func() { d.served <- s.Serve(context.Background(), listener) }()
	d.conn, err = net.Dial("tcp", dial(listener.Addr().String()))
	must.NoError(t, err)
	t.Cleanup(func() { _ = d.conn.Close() })
	must.NoError(t, d.conn.SetDeadline(time.Now().Add(20*time.Second)))
	d.in = bufio.NewReader(d.conn)
	d.send("startup")
	must.Eq(t, "welcome", d.receive())
	d.send("r")
	<-began
	go func() { d.drained <- s.Drain(context.Background()) }()
	for !s.isDraining() {
		time.Sleep(time.Millisecond)
	}
	return d
}

func (d *drainedSession) send(text string) {
	d.t.Helper()
	_, err := io.WriteString(d.conn, text+"\n")
	must.NoError(d.t, err)
}

func (d *drainedSession) receive() string {
	d.t.Helper()
	line, err := d.in.ReadString('\n')
	must.NoError(d.t, err)
	return strings.TrimSuffix(line, "\n")
}

// sendEarly sends a message before the answer, and lets the server answer once it has received it.
func (d *drainedSession) sendEarly(text string) {
	d.t.Helper()
	d.send(text)
	time.Sleep(closeWait)
	close(d.goOn)
	time.Sleep(closeWait)
}

// finish checks that the connection ends, and that the server stops.
func (d *drainedSession) finish() {
	d.t.Helper()
	_, err := d.in.ReadByte()
	must.ErrorIs(d.t, err, io.EOF)
	_ = d.conn.Close()
	must.NoError(d.t, <-d.drained)
	must.NoError(d.t, <-d.served)
}

func directly(address string) string { return address }

// TestCloseDropsAnAnswerThatWasWritten guards against a connection that is closed while input is unread: the
// kernel then resets it and discards the part of the last answer that is still to be sent.
func TestCloseDropsAnAnswerThatWasWritten(t *testing.T) {
	d := drainDuringStatement(t, longAnswer, directly)
	d.sendEarly("bye")
	must.Eq(t, len(longAnswer), len(d.receive()))
	d.finish()
}

// forwardDelay is the delay that a forwarder adds to what the server sends.
const forwardDelay = 50 * time.Millisecond

// forwarder passes on one connection. What the server sends arrives after forwardDelay. A reset by the
// server ends both sides at once, and so does cut, with what is still on its way.
type forwarder struct {
	listener net.Listener
	cut      chan struct{}
}

func newForwarder(t *testing.T) *forwarder {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return &forwarder{listener: listener, cut: make(chan struct{})}
}

// forwardTo begins to forward to address and returns the address to connect to.
func (f *forwarder) forwardTo(address string) string {
	go func() {
		caller, err := f.listener.Accept()
		if err != nil {
			return
		}
		defer caller.Close()
		server, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		defer server.Close()
		go func() {
			_, _ = io.Copy(server, caller)
			_ = server.(*net.TCPConn).CloseWrite()
		}()
		if forwardDelayed(caller, server) {
			<-f.cut
		}
	}()
	return f.listener.Addr().String()
}

// delivery is something that reaches the caller at a time.
type delivery struct {
	at      time.Time
	deliver func()
}

// forwardDelayed passes on what server sends until it ends, in order. It reports false upon a reset.
func forwardDelayed(caller, server net.Conn) bool {
	deliveries := make(chan delivery, 64)
	defer close(deliveries)
	go func() {
		for d := range deliveries {
			time.Sleep(time.Until(d.at))
			d.deliver()
		}
	}()
	buffer := make([]byte, 4<<10)
	for {
		n, err := server.Read(buffer)
		part := string(buffer[:n])
		deliveries <- delivery{time.Now().Add(forwardDelay), func() { _, _ = io.WriteString(caller, part) }}
		if errors.Is(err, io.EOF) {
			deliveries <- delivery{time.Now().Add(2 * forwardDelay), func() { _ = caller.(*net.TCPConn).CloseWrite() }}
			return true
		}
		if err != nil {
			return false
		}
	}
}

// TestResetOvertakesAnAnswer guards against the same for a short answer that has left the server: a forwarder
// behind it may drop the answer when the reset arrives.
func TestResetOvertakesAnAnswer(t *testing.T) {
	f := newForwarder(t)
	defer close(f.cut)
	d := drainDuringStatement(t, "ok", f.forwardTo)
	d.sendEarly("bye")
	must.Eq(t, "ok", d.receive())
	d.finish()
}

// TestStopEndsBeforeItsLastAnswerArrives guards against a process that ends while its last answer is still on
// its way: the platform may end the connections of a machine whose process is gone.
func TestStopEndsBeforeItsLastAnswerArrives(t *testing.T) {
	f := newForwarder(t)
	d := drainDuringStatement(t, "ok", f.forwardTo)
	stopped := make(chan error, 1)
	go func() {
		stopped <- <-d.drained
		close(f.cut)
	}()
	close(d.goOn)
	must.Eq(t, "ok", d.receive())
	_, err := d.in.ReadByte()
	must.ErrorIs(t, err, io.EOF)
	_ = d.conn.Close()
	must.NoError(t, <-stopped)
	must.NoError(t, <-d.served)
}
