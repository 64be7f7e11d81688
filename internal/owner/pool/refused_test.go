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

// refusingServer is a fakeServer that refuses the logins of one customer, after dialTime.
type refusingServer struct {
	fakeServer
	refused  string
	attempts int
}

func (s *refusingServer) dial(ctx context.Context, customer string) (target.Conn, error) {
	s.mu.Lock()
	isRefused := customer == s.refused
	if isRefused {
		s.attempts++
	}
	s.mu.Unlock()
	if !isRefused {
		return s.fakeServer.dial(ctx, customer)
	}
	if err := (clock.Wall{}).Sleep(ctx, dialTime); err != nil {
		return nil, err
	}
	return nil, target.ErrLoginRefused.New("refused: NOAUTH")
}

// timedGet returns how long it took to get a connection of customer, or to be refused one, within a second.
func timedGet(p *Pool, customer string) (conn *Conn, took time.Duration, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	began := time.Now()
	conn, err = p.Get(ctx, customer)
	return conn, time.Since(began), err
}

// TestRefusedLoginsDelayOthers guards against a customer whose logins the target refuses and whose backoff, and
// attempts that wait for it, keep other customers from opening a connection. That customer itself is told at once.
func TestRefusedLoginsDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &refusingServer{refused: "x"}
		p := New(Options{Dial: s.dial, Clock: clock.Wall{}, Limit: 2})
		stop := make(chan struct{})
		for range 4 {
			go func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(time.Millisecond):
					}
					if _, took, err := timedGet(p, "x"); !target.ErrLoginRefused.Has(err) || took > 2*dialTime {
						t.Errorf("customer x waited %s, error %v", took, err)
					}
				}
			}()
		}
		time.Sleep(3 * time.Second)
		for _, customer := range []string{"a", "b", "c"} {
			conn, took, err := timedGet(p, customer)
			must.NoError(t, err)
			must.LessEq(t, 2*dialTime, took, must.Sprint(customer))
			p.Put(conn)
			time.Sleep(300 * time.Millisecond)
		}
		close(stop)
		time.Sleep(2 * time.Second)
		must.LessEq(t, 15, s.attempts, must.Sprint("a refused customer backs off"))
		s.mu.Lock()
		s.refused = ""
		s.mu.Unlock()
		conn, _, err := timedGet(p, "x")
		must.NoError(t, err)
		p.Put(conn)
		p.Close()
		<-p.Drained()
		synctest.Wait()
		must.Zero(t, s.count())
	})
}

// TestRefusedLoginIsRepeatedWithoutPause guards against a pool that keeps connections ready and whose login the target
// refuses: it would dial again at once, for good.
func TestRefusedLoginIsRepeatedWithoutPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &refusingServer{}
		p := New(Options{Dial: s.dial, Clock: clock.Wall{}, Limit: 4, MinIdle: 2})
		defer p.Close()
		_, _, _ = timedGet(p, "")
		time.Sleep(10 * time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		must.LessEq(t, 30, s.attempts)
	})
}
