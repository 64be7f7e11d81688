package pgtarget

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"crocusyoke/internal/logpos"
	"crocusyoke/internal/target"
)

const (
	// MaxReply is the most bytes of one Reply's messages.
	MaxReply = 64 << 20
	// readBuffer is the size of a connection's read buffer in bytes.
	readBuffer = 16 << 10
	// maxSizeHint bounds the capacity that a connection reserves for the next reply.
	maxSizeHint = 64 << 10
	// minSizeHint is the capacity reserved for the first reply.
	minSizeHint = 256
)

// ErrUnusable is returned by Exchange on a connection that is in doubt.
var ErrUnusable = errors.New("connection is in doubt")

// past is a deadline that ends reads and writes at once.
var past = time.Unix(1, 0)

// conn is one data connection.
type conn struct {
	net    net.Conn
	reader *bufio.Reader
	header [headerSize]byte
	// position is the last position that the target reported.
	position logpos.Position
	// sizeHint is the size of recent replies, in bytes.
	sizeHint int
	// doubt is set when an exchange failed or the connection was closed.
	doubt atomic.Bool

	pid       uint32
	secretKey []byte

	// raw, peek, peeked and one serve checkIdle without allocations.
	raw    syscall.RawConn
	peek   func(fd uintptr) bool
	peeked error
	one    [1]byte
}

func newConn(h *pgconn.HijackedConn) *conn {
	c := &conn{
		net:       h.Conn,
		reader:    bufio.NewReaderSize(h.Conn, readBuffer),
		sizeHint:  minSizeHint,
		pid:       h.PID,
		secretKey: h.SecretKey,
	}
	c.peek = c.peekSocket
	if socket, ok := h.Conn.(syscall.Conn); ok {
		c.raw, _ = socket.SyscallConn()
	}
	c.position, _ = logpos.Parse(h.ParameterStatuses[target.ParamPosition])
	return c
}

// Exchange implements target.Conn.
func (c *conn) Exchange(ctx context.Context, messages []byte) (target.Reply, bool, error) {
	if err := ctx.Err(); err != nil {
		return target.Reply{}, false, c.failed("send", err)
	}
	if c.doubt.Load() {
		return target.Reply{}, false, c.failed("send", ErrUnusable)
	}
	if err := checkRequest(messages); err != nil {
		return target.Reply{}, false, Error.New("send %s: %w", c.net.RemoteAddr(), err)
	}
	deadline, _ := ctx.Deadline()
	if err := c.net.SetDeadline(deadline); err != nil {
		return target.Reply{}, false, c.failed("send", err)
	}
	if err := c.checkIdle(); err != nil {
		return target.Reply{}, false, c.failed("send", err)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.net.SetDeadline(past) })
	defer stop()
	if n, err := c.net.Write(messages); err != nil {
		return target.Reply{}, n > 0, c.failed("send", because(ctx, err))
	}
	reply, err := c.readReply()
	if err != nil {
		return target.Reply{}, true, c.failed("receive", because(ctx, err))
	}
	if !stop() {
		// The past deadline may be set at any later time: an exchange after this one
		// could fail by it halfway.
		c.doubt.Store(true)
	}
	return reply, true, nil
}

// because adds the context's error to the timeout that it caused. The connection's
// deadline may pass a moment before the context's.
func because(ctx context.Context, err error) error {
	switch {
	case ctx.Err() != nil:
		return errors.Join(ctx.Err(), err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errors.Join(context.DeadlineExceeded, err)
	}
	return err
}

func (c *conn) failed(step string, err error) error {
	c.doubt.Store(true)
	return Error.New("%s %s: %w", step, c.net.RemoteAddr(), err)
}

// readReply copies messages until ReadyForQuery.
func (c *conn) readReply() (target.Reply, error) {
	reply := target.Reply{Messages: make([]byte, 0, c.sizeHint)}
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
		if reply.Messages, err = c.appendBody(reply.Messages, size); err != nil {
			return target.Reply{}, err
		}
		body := reply.Messages[start:]
		switch {
		case kind == kindParameterStatus && c.notePosition(body):
			reply.Messages = reply.Messages[:start-headerSize]
		case kind == kindError && reply.Code == "":
			reply.Code = sqlState(body)
			reply.Outcome = outcomeOf(reply.Code)
		case kind == kindCopyIn, kind == kindCopyOut, kind == kindCopyBoth:
			return target.Reply{}, errCopy
		case kind == kindReady:
			return c.finish(reply, body)
		}
	}
}

func (c *conn) finish(reply target.Reply, body []byte) (target.Reply, error) {
	if len(body) != 1 {
		return target.Reply{}, errMalformed
	}
	reply.TxStatus = body[0]
	reply.Position = c.position
	c.sizeHint = min(max(len(reply.Messages), minSizeHint), maxSizeHint)
	return reply, nil
}

// notePosition keeps the position if body reports it, and tells whether it did.
func (c *conn) notePosition(body []byte) bool {
	name, value, ok := parameter(body)
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
	address := c.net.RemoteAddr().String()
	var dialer net.Dialer
	other, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return Error.New("cancel at %s: %w", address, err)
	}
	defer other.Close()
	deadline, _ := ctx.Deadline()
	_ = other.SetDeadline(deadline)
	request := pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secretKey}
	message, err := request.Encode(nil)
	if err != nil {
		return Error.New("cancel at %s: %w", address, err)
	}
	if _, err := other.Write(message); err != nil {
		return Error.New("cancel at %s: %w", address, err)
	}
	// The target closes the connection once it has acted on the request.
	_, _ = other.Read(make([]byte, 1))
	return nil
}

// Close implements target.Conn.
func (c *conn) Close() error {
	c.doubt.Store(true)
	return Error.Wrap(c.net.Close())
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
