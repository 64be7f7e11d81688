package pool

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/target"

	"github.com/shoenig/test/must"
)

var errRefused = errors.New("refused")

const dialTime = 12 * time.Millisecond

// fakeServer counts connections; it can refuse to open them.
type fakeServer struct {
	mu            sync.Mutex
	open, maxOpen int
	dials         int
	refuse        bool
}

type fakeConn struct {
	server *fakeServer
	silent bool
	probes int
}

func (s *fakeServer) dial(ctx context.Context, _ string) (target.Conn, error) {
	s.mu.Lock()
	s.dials++
	refuse := s.refuse
	if !refuse {
		s.open++
		s.maxOpen = max(s.maxOpen, s.open)
	}
	s.mu.Unlock()
	if refuse {
		return nil, errRefused
	}
	if err := (clock.Wall{}).Sleep(ctx, dialTime); err != nil {
		s.closed()
		return nil, err
	}
	return &fakeConn{server: s}, nil
}

// count returns the number of open connections.
func (s *fakeServer) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

func (s *fakeServer) closed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
}

func (c *fakeConn) Exchange(ctx context.Context, _ []byte) (target.Reply, bool, error) {
	c.probes++
	if c.silent {
		<-ctx.Done()
		return target.Reply{}, true, ctx.Err()
	}
	return target.Reply{TxStatus: 'I'}, true, nil
}

func (c *fakeConn) Cancel(context.Context) error { return nil }

func (c *fakeConn) Close() error {
	c.server.closed()
	return nil
}

func withPool(t *testing.T, limit, spare int, check func(*testing.T, *Pool, *fakeServer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &fakeServer{}
		p := New(Options{Dial: s.dial, Probe: []byte("probe"), Clock: clock.Wall{}, Limit: limit, MinIdle: spare})
		time.Sleep(20 * time.Millisecond)
		check(t, p, s)
		p.Close()
		<-p.Drained()
		synctest.Wait()
		must.Eq(t, 0, s.count())
	})
}

func get(t *testing.T, p *Pool) *Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	conn, err := p.Get(ctx, "")
	must.NoError(t, err)
	return conn
}

func TestOpensAheadOfDemand(t *testing.T) {
	withPool(t, 10, 2, func(t *testing.T, p *Pool, _ *fakeServer) {
		started := time.Now()
		var held []*Conn
		for range 8 {
			held = append(held, get(t, p))
			time.Sleep(dialTime)
		}
		must.Eq(t, 8*dialTime, time.Since(started))
		for _, conn := range held {
			p.Put(conn)
		}
	})
}

func TestNeverAboveLimit(t *testing.T) {
	withPool(t, 7, 5, func(t *testing.T, p *Pool, s *fakeServer) {
		random := rand.New(rand.NewPCG(3, 4))
		var wg sync.WaitGroup
		for range 200 {
			start := time.Duration(random.IntN(500)) * time.Millisecond
			hold := time.Duration(random.IntN(20)) * time.Millisecond
			fate := random.IntN(4)
			wg.Go(func() {
				time.Sleep(start)
				ctx, cancel := context.WithTimeout(context.Background(), 20*hold)
				defer cancel()
				conn, err := p.Get(ctx, "")
				if err != nil {
					return
				}
				time.Sleep(hold)
				if fate == 0 {
					p.Discard(conn, false)
					return
				}
				p.Put(conn)
			})
		}
		wg.Wait()
		must.Eq(t, 7, s.maxOpen)
		p.SetLimit(3)
		time.Sleep(2 * dialTime)
		must.LessEq(t, 3, s.count())
	})
}

func TestConnectionsInUseCloseAfterLimitShrinks(t *testing.T) {
	withPool(t, 4, 1, func(t *testing.T, p *Pool, s *fakeServer) {
		var held []*Conn
		for range 4 {
			held = append(held, get(t, p))
		}
		p.SetLimit(2)
		must.Eq(t, 4, s.count())
		waiting := make(chan *Conn, 1)
		go func() { waiting <- get(t, p) }()
		synctest.Wait()
		for i, open := range []int{3, 2, 2, 2} {
			p.Put(held[i])
			must.Eq(t, open, s.count())
		}
		p.Put(<-waiting)
	})
}

// TryGet must not return a connection that needs a probe.
func TestTryGetSkipsConnectionsThatNeedProbe(t *testing.T) {
	withPool(t, 4, 2, func(t *testing.T, p *Pool, _ *fakeServer) {
		first := p.TryGet("")
		must.NotNil(t, first)
		p.Put(first)
		time.Sleep(2 * IdleProbeThreshold)
		must.Nil(t, p.TryGet(""))
		probed := get(t, p)
		p.Put(probed)
		must.True(t, p.TryGet("") == probed)
		p.Discard(probed, true)
		must.Nil(t, p.TryGet(""))
	})
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	withPool(t, 4, 2, func(t *testing.T, p *Pool, _ *fakeServer) {
		quiet := get(t, p)
		quiet.Conn.(*fakeConn).silent = true
		time.Sleep(2 * dialTime)
		p.Put(quiet)
		time.Sleep(IdleProbeThreshold + time.Millisecond)
		started := time.Now()
		conn := get(t, p)
		must.False(t, conn.Conn.(*fakeConn).silent)
		must.Eq(t, ProbeTimeout+dialTime, time.Since(started))
		p.Put(conn)
		must.Eq(t, 1, p.Stats().Silent)
	})
}

func TestSilentConnectionForcesProbeOfIdleOnes(t *testing.T) {
	withPool(t, 4, 2, func(t *testing.T, p *Pool, _ *fakeServer) {
		first, second := get(t, p), get(t, p)
		p.Put(second)
		time.Sleep(time.Millisecond)
		p.Discard(first, true)
		must.True(t, get(t, p) == second)
		must.Eq(t, 1, second.Conn.(*fakeConn).probes)
		p.Put(second)
		must.True(t, get(t, p) == second)
		must.Eq(t, 1, second.Conn.(*fakeConn).probes)
		p.Put(second)
	})
}

// TestManySilentConnectionsCostOneProbe checks that a request probes only one connection when
// every idle connection has gone silent.
func TestManySilentConnectionsCostOneProbe(t *testing.T) {
	withPool(t, 10, 5, func(t *testing.T, p *Pool, _ *fakeServer) {
		var held []*Conn
		for range 5 {
			held = append(held, get(t, p))
		}
		time.Sleep(2 * dialTime)
		for _, conn := range held {
			conn.Conn.(*fakeConn).silent = true
			p.Put(conn)
		}
		time.Sleep(IdleProbeThreshold + time.Millisecond)
		started := time.Now()
		p.Put(get(t, p))
		must.LessEq(t, ProbeTimeout+dialTime, time.Since(started))
	})
}

func TestUnusedConnectionsAreClosed(t *testing.T) {
	withPool(t, 10, 2, func(t *testing.T, p *Pool, s *fakeServer) {
		var held []*Conn
		for range 8 {
			held = append(held, get(t, p))
		}
		time.Sleep(2 * dialTime)
		for _, conn := range held {
			p.Put(conn)
		}
		must.Eq(t, 10, s.count())
		for range 20 {
			time.Sleep(IdleTimeout / 2)
			p.Put(get(t, p))
		}
		// Two idle connections, and one that was opened while another was in use.
		must.LessEq(t, 3, s.count())
	})
}

func TestBackoff(t *testing.T) {
	withPool(t, 4, 2, func(t *testing.T, p *Pool, s *fakeServer) {
		conns := []*Conn{get(t, p), get(t, p)}
		time.Sleep(50 * time.Millisecond)
		s.mu.Lock()
		s.refuse, s.dials = true, 0
		s.mu.Unlock()
		for _, conn := range conns {
			p.Discard(conn, false)
		}
		for range 2 {
			p.Discard(get(t, p), false)
		}
		time.Sleep(10 * time.Second)
		s.mu.Lock()
		must.Less(t, 20, s.dials)
		s.refuse = false
		s.mu.Unlock()
		p.Put(get(t, p))
	})
}

// TestCustomersDoNotShareConnections checks that a connection that serves one customer is
// never used for another, and that at the limit another customer's longest-idle connection is
// closed to make room.
func TestCustomersDoNotShareConnections(t *testing.T) {
	withPool(t, 3, 0, func(t *testing.T, p *Pool, s *fakeServer) {
		get := func(customer string) *Conn {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			conn, err := p.Get(ctx, customer)
			must.NoError(t, err)
			must.Eq(t, customer, conn.customer)
			return conn
		}
		for _, customer := range []string{"a", "b", "c"} {
			p.Put(get(customer))
			time.Sleep(time.Millisecond)
		}
		must.Nil(t, p.TryGet("d"))
		must.Eq(t, 3, s.dials)
		p.Put(get("b"))
		must.Eq(t, 3, s.dials)
		p.Put(get("d"))
		must.Eq(t, 4, s.dials)
		must.Nil(t, p.TryGet("a"), must.Sprint("the one idle for the longest made room"))
		must.Eq(t, 3, s.maxOpen)
		held := []*Conn{get("b"), get("c"), get("d")}
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err := p.Get(ctx, "a")
		must.Error(t, err)
		for _, conn := range held {
			p.Put(conn)
		}
	})
}
