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
	"crocusyoke/internal/run/lease"
)

var errStoreDown = errors.New("store unavailable")

// fakeLease is a lease that this node holds; its writes fail while storeDown is set.
type fakeLease struct {
	mu               sync.Mutex
	storeDown        bool
	announceAttempts int
	ordered          uint64
}

func (l *fakeLease) State(string) (lease.State, error) { return lease.State{Fence: 1}, nil }

func (l *fakeLease) Announce(_ context.Context, _ string, term uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.announceAttempts++
	if l.storeDown {
		return errStoreDown
	}
	l.ordered = term
	return nil
}

func (l *fakeLease) SetOrderedTerm(_ string, _, term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ordered = term
}

func (l *fakeLease) setStoreDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.storeDown = down
}

func (l *fakeLease) attempts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.announceAttempts
}

// TestPromotionIsAnnouncedBeforeItIsOrdered checks that no promotion is ordered before the
// lease's row contains its term, and that IsSoleOrderer is true only while the outcome of
// every ordered promotion is known.
func TestPromotionIsAnnouncedBeforeItIsOrdered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group, lease := newFakeGroup(), &fakeLease{storeDown: true}
		for _, s := range group.status {
			s.OwnTerm = 1
		}
		r := New(Options{
			Self: "n1", Domain: "rajkot-a", Deployment: "trust", Settle: 500 * time.Millisecond, HeldTerms: true, Lease: lease,
			Dialer: group, Peers: fakePeers{group}, Nodes: func() []platform.VM { return []platform.VM{vm("n2", "morbi-b")} },
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
		must.True(t, r.IsSoleOrderer("ledger-1", 1))
		group.setDown("t1", true)
		poll(50)
		must.False(t, group.hasPromoted())
		must.Greater(t, 1, lease.attempts())
		lease.setStoreDown(false)
		poll(60)
		must.True(t, group.hasPromoted())
		must.False(t, r.IsSoleOrderer("ledger-1", 0))
		stop()
		must.NoError(t, <-ended)
	})
}
