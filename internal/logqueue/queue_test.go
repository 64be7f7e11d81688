package logqueue

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// pipe is a writer that blocks while it is stalled.
type pipe struct {
	mu      sync.Mutex
	stalled chan struct{}
	written bytes.Buffer
	err     error
}

func (p *pipe) Write(b []byte) (int, error) {
	p.mu.Lock()
	stalled := p.stalled
	p.mu.Unlock()
	if stalled != nil {
		<-stalled
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.written.Write(b)
	return len(b), p.err
}

func (p *pipe) String() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.written.String()
}

func line(text string) []byte { return []byte(text + "\n") }

// queued returns how many bytes wait for the underlying writer.
func (q *Queue) queued() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.pending)
}

// TestStalledReaderHoldsALine guards against a log line that waits for whoever reads the log. What is
// queued stays bounded, and what was dropped is told once the reader goes on.
func TestStalledReaderHoldsALine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &pipe{stalled: make(chan struct{})}
		q := New(out)
		long := strings.Repeat("x", 1000)
		for range 1000 {
			_, err := q.Write(line(long))
			must.NoError(t, err)
			must.LessEq(t, maxQueuedBytes, q.queued())
		}
		close(out.stalled)
		synctest.Wait()
		must.StrContains(t, out.String(), "event=\"log lines dropped\" count=")
		_, _ = q.Write(line("later"))
		q.Close(time.Second)
		must.StrHasSuffix(t, "later\n", out.String())
	})
}

// TestCloseWritesWhatIsQueued checks that the last lines are written, and that Close leaves a writer
// behind that blocks.
func TestCloseWritesWhatIsQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &pipe{}
		q := New(out)
		_, _ = q.Write(line("a"))
		_, _ = q.Write(line("b"))
		q.Close(time.Second)
		must.Eq(t, "a\nb\n", out.String())
		stalled := &pipe{stalled: make(chan struct{})}
		q = New(stalled)
		_, _ = q.Write(line("c"))
		before := time.Now()
		q.Close(time.Second)
		must.Eq(t, time.Second, time.Since(before))
		close(stalled.stalled)
	})
}

// TestWriterThatFailsEndsNothing checks that lines are taken while the underlying writer returns errors,
// as it does once the reader of a pipe has gone.
func TestWriterThatFailsEndsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &pipe{err: errors.New("broken pipe")}
		q := New(out)
		for _, text := range []string{"a", "b"} {
			_, err := q.Write(line(text))
			must.NoError(t, err)
			synctest.Wait()
		}
		q.Close(time.Second)
		must.Eq(t, "a\nb\n", out.String())
	})
}

func TestLongLineIsCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &pipe{}
		q := New(out)
		_, _ = q.Write(line(strings.Repeat("x", 2*maxLineBytes)))
		q.Close(time.Second)
		must.Eq(t, strings.Repeat("x", maxLineBytes)+"...\n", out.String())
	})
}

// BenchmarkWrite measures what a line costs its caller.
func BenchmarkWrite(b *testing.B) {
	q := New(io.Discard)
	text := line(strings.Repeat("x", 160))
	for b.Loop() {
		_, _ = q.Write(text)
	}
}
