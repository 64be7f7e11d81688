package promotion

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/platform"
	"crocusyoke/internal/platform/platformtest"
	"crocusyoke/internal/target"
)

// evacuatedGroup is a fakeGroup whose primary's failure domain is evacuated. A connection takes dialTime.
type evacuatedGroup struct{ *fakeGroup }

const dialTime = 10 * time.Millisecond

func (g evacuatedGroup) Current() *fleet.Config {
	config := g.fakeGroup.Current()
	config.Groups[0].Targets[0].Evacuated = true
	return config
}

func (g evacuatedGroup) Control(ctx context.Context, login target.Login) (target.Control, error) {
	if err := (clock.Wall{}).Sleep(ctx, dialTime); err != nil {
		return nil, err
	}
	return g.fakeGroup.Control(ctx, login)
}

// TestOrderBehindAnAnnouncementIsCancelled guards against an order that is cancelled because it follows from an
// announcement that has ended: an evacuated primary was not fenced until it was given up.
func TestOrderBehindAnAnnouncementIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := evacuatedGroup{newFakeGroup()}
		for _, s := range group.status {
			s.OwnTerm = 1
		}
		r := New(Options{
			Self: "n1", Domain: "rajkot-a", Deployment: "trust", Settle: 500 * time.Millisecond, HeldTerms: true, Lease: &fakeLease{},
			Dialer: group, Peers: fakePeers{group.fakeGroup}, Nodes: func() []platform.VM { return []platform.VM{vm("n2", "morbi-b")} },
			Table: platformtest.New(), Config: group, Clock: clock.Wall{}, Logger: log.NewNopLogger(),
		})
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- r.Run(ctx) }()
		r.SetOwned("ledger-1", true)
		for range 10 {
			for _, name := range []string{"t1", "t2", "t3"} {
				group.poll(r, name)
			}
			time.Sleep(50 * time.Millisecond)
		}
		must.True(t, group.hasPromoted())
		group.update("t1", func(s *target.Status) { must.Eq(t, target.RoleReplica, s.Role) })
		stop()
		must.NoError(t, <-ended)
	})
}

func (g evacuatedGroup) update(name string, change func(*target.Status)) {
	_, _ = (&fakeControl{group: g.fakeGroup, name: name}).update(change)
}
