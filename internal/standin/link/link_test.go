package link

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

var errReset = errors.New("reset")

// event is what a fakeEnd received, and when.
type event struct {
	what string
	at   time.Duration
}

// fakeEnd is an end in memory. sent is what it sends; a nil piece is followed by err.
type fakeEnd struct {
	sent  chan []byte
	err   error
	began time.Time

	mu       sync.Mutex
	received []event
}

func newFakeEnd() *fakeEnd { return &fakeEnd{sent: make(chan []byte, 100), began: time.Now()} }

func (f *fakeEnd) note(what string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received = append(f.received, event{what, time.Since(f.began)})
}

func (f *fakeEnd) Read(p []byte) (int, error) {
	piece, ok := <-f.sent
	if !ok {
		return 0, f.err
	}
	return copy(p, piece), nil
}

func (f *fakeEnd) Write(p []byte) (int, error) {
	f.note(string(p))
	return len(p), nil
}

func (f *fakeEnd) CloseWrite() error {
	f.note("end")
	return nil
}

func (f *fakeEnd) Reset() { f.note("reset") }

// play sends pieces 1 ms apart and then ends the stream with err, 1 ms after the last one.
func play(c *carrier, err error, pieces ...string) (from, to *fakeEnd) {
	from, to = newFakeEnd(), newFakeEnd()
	from.err = err
	c.from, c.to = from, to
	if c.isHeld == nil {
		c.isHeld = func() bool { return false }
	}
	var sender sync.WaitGroup
	sender.Go(func() {
		for _, piece := range pieces {
			from.sent <- []byte(piece)
			time.Sleep(time.Millisecond)
		}
		close(from.sent)
	})
	c.run()
	sender.Wait()
	return from, to
}

// TestOrderAndDelay checks that bytes, and after them the end of the stream or a reset, arrive in order,
// each by the delay later.
func TestOrderAndDelay(t *testing.T) {
	for what, err := range map[string]error{"end": io.EOF, "reset": errReset} {
		synctest.Test(t, func(t *testing.T) {
			_, to := play(&carrier{delay: 10 * time.Millisecond, remaining: NoCut}, err, "a", "b")
			must.Eq(t, []event{{"a", 10 * time.Millisecond}, {"b", 11 * time.Millisecond}, {what, 12 * time.Millisecond}}, to.received)
		})
	}
}

// TestPassageIsStamped checks when a carrier has delivered its last bytes and seen the end of its stream.
func TestPassageIsStamped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		c := &carrier{delay: 10 * time.Millisecond, remaining: NoCut}
		play(c, io.EOF, "a", "b")
		must.Eq(t, 11*time.Millisecond, timeOf(c.deliveredAt.Load()).Sub(began))
		must.Eq(t, 2*time.Millisecond, timeOf(c.endSeenAt.Load()).Sub(began))
	})
}

// TestResetOvertakes checks that a reset discards the bytes that are under way, if it is to.
func TestResetOvertakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &carrier{delay: 1500 * time.Microsecond, remaining: NoCut, resetOvertakes: true}
		_, to := play(c, errReset, "a", "b")
		must.Eq(t, []event{{"a", 1500 * time.Microsecond}, {"reset", 3500 * time.Microsecond}}, to.received)
	})
}

// TestEndedCarrierHoldsNoBytes guards against bytes that were never delivered and stayed in memory, up to
// 1 MiB a connection.
func TestEndedCarrierHoldsNoBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &carrier{delay: time.Millisecond, remaining: NoCut}
		play(c, io.EOF, "a", "b")
		must.Eq(t, 0, cap(c.queue))
	})
}

// TestCut checks that both ends are reset after the given number of bytes.
func TestCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		from, to := play(&carrier{remaining: 3}, io.EOF, "ab", "cd")
		must.Eq(t, []event{{"ab", 0}, {"c", time.Millisecond}, {"reset", time.Millisecond}}, to.received)
		must.Eq(t, []event{{"reset", time.Millisecond}}, from.received)
	})
}

// TestHold checks that a direction that is held back delivers nothing, and everything in order afterwards.
func TestHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		c := &carrier{remaining: NoCut, isHeld: func() bool { return time.Since(began) < time.Second }}
		_, to := play(c, io.EOF, "a", "b")
		must.Eq(t, []event{{"a", time.Second}, {"b", time.Second}, {"end", time.Second}}, to.received)
	})
}

// echo accepts connections and sends back what it receives.
func echo(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

// TestLinkForwards checks a connection through sockets, its end, and a reset from the outside.
func TestLinkForwards(t *testing.T) {
	l, err := Listen(echo(t), Symmetric(time.Millisecond))
	must.NoError(t, err)
	defer l.Close()
	conn, err := net.Dial("tcp", l.Address())
	must.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte("hello"))
	must.NoError(t, err)
	answer := make([]byte, 5)
	_, err = io.ReadFull(conn, answer)
	must.NoError(t, err)
	must.Eq(t, "hello", string(answer))
	delivered, ended := l.Passage(conn.LocalAddr().String())
	must.False(t, delivered.IsZero())
	must.True(t, ended.IsZero())
	l.Reset()
	_, err = conn.Read(answer)
	must.Error(t, err)
	must.NotEq(t, io.EOF, err)
}

// TestGoneReceiverResetsSender checks that a sender to an end that has closed its connection is reset, as
// it is without the link.
func TestGoneReceiverResetsSender(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	l, err := Listen(listener.Addr().String(), Symmetric(time.Millisecond))
	must.NoError(t, err)
	defer l.Close()
	near, err := net.Dial("tcp", l.Address())
	must.NoError(t, err)
	far, err := listener.Accept()
	must.NoError(t, err)
	defer far.Close()
	must.NoError(t, near.Close())
	_, err = far.Read(make([]byte, 1))
	must.Eq(t, io.EOF, err)
	must.NoError(t, far.SetDeadline(time.Now().Add(10*time.Second)))
	for err = nil; err == nil; {
		_, err = far.Write([]byte("late"))
	}
	must.False(t, errors.Is(err, os.ErrDeadlineExceeded))
}

// TestLinkRefuses checks that a connection is reset if the target can't be reached. The reset may arrive
// before the caller knows that it was connected.
func TestLinkRefuses(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, listener.Close())
	l, err := Listen(listener.Addr().String(), Options{})
	must.NoError(t, err)
	defer l.Close()
	conn, err := net.Dial("tcp", l.Address())
	if err == nil {
		defer conn.Close()
		_, err = conn.Read(make([]byte, 1))
	}
	must.ErrorIs(t, err, syscall.ECONNRESET)
}
