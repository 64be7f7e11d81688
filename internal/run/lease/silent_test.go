package lease

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/platform"
	"crocusyoke/internal/platform/platformtest"
)

// silentTable leaves the calls that begin while isSilent is set without an answer.
type silentTable struct {
	*platformtest.Fake
	isSilent atomic.Bool
}

func (s *silentTable) Get(ctx context.Context, key string) (platform.Row, error) {
	if s.isSilent.Load() {
		<-ctx.Done()
		return platform.Row{}, platform.ErrOutage.Wrap(ctx.Err())
	}
	return s.Fake.Get(ctx, key)
}

func (s *silentTable) Put(ctx context.Context, key string, version uint64, value []byte) (platform.Row, error) {
	if s.isSilent.Load() {
		<-ctx.Done()
		return platform.Row{}, platform.ErrOutcomeUnknown.Wrap(ctx.Err())
	}
	return s.Fake.Put(ctx, key, version, value)
}

// TestSilentCallLosesTheLeaseInARestore guards against a holder that waits for the answer to a call from before a
// restore until its lease has ended: nobody may take the lease for RestoreWait then, and the ordered terms are unknown.
func TestSilentCallLosesTheLeaseInARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &silentTable{Fake: platformtest.New()}
		lost := table.Copy()
		k := newKeeper(table.Fake, "n1", "a", &suspension{})
		k.o.Table = table
		defer start(k)()
		k.SetWanted("g", true)
		time.Sleep(time.Second)
		must.Positive(t, heldFence(k))
		table.isSilent.Store(true)
		// The renewal is under way, and the lease ends sooner than a failed call is repeated.
		time.Sleep(TTL - expiryMargin - retryInterval - 700*time.Millisecond)
		table.isSilent.Store(false)
		table.Restore(lost)
		k.ObserveEra(2)
		for range 200 {
			time.Sleep(50 * time.Millisecond)
			state, err := k.State("g")
			must.NoError(t, err)
			must.False(t, state.TermUnknown)
		}
	})
}

// TestSilentAnnouncementHoldsTheLeaseInARestore guards against the same by the call that announces a term.
func TestSilentAnnouncementHoldsTheLeaseInARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &silentTable{Fake: platformtest.New()}
		lost := table.Copy()
		k := newKeeper(table.Fake, "n1", "a", &suspension{})
		k.o.Table = table
		defer start(k)()
		k.SetWanted("g", true)
		time.Sleep(time.Second)
		table.isSilent.Store(true)
		announced := make(chan error, 1)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { announced <- k.Announce(ctx, "g", 5) }()
		synctest.Wait()
		table.isSilent.Store(false)
		table.Restore(lost)
		k.ObserveEra(2)
		synctest.Wait()
		must.Eq(t, 1, len(announced))
		must.Error(t, <-announced)
		time.Sleep(time.Second)
		state, err := k.State("g")
		must.NoError(t, err)
		must.False(t, state.TermUnknown)
	})
}
