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

// server counts connections; it can refuse to open them.
type server struct {
	mu            sync.Mutex
	open, maxOpen int
	dials         int
	refuse        bool
}

type serverConn struct {
	server *server
	silent bool
	probes int
}

func (s *server) dial(ctx context.Context, _ string) (target.Conn, error) {
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
	return &serverConn{server: s}, nil
}

// count returns the number of open connections.
func (s *server) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

func (s *server) closed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
}

func (c *serverConn) Exchange(ctx context.Context, _ []byte) (target.Reply, bool, error) {
	c.probes++
	if c.silent {
		<-ctx.Done()
		return target.Reply{}, true, ctx.Err()
	}
	return target.Reply{TxStatus: 'I'}, true, nil
}

func (c *serverConn) Cancel(context.Context) error { return nil }

func (c *serverConn) Close() error {
	c.server.closed()
	return nil
}

func withPool(t *testing.T, limit, spare int, check func(*testing.T, *Pool, *server)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &server{}
		p := New(Options{Dial: s.dial, Probe: []byte("probe"), Clock: clock.Wall{}, Limit: limit, Spare: spare})
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

func TestOpeningIsOffTheWay(t *testing.T) {
	withPool(t, 10, 2, func(t *testing.T, p *Pool, _ *server) {
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
	withPool(t, 7, 5, func(t *testing.T, p *Pool, s *server) {
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

func TestLentConnectionsLeaveWhenTheLimitFalls(t *testing.T) {
	withPool(t, 4, 1, func(t *testing.T, p *Pool, s *server) {
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

// Only a connection that needs no probe is lent without one.
func TestTryGetLendsNoDoubtfulConnection(t *testing.T) {
	withPool(t, 4, 2, func(t *testing.T, p *Pool, _ *server) {
		first := p.TryGet("")
		must.NotNil(t, first)
		p.Put(first)
		time.Sleep(2 * QuietLimit)
		must.Nil(t, p.TryGet(""))
		probed := get(t, p)
		p.Put(probed)
		must.True(t, p.TryGet("") == probed)
		p.Discard(probed, true)
		must.Nil(t, p.TryGet(""))
	})
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	withPool(t, 4, 2, func(t *testing.T, p *Pool, _ *server) {
		quiet := get(t, p)
		quiet.Conn.(*serverConn).silent = true
		time.Sleep(2 * dialTime)
		p.Put(quiet)
		time.Sleep(QuietLimit + time.Millisecond)
		started := time.Now()
		conn := get(t, p)
		must.False(t, conn.Conn.(*serverConn).silent)
		must.Eq(t, ProbeTimeout+dialTime, time.Since(started))
		p.Put(conn)
		must.Eq(t, 1, p.Stats().Silent)
	})
}

func TestOneSilentConnectionPutsIdleOnesInDoubt(t *testing.T) {
	withPool(t, 4, 2, func(t *testing.T, p *Pool, _ *server) {
		first, second := get(t, p), get(t, p)
		p.Put(second)
		time.Sleep(time.Millisecond)
		p.Discard(first, true)
		must.True(t, get(t, p) == second)
		must.Eq(t, 1, second.Conn.(*serverConn).probes)
		p.Put(second)
		must.True(t, get(t, p) == second)
		must.Eq(t, 1, second.Conn.(*serverConn).probes)
		p.Put(second)
	})
}

// TestManySilentConnectionsCostOneProbe silences every idle connection at once.
func TestManySilentConnectionsCostOneProbe(t *testing.T) {
	withPool(t, 10, 5, func(t *testing.T, p *Pool, _ *server) {
		var held []*Conn
		for range 5 {
			held = append(held, get(t, p))
		}
		time.Sleep(2 * dialTime)
		for _, conn := range held {
			conn.Conn.(*serverConn).silent = true
			p.Put(conn)
		}
		time.Sleep(QuietLimit + time.Millisecond)
		started := time.Now()
		p.Put(get(t, p))
		must.LessEq(t, ProbeTimeout+dialTime, time.Since(started))
	})
}

func TestUnusedConnectionsAreClosed(t *testing.T) {
	withPool(t, 10, 2, func(t *testing.T, p *Pool, s *server) {
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
			time.Sleep(IdleLimit / 2)
			p.Put(get(t, p))
		}
		// Two spare ones, and one that was opened while another was lent.
		must.LessEq(t, 3, s.count())
	})
}

func TestBackoff(t *testing.T) {
	withPool(t, 4, 2, func(t *testing.T, p *Pool, s *server) {
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

// TestCustomersDoNotShare: where connections serve one customer, another's is never lent; at
// the limit the connection idle for the longest of another customer makes room.
func TestCustomersDoNotShare(t *testing.T) {
	withPool(t, 3, 0, func(t *testing.T, p *Pool, s *server) {
		lend := func(customer string) *Conn {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			conn, err := p.Get(ctx, customer)
			must.NoError(t, err)
			must.Eq(t, customer, conn.customer)
			return conn
		}
		for _, customer := range []string{"a", "b", "c"} {
			p.Put(lend(customer))
			time.Sleep(time.Millisecond)
		}
		must.Nil(t, p.TryGet("d"))
		must.Eq(t, 3, s.dials)
		p.Put(lend("b"))
		must.Eq(t, 3, s.dials)
		p.Put(lend("d"))
		must.Eq(t, 4, s.dials)
		must.Nil(t, p.TryGet("a"), must.Sprint("the one idle for the longest made room"))
		must.Eq(t, 3, s.maxOpen)
		held := []*Conn{lend("b"), lend("c"), lend("d")}
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err := p.Get(ctx, "a")
		must.Error(t, err)
		for _, conn := range held {
			p.Put(conn)
		}
	})
}
