// Package logqueue passes log lines to a writer that may block.
//
// Invariant: Write never waits for the underlying writer, and what is queued is bounded. Lines that do
// not fit are dropped and counted, and a line that says how many is written once there is room again.
package logqueue

import (
	"expvar"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxQueuedBytes bounds the lines that wait for the underlying writer.
	maxQueuedBytes = 256 << 10
	// maxLineBytes is the length above which a line is cut.
	maxLineBytes = 8 << 10
)

// Counts counts the lines of this process by what became of them: "queued", "dropped" (the queue was
// full) and "failed" (batches that the underlying writer returned an error for).
var Counts = new(expvar.Map)

// Queue is an io.Writer for whole lines. It is safe for concurrent use.
type Queue struct {
	out  io.Writer
	wake chan struct{}
	done chan struct{}

	mu      sync.Mutex
	pending []byte
	dropped int
	closed  bool
}

// New returns a Queue that writes to out in the background until Close.
func New(out io.Writer) *Queue {
	q := &Queue{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go q.run()
	return q
}

// Write queues one line, which ends in a line break. It always reports success, since a caller could do
// nothing about a line that is dropped.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	kept, end := line, ""
	if len(line) > maxLineBytes {
		kept, end = line[:maxLineBytes], "...\n"
	}
	if q.closed || len(q.pending)+len(kept)+len(end) > maxQueuedBytes {
		q.dropped++
		Counts.Add("dropped", 1)
		return len(line), nil
	}
	q.pending = append(append(q.pending, kept...), end...)
	Counts.Add("queued", 1)
	q.signal()
	return len(line), nil
}

// signal tells run that there is something to write. q.mu is held.
func (q *Queue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// Close drops all later lines and waits until those queued are written, at most for timeout. A writer
// that blocks is left behind.
func (q *Queue) Close(timeout time.Duration) {
	q.mu.Lock()
	q.closed = true
	q.signal()
	q.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-q.done:
	case <-timer.C:
	}
}

func (q *Queue) run() {
	defer close(q.done)
	var batch []byte
	for range q.wake {
		var closed bool
		batch, closed = q.take(batch[:0])
		if len(batch) > 0 {
			if _, err := q.out.Write(batch); err != nil {
				Counts.Add("failed", 1)
			}
		}
		if closed {
			return
		}
	}
}

// take moves what is queued to batch, with a line about those dropped, and reports whether the Queue
// was closed.
func (q *Queue) take(batch []byte) ([]byte, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	batch, q.pending = q.pending, batch
	if q.dropped > 0 {
		batch = fmt.Appendf(batch, "event=\"log lines dropped\" count=%d\n", q.dropped)
		q.dropped = 0
	}
	return batch, q.closed
}
