package owner

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/request"
	"crocusyoke/internal/target"
)

// decliningGroup is a group whose targets decline polls while declines is set.
type decliningGroup struct {
	pollableGroup
	declines atomic.Bool
	polls    atomic.Int32
}

func (g *decliningGroup) Control(ctx context.Context, login target.Login) (target.Control, error) {
	if g.declines.Load() {
		g.polls.Add(1)
		return nil, Error.Wrap(target.ErrDeclined.New("no connection"))
	}
	return g.pollableGroup.Control(ctx, login)
}

// TestDecliningTargetIsPolledWithoutPause guards against polls that a target declines and that count as lost, or that
// follow each other without a pause.
func TestDecliningTargetIsPolledWithoutPause(t *testing.T) {
	group := &decliningGroup{}
	var declined, unreachable atomic.Int32
	group.declines.Store(true)
	use := func(o *Options) {
		group.pollableGroup = o.Dialer.(pollableGroup)
		o.Dialer = group
		o.Declined = func(string, string, time.Time) { declined.Add(1) }
		o.Unreachable = func(string, string, time.Time) { unreachable.Add(1) }
	}
	withHarness(t, 5*time.Millisecond, use, func(h *harness) {
		_, err := h.serve(h.request(request.KindWrite, "INSERT 1", time.Second))
		must.Error(h, err)
		synctest.Wait()
		must.Zero(h, unreachable.Load())
		must.Eq(h, declined.Load(), group.polls.Load())
		must.Between(h, 3, group.polls.Load(), 3*30)
		group.declines.Store(false)
		time.Sleep(300 * time.Millisecond)
		_, err = h.serve(h.request(request.KindWrite, "INSERT 2", time.Second))
		must.NoError(h, err)
	})
}
