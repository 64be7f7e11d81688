package front

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"crocusyoke/internal/request"
)

const (
	// maxLargeReads is the number of sessions that may read a large statement at the same time.
	maxLargeReads = 8
	// largeRead is the number of bytes from which a statement is large.
	largeRead = 4 << 10
	// largeReadWait is how long a session waits for its turn to read a large statement. Its caller waits in
	// sending, as for a slow network.
	largeReadWait = time.Second
	// largeReadTime bounds the reading of a large statement.
	largeReadTime = 5 * time.Second
)

var (
	errNoTurn  = Error.New("the node reads too many large statements")
	errStalled = Error.New("the statement did not arrive within %s", largeReadTime)
)

// statementConn is the connection that a session's codec reads from. It reads the part of a statement behind its
// first largeRead bytes only in the session's turn, so that what all sessions have read of their statements is
// bounded.
type statementConn struct {
	net.Conn
	// turns has an element for each session that has its turn.
	turns chan struct{}
	// stopped ends the waiting for a turn.
	stopped context.Context
	// read is the number of bytes that were read of the statement.
	read int
	// stall ends a read that takes longer than largeReadTime; nil outside a turn.
	stall *time.Timer

	mu sync.Mutex
	// reading is true in a turn until the statement has been read, and stalled once that has taken too long.
	reading, stalled bool
}

// Read implements net.Conn. It fails with errNoTurn or errStalled if the session can't read on.
func (c *statementConn) Read(p []byte) (int, error) {
	if c.read >= largeRead && c.stall == nil && !c.beginTurn() {
		return 0, errNoTurn
	}
	n, err := c.Conn.Read(p)
	c.read += n
	if err != nil && c.hasStalled() {
		return n, errStalled
	}
	return n, err
}

// beginTurn waits for the session's turn. It reports false if that does not come.
func (c *statementConn) beginTurn() bool {
	ctx, cancel := context.WithTimeout(c.stopped, largeReadWait)
	defer cancel()
	select {
	case c.turns <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = true
	c.stall = time.AfterFunc(largeReadTime, c.endStalledRead)
	return true
}

// endStalledRead ends the read that the session is in.
func (c *statementConn) endStalledRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading {
		c.stalled = true
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

func (c *statementConn) hasStalled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stalled
}

// endRead records that the statement has been read. A turn goes on until endTurn.
func (c *statementConn) endRead() {
	c.read = 0
	if c.stall != nil {
		c.stall.Stop()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading, c.stalled = false, false
}

// endTurn ends the session's turn, if it has one: the statement is accounted for elsewhere, or has been answered.
func (c *statementConn) endTurn() {
	c.endRead()
	if c.stall != nil {
		c.stall = nil
		<-c.turns
	}
}

// readRefusal returns the refusal of a statement that can't be read to its end because of err, or nil if err is
// another error. The session ends behind it.
func readRefusal(err error) *request.Refusal {
	switch {
	case errors.Is(err, errNoTurn):
		return request.Refuse(request.CodeOverloaded, step, "", "%s", err).WithRetryAfter(largeRetryAfter)
	case errors.Is(err, errStalled):
		return request.Refuse(request.CodeTimeout, step, "", "%s", err)
	}
	return nil
}
