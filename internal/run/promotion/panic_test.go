package promotion

import (
	"context"
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

// panickingLease panics in the given number of calls of State.
type panickingLease struct{ left int }

func (l *panickingLease) State(string) (lease.State, error) {
	if l.left > 0 {
		l.left--
		panic("unexpected value")
	}
	return lease.State{Fence: 1}, nil
}

func (l *panickingLease) Announce(context.Context, string, uint64) error { return nil }

func (l *panickingLease) SetOrderedTerm(string, uint64, uint64) {}

// TestPanicInATickEndsTheProcess guards against a panic in the controller's step that ends the process or
// leaves the group locked. The step is taken again after a pause.
func TestPanicInATickEndsTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := newFakeGroup()
		r := New(Options{
			Self: "n1", Domain: "rajkot-a", Settle: 500 * time.Millisecond, Dialer: group, Peers: fakePeers{group},
			Nodes: func() []platform.VM { return []platform.VM{vm("n2", "morbi-b")} }, Lease: &panickingLease{left: 2},
			Table: platformtest.New(), Config: group, Clock: clock.Wall{}, Logger: log.NewNopLogger(),
		})
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- r.Run(ctx) }()
		r.SetOwned("ledger-1", true)
		for i := range 80 {
			group.setDown("t1", i >= 10)
			for _, name := range []string{"t1", "t2", "t3"} {
				group.poll(r, name)
			}
			time.Sleep(100 * time.Millisecond)
		}
		must.False(t, group.promoted.IsZero())
		stop()
		must.NoError(t, <-ended)
	})
}
