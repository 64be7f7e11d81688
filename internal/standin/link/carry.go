package link

import (
	"errors"
	"io"
	"sync/atomic"
	"time"
)

const (
	// chunkSize is the highest number of bytes that are carried at once.
	chunkSize = 16 << 10
	// maxChunks bounds the chunks of a direction that are under way. A sender then has to wait.
	maxChunks = 64
	// holdCheckInterval is the interval at which a direction that is held back checks whether it still is.
	holdCheckInterval = 5 * time.Millisecond
)

// end is one end of a proxied connection. Read returns io.EOF at the end of the stream, and any other
// error if the connection was reset.
type end interface {
	io.ReadWriter
	// CloseWrite ends the stream to the far end.
	CloseWrite() error
	// Reset closes the connection so that the far end sees a reset.
	Reset()
}

// errCut is why a connection ends that has carried as many bytes as it may.
var errCut = errors.New("cut")

// chunk is a piece of a stream, or its end if err is set. due is when it is delivered.
type chunk struct {
	bytes []byte
	err   error
	due   time.Time
}

// carrier carries the bytes of one direction of one connection.
type carrier struct {
	from, to end
	// delay is how long each byte is under way.
	delay time.Duration
	// remaining is how many bytes may pass before both ends are reset; negative means any number.
	remaining int64
	// isHeld reports whether the direction is held back.
	isHeld func() bool
	// resetOvertakes makes a reset discard the bytes that are under way.
	resetOvertakes bool

	// reverse carries the other direction of the connection; nil if there is none.
	reverse *carrier

	// deliveredAt is when the last bytes were written to the receiver, and endSeenAt when the sender's
	// stream was seen to end, in nanoseconds since 1970; 0 before.
	deliveredAt, endSeenAt atomic.Int64
	// sawEnd is set once the sender has ended its stream, wasReset once its reset discards bytes.
	sawEnd, wasReset atomic.Bool
	queue            chan chunk
}

// run carries the stream and returns when its end was delivered, or can't be. The carrier then holds no bytes.
func (c *carrier) run() {
	c.queue = make(chan chunk, maxChunks)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		c.deliver()
	}()
	c.collect(stopped)
	<-stopped
	c.queue = nil
}

// collect reads from the sender until its stream ends.
func (c *carrier) collect(stopped <-chan struct{}) {
	for {
		buffer := make([]byte, chunkSize)
		n, err := c.from.Read(buffer)
		if c.remaining >= 0 {
			n = int(min(int64(n), c.remaining))
			c.remaining -= int64(n)
			if c.remaining == 0 {
				err = errCut
			}
		}
		due := time.Now().Add(c.delay)
		if err != nil {
			c.endSeenAt.Store(time.Now().UnixNano())
		}
		if err == io.EOF {
			c.sawEnd.Store(true)
		}
		if err != nil && err != io.EOF {
			c.wasReset.Store(c.resetOvertakes)
		}
		for _, piece := range []chunk{{bytes: buffer[:n], due: due}, {err: err, due: due}} {
			if len(piece.bytes) == 0 && piece.err == nil {
				continue
			}
			select {
			case c.queue <- piece:
			case <-stopped:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// deliver writes each chunk to the receiver when it is due.
func (c *carrier) deliver() {
	for piece := range c.queue {
		time.Sleep(time.Until(piece.due))
		for c.isHeld() {
			time.Sleep(holdCheckInterval)
		}
		switch {
		case piece.err == io.EOF:
			_ = c.to.CloseWrite()
			return
		case piece.err != nil:
			c.to.Reset()
			if errors.Is(piece.err, errCut) {
				c.from.Reset()
			}
			return
		case c.wasReset.Load():
			// The bytes are discarded; the reset follows them in the queue.
			continue
		}
		if _, err := c.to.Write(piece.bytes); err != nil {
			// The receiver is gone. Unless it had ended its stream before, the reverse direction reads a
			// reset and carries it to the sender.
			if c.reverse != nil && c.reverse.sawEnd.Load() {
				c.from.Reset()
			}
			return
		}
		c.deliveredAt.Store(time.Now().UnixNano())
	}
}
