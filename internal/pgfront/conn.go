package pgfront

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"crocusyoke/internal/budget"
	"crocusyoke/internal/filter/auth"
	"crocusyoke/internal/request"
	"crocusyoke/internal/run/gate"
	"crocusyoke/internal/statement"
)

var (
	errCancelled    = errors.New("cancelled at the caller's request")
	errDisconnected = errors.New("the caller has disconnected")
	errShutdown     = errors.New("this node is shutting down")
	errKeyWithdrawn = errors.New("the key has been withdrawn")
)

// Transaction statuses as in ReadyForQuery.
const (
	txIdle   = 'I'
	txOpen   = 'T'
	txFailed = 'E'
)

// conn is one caller's connection. Its fields belong to the goroutine of serve, except for
// the fields guarded by mu, and reader, which watch uses while a request runs.
// session, pid and secret do not change once the server has registered the connection.
type conn struct {
	server  *Server
	options *Options
	socket  net.Conn
	reader  *messageReader
	usesTLS bool
	visit   *gate.Visit
	// answer holds the size of the answer until it is sent.
	answer *budget.Account

	session  string
	pid      uint32
	secret   uint32
	identity auth.Identity
	service  string

	variables  variables
	statements statement.Statements
	// txStatus is the caller's transaction status, as the next ReadyForQuery reports it.
	txStatus byte
	// txGroup is the group of the open or failed transaction.
	txGroup string
	// txLost is true if the caller's transaction has failed and no target holds it any
	// more, until the caller ends it.
	txLost bool
	// flushing is true while an exchange that ended with a Flush is being answered.
	flushing bool
	// ignoreTillSync is true after an error in an exchange that ended with a Flush: what
	// the caller sends is ignored until its Sync.
	ignoreTillSync bool
	// firstPartAnswer is the answer to the first of the two requests that forwardSplit sends
	// for one exchange. It is set only if the second request failed.
	firstPartAnswer []byte
	sequence        uint64
	// unchargedPreparation is true if the last forwarded exchange only prepares or describes
	// statements and is not charged to the quota. Of two in a row the second is charged.
	unchargedPreparation bool
	request              request.Request
	out                  []byte

	ctx    context.Context
	cancel context.CancelFunc
	watch  disconnectWatch

	mu            sync.Mutex
	runningCancel context.CancelFunc
	cancelCause   error
	// keyWithdrawn is true once the caller's key has been withdrawn.
	keyWithdrawn bool
	// awaitingExchange is true while the next exchange is being read. idle is true if no
	// transaction was open when that read began, arriving once it waits for the rest of an exchange.
	awaitingExchange, idle, arriving bool
	// idleEnd is when IdleTransactionTimeout ends the wait for the next exchange within a transaction. What is skipped
	// does not put it off.
	idleEnd time.Time
}

func newConn(s *Server, socket net.Conn, visit *gate.Visit) *conn {
	answer := s.answers.Account()
	ctx, cancel := context.WithCancel(budget.NewContext(s.base, answer))
	context.AfterFunc(ctx, func() {
		if s.base.Err() != nil {
			socket.Close()
		}
	})
	return &conn{
		server:   s,
		options:  &s.options,
		socket:   socket,
		reader:   newMessageReader(socket, s.reads.Account()),
		visit:    visit,
		answer:   answer,
		txStatus: txIdle,
		ctx:      ctx,
		cancel:   cancel,

		statements: statement.Statements{Account: s.statementBudget.Account()},
	}
}

// serve runs the connection from the handshake until it is closed.
func (c *conn) serve() {
	defer c.cancel()
	defer func() { c.socket.Close() }()
	if c.handshake() {
		c.serveExchanges()
	}
	c.release()
	c.discard(c.closeWrite())
}

// release frees the connection slot and ends the session, if there is one.
func (c *conn) release() {
	c.statements.Release()
	c.reader.room.Release()
	c.answer.Release()
	c.visit.End()
	if c.session == "" {
		return
	}
	c.server.unregister(c)
	c.options.Chain.End(c.session)
}

// closeWrite closes the sending side of the connection. The caller has lingerTimeout, until end, to read
// the last message and close its side. If the socket cannot be half-closed, there is
// no wait.
func (c *conn) closeWrite() (end time.Time) {
	end = time.Now()
	half, ok := c.socket.(interface{ CloseWrite() error })
	if ok && half.CloseWrite() == nil {
		end = end.Add(lingerTimeout)
	}
	c.socket.SetReadDeadline(end)
	return end
}

// discard reads and drops what the caller still sends until end, at most as much as lingerExchanges exchanges may have.
// A caller that sends more has to wait, which costs the node nothing. Closing a socket with unread data resets the
// connection, and the caller could lose the last message.
func (c *conn) discard(end time.Time) {
	_, err := io.CopyN(io.Discard, c.reader.in, int64(lingerExchanges*c.options.MaxExchangeBytes))
	if err == nil {
		ctx, cancel := context.WithDeadline(c.server.base, end)
		defer cancel()
		<-ctx.Done()
	}
}

// serveExchanges reads and serves exchanges until the connection is to be closed.
func (c *conn) serveExchanges() {
	var e exchange
	for c.readExchange(&e) {
		if e.err != nil {
			c.endOnReadError(e.err)
			return
		}
		goesOn := c.serveExchange(&e)
		e.shrink(c.reader.room)
		c.endExchange()
		if !goesOn {
			return
		}
	}
}

// endExchange drops what refers to the messages of the last exchange, so that an idle connection does not keep
// them.
func (c *conn) endExchange() {
	c.statements.EndExchange()
	c.request = request.Request{}
	c.answer.Release()
}

// endOnReadError handles an error in reading an exchange, after which the connection is closed.
// If the caller sent a message that is too large or violates the protocol, it is told so. After
// other errors nothing is sent.
func (c *conn) endOnReadError(err error) {
	switch {
	case errTooLarge.Has(err):
		c.server.TooLarge.Add(1)
		c.writeFatal(request.Refuse(request.CodeTooLarge, step, "", "%s", err))
	case errNoRoom.Has(err):
		c.writeFatal(request.Refuse(request.CodeOverloaded, step, "", "%s", err))
	case errProtocol.Has(err):
		c.server.BadProtocol.Add(1)
		c.writeFatal(request.Refuse(request.CodeProtocol, step, "", "%s", err))
	}
}

// write writes a whole answer within WriteTimeout. It reports whether that
// succeeded.
func (c *conn) write(out []byte) bool {
	c.socket.SetWriteDeadline(time.Now().Add(c.options.WriteTimeout))
	_, err := c.socket.Write(out)
	return err == nil
}

// send writes an answer that was built in c.out. It keeps the buffer for the next answer
// unless that is larger than maxKeptBuffer.
func (c *conn) send(out []byte) bool {
	if cap(out) <= maxKeptBuffer {
		c.out = out
	}
	return c.write(c.finishFlush(out))
}

// writeFatal writes a refusal with severity FATAL; the connection is closed after it.
func (c *conn) writeFatal(r *request.Refusal) {
	c.server.Refused.Add(r.Code.Name, 1)
	// The slot is free before the caller reads the refusal, as it may reconnect at once.
	c.visit.End()
	c.write(appendRefusal(nil, severityFatal, r))
}

// closeForWithdrawnKey closes the connection: at once if it waits for an exchange, otherwise
// after the running request, which is cancelled when withdrawnKeyGrace has passed.
func (c *conn) closeForWithdrawnKey() {
	c.mu.Lock()
	first := !c.keyWithdrawn
	c.keyWithdrawn = true
	c.mu.Unlock()
	if !first {
		return
	}
	c.interrupt()
	time.AfterFunc(withdrawnKeyGrace, func() { c.cancelRunning(errKeyWithdrawn) })
}

// cancelRunning cancels the running request, if any, with the given cause.
func (c *conn) cancelRunning(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runningCancel != nil {
		c.cancelCause = cause
		c.runningCancel()
	}
}

// setRunning sets the function that cancels the running request; nil when a request has
// ended. It returns why the previous request was cancelled, or nil if it was not.
func (c *conn) setRunning(cancel context.CancelFunc) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	cause := c.cancelCause
	c.runningCancel = cancel
	c.cancelCause = nil
	return cause
}

func keyWithdrawnRefusal() *request.Refusal {
	return request.Refuse(request.CodeBadKey, step, "", "the key of this session has been withdrawn")
}

func isRefusal(err error) bool {
	var r *request.Refusal
	return errors.As(err, &r)
}
