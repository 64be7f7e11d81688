package pgtarget

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"crocusyoke/internal/budget"
	"crocusyoke/internal/logpos"
	"crocusyoke/internal/request"
	"crocusyoke/internal/statement"
	"crocusyoke/internal/target"
	"crocusyoke/internal/target/idle"
)

const (
	// MaxReply is the maximum size of the messages of a Reply, in bytes.
	MaxReply = 64 << 20
	// readBufferSize is the size of a connection's read buffer, in bytes.
	readBufferSize = 16 << 10
	// maxSizeHint is the maximum number of bytes that a connection allocates in advance for a
	// reply, or for the next part of a message body.
	maxSizeHint = 64 << 10
	// minSizeHint is the number of bytes that a connection allocates for its first reply, and
	// the minimum for later ones.
	minSizeHint = 256
)

// ErrUnusable is returned by Exchange if the connection was closed or an earlier exchange on it
// failed.
var ErrUnusable = errors.New("connection is unusable: it was closed or an earlier exchange failed")

// pastDeadline is a deadline in the past, which makes pending reads and writes fail at once.
var pastDeadline = time.Unix(1, 0)

// conn is one data connection.
type conn struct {
	netConn net.Conn
	reader  *bufio.Reader
	header  [headerSize]byte
	// position is the log position that the target reported last.
	position logpos.Position
	// sizeHint is the number of bytes to allocate for the next reply: the size of the last
	// one, between minSizeHint and maxSizeHint.
	sizeHint int
	// inTransaction is true while a transaction is open or has failed, leftState once statements may have left
	// state for the rest of the connection.
	inTransaction, leftState bool
	// unusable is set once an exchange has failed or the connection was closed.
	unusable atomic.Bool

	pid       uint32
	secretKey []byte

	idle *idle.Check
}

func newConn(h *pgconn.HijackedConn) *conn {
	c := &conn{
		netConn:   h.Conn,
		reader:    bufio.NewReaderSize(h.Conn, readBufferSize),
		sizeHint:  minSizeHint,
		pid:       h.PID,
		secretKey: h.SecretKey,
		idle:      idle.New(h.Conn),
	}
	c.position, _ = logpos.Parse(h.ParameterStatuses[target.ParamPosition])
	return c
}

// Exchange implements target.Conn.
func (c *conn) Exchange(ctx context.Context, messages []byte) (target.Reply, bool, error) {
	if err := ctx.Err(); err != nil {
		return target.Reply{}, false, c.fail("send", err)
	}
	if c.unusable.Load() {
		return target.Reply{}, false, c.fail("send", ErrUnusable)
	}
	if err := checkRequest(messages); err != nil {
		return target.Reply{}, false, Error.New("send %s: %w", c.netConn.RemoteAddr(), err)
	}
	deadline, _ := ctx.Deadline()
	if err := c.netConn.SetDeadline(deadline); err != nil {
		return target.Reply{}, false, c.fail("send", err)
	}
	if err := c.checkIdle(); err != nil {
		return target.Reply{}, false, c.fail("send", err)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.netConn.SetDeadline(pastDeadline) })
	defer stop()
	if err := c.discardState(); err != nil {
		return target.Reply{}, false, c.fail("discard session state", withContextError(ctx, err))
	}
	c.leftState = c.leftState || statement.LeavesState(messages)
	if n, err := c.netConn.Write(messages); err != nil {
		return target.Reply{}, n > 0, c.fail("send", withContextError(ctx, err))
	}
	account := budget.FromContext(ctx)
	reply, err := c.readReply(account)
	if errors.Is(err, errNoRoom) {
		account.Release()
		return target.Reply{}, true, request.Refuse(request.CodeOutcomeUnknown, "exchange", c.netConn.RemoteAddr().String(),
			"the node had no room for the answer").WithCause(c.fail("receive", err))
	}
	if err != nil {
		return target.Reply{}, true, c.fail("receive", withContextError(ctx, err))
	}
	if !stop() {
		// The function above sets pastDeadline at an unknown time from now on, which could
		// make a later exchange on this connection fail midway.
		c.unusable.Store(true)
	}
	return reply, true, nil
}

// discardMessage discards the state of a connection.
var discardMessage = simpleQuery("DISCARD ALL")

// discardState makes the target discard what earlier statements may have left on the connection, which the next one
// may run for another session. In a transaction it does nothing: that is of one session.
func (c *conn) discardState() error {
	if !c.leftState || c.inTransaction {
		return nil
	}
	if _, err := c.netConn.Write(discardMessage); err != nil {
		return err
	}
	reply, err := c.readReply(nil)
	if err != nil {
		return err
	}
	if reply.Code != "" || c.inTransaction {
		return errNotDiscarded
	}
	c.leftState = false
	return nil
}

// withContextError joins the context's error to err if the context ended. Otherwise, if err is a
// timeout of the connection, it joins context.DeadlineExceeded, because the connection's deadline
// may pass a moment before the context reports that its deadline has passed.
func withContextError(ctx context.Context, err error) error {
	switch {
	case ctx.Err() != nil:
		return errors.Join(ctx.Err(), err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errors.Join(context.DeadlineExceeded, err)
	}
	return err
}

// fail marks the connection as unusable and wraps err with the step and the target's address.
func (c *conn) fail(step string, err error) error {
	c.unusable.Store(true)
	return Error.New("%s %s: %w", step, c.netConn.RemoteAddr(), err)
}

// readReply reads messages up to and including ReadyForQuery. It copies them to the reply, but
// for reports of the target's position. account holds the reply's size; if it has no room, the error is errNoRoom.
func (c *conn) readReply(account *budget.Account) (target.Reply, error) {
	hint := c.sizeHint
	if !account.Resize(hint) {
		hint = minSizeHint
	}
	reply := target.Reply{Messages: make([]byte, 0, hint)}
	for {
		kind, size, err := c.readHeader()
		if err != nil {
			return target.Reply{}, err
		}
		if len(reply.Messages)+headerSize+size > MaxReply {
			return target.Reply{}, errReplyTooLarge
		}
		start := len(reply.Messages) + headerSize
		reply.Messages = append(reply.Messages, c.header[:]...)
		if reply.Messages, err = c.appendBody(reply.Messages, size, account); err != nil {
			return target.Reply{}, err
		}
		body := reply.Messages[start:]
		switch {
		case kind == kindParameterStatus && c.recordPosition(body):
			reply.Messages = reply.Messages[:start-headerSize]
		case kind == kindError && reply.Code == "":
			reply.Code = parseSQLState(body)
			reply.Outcome = outcomeOf(reply.Code)
		case kind == kindCopyIn, kind == kindCopyOut, kind == kindCopyBoth:
			return target.Reply{}, errCopy
		case kind == kindReady:
			return c.finishReply(reply, body)
		}
	}
}

func (c *conn) finishReply(reply target.Reply, body []byte) (target.Reply, error) {
	if len(body) != 1 {
		return target.Reply{}, errMalformed
	}
	reply.TxStatus = body[0]
	c.inTransaction = reply.TxStatus != 'I'
	reply.Position = c.position
	c.sizeHint = min(max(len(reply.Messages), minSizeHint), maxSizeHint)
	return reply, nil
}

// recordPosition records the target's position if body, of a ParameterStatus, is a report of it.
// It reports whether that is the case, even if the position can't be parsed.
func (c *conn) recordPosition(body []byte) bool {
	name, value, ok := parseParameterStatus(body)
	if !ok || string(name) != target.ParamPosition {
		return false
	}
	if p, err := logpos.Parse(string(value)); err == nil {
		c.position = p
	}
	return true
}

// Cancel implements target.Conn.
func (c *conn) Cancel(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	address := c.netConn.RemoteAddr().String()
	var dialer net.Dialer
	cancelConn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return Error.New("cancel at %s: %w", address, err)
	}
	defer cancelConn.Close()
	deadline, _ := ctx.Deadline()
	_ = cancelConn.SetDeadline(deadline)
	request := pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secretKey}
	message, err := request.Encode(nil)
	if err != nil {
		return Error.New("cancel at %s: %w", address, err)
	}
	if _, err := cancelConn.Write(message); err != nil {
		return Error.New("cancel at %s: %w", address, err)
	}
	// The target closes the connection after it has handled the request.
	_, _ = cancelConn.Read(make([]byte, 1))
	return nil
}

// Close implements target.Conn.
func (c *conn) Close() error {
	c.unusable.Store(true)
	return Error.Wrap(c.netConn.Close())
}

func (c *conn) readHeader() (kind byte, size int, err error) {
	if err := c.readFull(c.header[:]); err != nil {
		return 0, 0, err
	}
	length := binary.BigEndian.Uint32(c.header[1:])
	if length < lengthSize || length > MaxReply {
		return 0, 0, errMalformed
	}
	return c.header[0], int(length) - lengthSize, nil
}
