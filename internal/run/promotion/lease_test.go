package promotion

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/platform"
	"crocusyoke/internal/platform/platformtest"
)

var errAway = errors.New("store away")

// row is a lease that this node holds; its writes fail while away is set.
type row struct {
	mu      sync.Mutex
	away    bool
	tried   int
	ordered uint64
}

func (l *row) State(string) (uint64, uint64, error) { return 1, 0, nil }

func (l *row) Announce(_ context.Context, _ string, term uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tried++
	if l.away {
		return errAway
	}
	l.ordered = term
	return nil
}

func (l *row) SetOrdered(_ string, _, term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ordered = term
}

func (l *row) setAway(away bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.away = away
}

func (l *row) tries() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tried
}

// TestPromotionIsAnnouncedFirst: no promotion is called that the lease's row does not name, and
// the node knows that it alone may order only while nothing that was called is unknown.
func TestPromotionIsAnnouncedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group, lease := newTargets(), &row{away: true}
		for _, s := range group.status {
			s.Own = 1
		}
		r := New(Options{
			Self: "n1", Domain: "rajkot-a", Deployment: "trust", Settle: 500 * time.Millisecond, Held: true, Lease: lease,
			Dialer: group, Peers: peers{group}, Nodes: func() []platform.VM { return []platform.VM{vm("n2", "morbi-b")} },
			Table: platformtest.New(), Config: group, Clock: clock.Wall{}, Logger: log.NewNopLogger(),
		})
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- r.Run(ctx) }()
		r.SetOwned("ledger-1", true)
		poll := func(times int) {
			for range times {
				for _, name := range []string{"t1", "t2", "t3"} {
					group.poll(r, name)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
		poll(10)
		must.True(t, r.Sole("ledger-1", 1))
		group.setDown("t1", true)
		poll(50)
		must.False(t, group.hasPromoted())
		must.Greater(t, 1, lease.tries())
		lease.setAway(false)
		poll(60)
		must.True(t, group.hasPromoted())
		must.False(t, r.Sole("ledger-1", 0))
		stop()
		must.NoError(t, <-ended)
	})
}
