package pool

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/target"
)

// panickingConn panics in the methods that are told to.
type panickingConn struct {
	target.Conn
	inExchange, inClose, inCancel bool
}

func (c *panickingConn) Exchange(ctx context.Context, messages []byte) (target.Reply, bool, error) {
	if c.inExchange {
		panic("unexpected answer")
	}
	return c.Conn.Exchange(ctx, messages)
}

func (c *panickingConn) Cancel(ctx context.Context) error {
	if c.inCancel {
		panic("unexpected state")
	}
	return c.Conn.Cancel(ctx)
}

func (c *panickingConn) Close() error {
	err := c.Conn.Close()
	if c.inClose {
		panic("unexpected state")
	}
	return err
}

// withPanickingPool runs check with a Pool whose first dials panic, as many as panics says, and whose
// connections can be told to.
func withPanickingPool(t *testing.T, limit, panics int, check func(*testing.T, *Pool)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &fakeServer{}
		dial := func(ctx context.Context, customer string) (target.Conn, error) {
			if panics > 0 {
				panics--
				panic("unexpected startup")
			}
			conn, err := s.dial(ctx, customer)
			return &panickingConn{Conn: conn}, err
		}
		p := New(Options{Dial: dial, Probe: []byte("probe"), Clock: clock.Wall{}, Limit: limit})
		check(t, p)
		p.Close()
		<-p.Drained()
		synctest.Wait()
		must.Eq(t, 0, s.count())
	})
}

func getFor(t *testing.T, p *Pool, customer string) (*Conn, *panickingConn) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	conn, err := p.Get(ctx, customer)
	must.NoError(t, err)
	return conn, conn.Conn.(*panickingConn)
}

// TestPanicOverAStartupEndsTheOwner guards against an owner whose process ends because it panics over a
// target's answer to a new connection, and against a pool that counts that connection for good.
func TestPanicOverAStartupEndsTheOwner(t *testing.T) {
	withPanickingPool(t, 1, 3, func(t *testing.T, p *Pool) {
		conn, _ := getFor(t, p, "a")
		must.Eq(t, Stats{Limit: 1, Open: 1, Failed: 3}, p.Stats())
		must.MapEmpty(t, p.openingFor)
		p.Put(conn)
	})
}

// TestPanicOverAClosedConnectionEndsTheOwner guards against an owner whose process ends because it panics
// when it closes one customer's connection for another's, and against a pool that counts it for good.
func TestPanicOverAClosedConnectionEndsTheOwner(t *testing.T) {
	withPanickingPool(t, 1, 0, func(t *testing.T, p *Pool) {
		evicted, inner := getFor(t, p, "a")
		inner.inClose = true
		p.Put(evicted)
		discarded, inner := getFor(t, p, "b")
		inner.inClose = true
		p.Discard(discarded, false)
		conn, _ := getFor(t, p, "a")
		must.Eq(t, Stats{Limit: 1, Open: 1}, p.Stats())
		p.Put(conn)
	})
}

// TestPanicOverAProbeKeepsItsConnection guards against a connection that counts as open for good because its
// probe panicked, and against one that is used after that.
func TestPanicOverAProbeKeepsItsConnection(t *testing.T) {
	withPanickingPool(t, 1, 0, func(t *testing.T, p *Pool) {
		first, inner := getFor(t, p, "a")
		inner.inExchange = true
		p.Put(first)
		time.Sleep(2 * IdleProbeThreshold)
		second, _ := getFor(t, p, "a")
		must.True(t, second != first)
		must.Eq(t, Stats{Limit: 1, Open: 1, Silent: 1}, p.Stats())
		p.Put(second)
	})
}

// TestPanicOverACancellationEndsTheOwner guards against an owner whose process ends because it panics over
// the cancellation of a statement, which has a goroutine of its own.
func TestPanicOverACancellationEndsTheOwner(t *testing.T) {
	withPanickingPool(t, 1, 0, func(t *testing.T, p *Pool) {
		conn, inner := getFor(t, p, "a")
		inner.inCancel = true
		must.Error(t, conn.Cancel(t.Context()))
		p.Discard(conn, false)
	})
}
