package pgfront

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"crocusyoke/internal/filter/auth"
	"crocusyoke/internal/request"
	"crocusyoke/internal/statement"
)

var (
	errCancelled = errors.New("cancelled at the caller's request")
	errGone      = errors.New("the caller is gone")
	errSwept     = errors.New("the key has been withdrawn")
)

// Transaction statuses.
const (
	txIdle   = 'I'
	txOpen   = 'T'
	txFailed = 'E'
)

// conn is one caller's connection. Its fields belong to the goroutine of serve, but for
// what mu guards, and frames, which belongs to watch while a request runs.
type conn struct {
	server  *Server
	options *Options
	socket  net.Conn
	frames  *frames
	secure  bool
	// placed says that the connection holds one of the server's places. The server's
	// mutex guards it.
	placed bool

	session  string
	pid      uint32
	secret   uint32
	identity auth.Identity
	service  string

	variables  variables
	statements statement.Statements
	// tx is the transaction status that the caller sees.
	tx byte
	// lost is true while tx is txFailed and no target holds the transaction any more.
	lost bool
	// flushing is true while the exchange in hand ended with a Flush.
	flushing bool
	// skipping is true after an error until the caller's Sync.
	skipping bool
	// begun is the answer to an exchange's first part when its second one is refused.
	begun    []byte
	sequence uint64
	prepared bool // the last exchange was a preparation that was not charged
	request  request.Request
	out      []byte

	ctx    context.Context
	cancel context.CancelFunc
	watch  watch

	mu      sync.Mutex
	running context.CancelFunc
	cause   error
	// swept is true when the caller's key has been withdrawn.
	swept bool
	// reading is true while the next exchange is waited for, idle if that is outside a
	// transaction.
	reading, idle bool
}

func newConn(s *Server, socket net.Conn) *conn {
	ctx, cancel := context.WithCancel(s.base)
	context.AfterFunc(ctx, func() {
		if s.base.Err() != nil {
			socket.Close()
		}
	})
	return &conn{
		server:  s,
		options: &s.options,
		socket:  socket,
		frames:  newFrames(socket),
		tx:      txIdle,
		ctx:     ctx,
		cancel:  cancel,
	}
}

// serve serves the connection to its end.
func (c *conn) serve() {
	defer c.cancel()
	defer func() { c.socket.Close() }()
	if c.start() {
		c.loop()
	}
	c.release()
	c.closeWrite()
	c.discard()
}

// release gives up all that is held for the connection.
func (c *conn) release() {
	c.server.vacate(c)
	if c.session == "" {
		return
	}
	c.server.forget(c)
	c.options.Chain.End(c.session)
}

// closeWrite ends the connection towards the caller, who has lingerTimeout to read its
// last message.
func (c *conn) closeWrite() {
	wait := lingerTimeout
	half, ok := c.socket.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		wait = 0
	}
	c.socket.SetReadDeadline(time.Now().Add(wait))
}

// discard drops what the caller still sends: closing a socket that holds unread data
// would take the last message away from the caller.
func (c *conn) discard() {
	_, _ = io.Copy(io.Discard, c.frames.in)
}

// loop serves exchanges until the connection is to end.
func (c *conn) loop() {
	var e exchange
	for c.next(&e) {
		if e.err != nil {
			c.endOn(e.err)
			return
		}
		if !c.exchange(&e) {
			return
		}
	}
}

// endOn ends the connection on what the reader met.
func (c *conn) endOn(err error) {
	switch {
	case errTooLarge.Has(err):
		c.server.TooLarge.Add(1)
		c.fatal(request.Refuse(request.CodeTooLarge, step, "", "%s", err))
	case errProtocol.Has(err):
		c.server.BadProtocol.Add(1)
		c.fatal(request.Refuse(request.CodeProtocol, step, "", "%s", err))
	}
}

// write writes a whole answer. It reports false if the caller is gone.
func (c *conn) write(out []byte) bool {
	c.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.socket.Write(out)
	return err == nil
}

// send writes an answer that was built in c.out, and keeps the buffer.
func (c *conn) send(out []byte) bool {
	if cap(out) <= keptBuffer {
		c.out = out
	}
	return c.write(c.trim(out))
}

// fatal writes a refusal that ends the connection.
func (c *conn) fatal(r *request.Refusal) {
	c.server.Refused.Add(r.Code.Name, 1)
	// A caller that is told of the end may connect again at once.
	c.server.vacate(c)
	c.write(refusal(nil, severityFatal, r))
}

// sweep ends the connection: at once if it is idle, else after its running request,
// which may go on for sweepGrace.
func (c *conn) sweep() {
	c.mu.Lock()
	first := !c.swept
	c.swept = true
	c.mu.Unlock()
	if !first {
		return
	}
	c.interrupt()
	time.AfterFunc(sweepGrace, func() { c.cancelRunning(errSwept) })
}

// cancelRunning cancels the request that runs now, if any.
func (c *conn) cancelRunning(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running != nil {
		c.cause = cause
		c.running()
	}
}

// setRunning notes how to cancel the request that begins, nil at its end, and returns
// why the last one was cancelled, or nil.
func (c *conn) setRunning(cancel context.CancelFunc) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	cause := c.cause
	c.running = cancel
	c.cause = nil
	return cause
}

func withdrawn() *request.Refusal {
	return request.Refuse(request.CodeBadKey, step, "", "the key of this session has been withdrawn")
}

func isRefusal(err error) bool {
	var r *request.Refusal
	return errors.As(err, &r)
}
