// Package idle looks at a connection on which nothing is under way: whether its far end has closed it, or has
// sent what nobody has asked for.
package idle

import (
	"errors"
	"io"
	"net"
	"syscall"
)

// ErrUnsolicited means that bytes have arrived on the connection.
var ErrUnsolicited = errors.New("data arrived while no exchange was in progress")

// Check looks at one connection. Its methods are for one goroutine. They allocate nothing.
type Check struct {
	// raw is nil for a connection without a socket, whose checks find nothing.
	raw    syscall.RawConn
	peek   func(fd uintptr) bool
	buffer [1]byte
	result error
}

// New returns the Check of conn.
func New(conn net.Conn) *Check {
	c := &Check{}
	c.peek = c.peekSocket
	if socket, ok := conn.(syscall.Conn); ok {
		c.raw, _ = socket.SyscallConn()
	}
	return c
}

// Err returns nil if the connection is open and nothing has arrived, io.EOF if the far end has closed it, and
// ErrUnsolicited if bytes have arrived. It neither blocks nor consumes anything.
func (c *Check) Err() error {
	if c.raw == nil {
		return nil
	}
	if err := c.raw.Read(c.peek); err != nil {
		return err
	}
	return c.result
}

// peekSocket sets result. It returns true, so that syscall.RawConn.Read does not wait.
func (c *Check) peekSocket(fd uintptr) bool {
	n, _, err := syscall.Recvfrom(int(fd), c.buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case n > 0:
		c.result = ErrUnsolicited
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		c.result = nil
	case err != nil:
		c.result = err
	default:
		c.result = io.EOF
	}
	return true
}
