package pgfront

import (
	"errors"
	"os"
	"time"

	"crocusyoke/internal/request"
)

// pastDeadline is a deadline in the past. It ends a blocked read at once.
var pastDeadline = time.Unix(1, 0)

// readExchange reads the next exchange into e. It reports false if the connection is to be
// closed and the caller has been told why. Any other error is left in e.err.
func (c *conn) readExchange(e *exchange) bool {
	if reason := c.beginRead(); reason != nil {
		c.writeFatal(reason)
		return false
	}
	e.read(c.reader, c.options.MaxExchangeBytes, c.awaitMessage)
	wasArriving, reason := c.endRead()
	if !errors.Is(e.err, os.ErrDeadlineExceeded) {
		return true
	}
	if reason == nil && wasArriving {
		c.server.Stalled.Add(1)
		reason = request.Refuse(request.CodeTimeout, step, "", "the statement did not arrive within %s", c.options.StatementTimeout)
	}
	if reason == nil {
		c.server.IdleInTransaction.Add(1)
		reason = request.Refuse(request.CodeTransactionLost, step, "",
			"the transaction was idle for %s and has been rolled back", c.options.IdleTransactionTimeout)
	}
	c.writeFatal(reason)
	return false
}

// beginRead lets interrupt end the read that follows, or returns why the connection is to be
// closed instead. If data of the next exchange is already buffered, that is read first.
// Within a transaction the read is limited by IdleTransactionTimeout.
func (c *conn) beginRead() *request.Refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = c.txStatus == txIdle
	if c.reader.in.Buffered() == 0 {
		if reason := c.endReason(); reason != nil {
			return reason
		}
	}
	c.awaitingExchange = true
	if !c.idle {
		c.idleEnd = time.Now().Add(c.options.IdleTransactionTimeout)
		c.socket.SetReadDeadline(c.idleEnd)
	}
	return nil
}

// awaitMessage is called before each message of an exchange. It waits for the first byte of the first one. StatementTimeout
// limits the read from then on, as soon as it has to wait. An error is left to the read that follows.
func (c *conn) awaitMessage(isFirst bool) {
	if isFirst {
		c.limitRead(false)
		if _, err := c.reader.in.Peek(1); err != nil {
			return
		}
	}
	if !c.reader.hasMessage() {
		c.limitRead(true)
	}
}

// limitRead sets the limit on the read of an exchange, which depends on whether it waits for the rest of it. It changes
// nothing if the connection is to be closed.
func (c *conn) limitRead(arriving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.arriving == arriving || c.endReason() != nil {
		return
	}
	c.arriving = arriving
	switch {
	case arriving:
		c.socket.SetReadDeadline(time.Now().Add(c.options.StatementTimeout))
	case c.idle:
		c.socket.SetReadDeadline(time.Time{})
	default:
		c.socket.SetReadDeadline(c.idleEnd)
	}
}

// endRead clears the limit on the read. It returns whether it waited for the rest of an exchange, and why the connection is to
// be closed, or nil.
func (c *conn) endRead() (wasArriving bool, reason *request.Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingExchange = false
	if !c.idle || c.arriving {
		c.socket.SetReadDeadline(time.Time{})
	}
	wasArriving, c.arriving = c.arriving, false
	return wasArriving, c.endReason()
}

// endReason returns why the connection is to be closed, or nil. A drain closes it within a
// transaction only when its time is almost over. The caller of endReason holds c.mu.
func (c *conn) endReason() *request.Refusal {
	switch {
	case c.keyWithdrawn:
		return keyWithdrawnRefusal()
	case c.idle && c.server.isDraining(), c.server.isEnding():
		return shutdownRefusal()
	}
	return nil
}

// interrupt ends the wait for the next exchange if the connection is to be closed.
func (c *conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaitingExchange && c.endReason() != nil {
		c.socket.SetReadDeadline(pastDeadline)
	}
}

// watchDelay is how long a request runs before its caller is watched for a disconnect.
const watchDelay = 5 * time.Millisecond

// disconnectWatch detects that the caller has disconnected while a request runs. Requests
// shorter than watchDelay are not watched.
type disconnectWatch struct {
	timer *time.Timer
	// done receives a value when a watch that the timer started has returned.
	done chan struct{}
}

// startWatch starts the watch after watchDelay. stopWatch must be called before reader is
// used again.
func (c *conn) startWatch() {
	if c.watch.timer != nil {
		c.watch.timer.Reset(watchDelay)
		return
	}
	c.watch.done = make(chan struct{}, 1)
	c.watch.timer = time.AfterFunc(watchDelay, c.watchDisconnect)
}

// watchDisconnect cancels the connection's context if the caller disconnects. It returns as
// soon as the caller sends more data, and does not watch if the read buffer is full.
func (c *conn) watchDisconnect() {
	in := c.reader.in
	if more := in.Buffered() + 1; more <= in.Size() {
		_, err := in.Peek(more)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.cancel()
		}
	}
	c.watch.done <- struct{}{}
}

// stopWatch stops the watch. When it returns, the watch no longer reads from the caller.
func (c *conn) stopWatch() {
	if c.watch.timer.Stop() {
		return
	}
	c.socket.SetReadDeadline(pastDeadline)
	<-c.watch.done
	c.socket.SetReadDeadline(time.Time{})
}
