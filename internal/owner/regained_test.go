package owner

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/request"
)

// releaseLimit is how long a release of these tests waits for transactions.
const releaseLimit = 5 * time.Second

// TestRegainedGroupRefusesWork guards against a node that owns a group again and refuses its requests until
// the release of its former ownership is over, which a slow transaction can hold up for seconds.
func TestRegainedGroupRefusesWork(t *testing.T) {
	withHarness(t, 5*time.Millisecond, nil, func(h *harness) {
		begin := h.request(request.KindBegin, "BEGIN", time.Second)
		_, err := h.serve(begin)
		must.NoError(t, err)
		released := make(chan error, 1)
		ctx, cancel := context.WithTimeout(context.Background(), releaseLimit)
		defer cancel()
		h.manager.SetOwned("ledger", false)
		go func() { released <- h.manager.Release(ctx, "ledger") }()
		time.Sleep(100 * time.Millisecond)
		_, err = h.serve(h.request(request.KindWrite, "INSERT 1", time.Second))
		mustRefuse(t, err, request.CodeNoOwner)
		h.manager.SetOwned("ledger", true)
		_, err = h.serve(h.request(request.KindWrite, "INSERT 2", time.Second))
		must.NoError(t, err)
		must.NoError(t, <-released)
		commit := nextRequest(begin, request.KindCommit, "COMMIT")
		commit.Deadline = time.Now().Add(time.Second)
		_, err = h.serve(commit)
		must.NoError(t, err)
		time.Sleep(releaseLimit)
		_, err = h.serve(h.request(request.KindWrite, "INSERT 3", time.Second))
		must.NoError(t, err)
		h.manager.SetOwned("ledger", false)
		must.NoError(t, h.manager.Release(context.Background(), "ledger"))
		for _, f := range h.group.targets {
			must.Eq(t, 0, f.open)
		}
	})
}

// TestStopKeepsWhatItReleases checks that a node that stops does not go on to serve a group that it is told
// to own.
func TestStopKeepsWhatItReleases(t *testing.T) {
	withHarness(t, 5*time.Millisecond, nil, func(h *harness) {
		begin := h.request(request.KindBegin, "BEGIN", time.Second)
		_, err := h.serve(begin)
		must.NoError(t, err)
		drained := make(chan error, 1)
		ctx, cancel := context.WithTimeout(context.Background(), releaseLimit)
		defer cancel()
		go func() { drained <- h.manager.Drain(ctx) }()
		time.Sleep(100 * time.Millisecond)
		h.manager.SetOwned("ledger", true)
		_, err = h.serve(h.request(request.KindWrite, "INSERT 1", time.Second))
		mustRefuse(t, err, request.CodeNoOwner)
		h.manager.End(begin.ID.Session)
		must.NoError(t, <-drained)
	})
}

// TestSecondLossWaitsAnew checks that a group that is lost again right after it was regained is released only
// once its work has ended.
func TestSecondLossWaitsAnew(t *testing.T) {
	withHarness(t, 5*time.Millisecond, nil, func(h *harness) {
		begin := h.request(request.KindBegin, "BEGIN", time.Second)
		_, err := h.serve(begin)
		must.NoError(t, err)
		released := make(chan error, 2)
		release := func() { released <- h.manager.Release(context.Background(), "ledger") }
		go release()
		time.Sleep(100 * time.Millisecond)
		h.manager.SetOwned("ledger", true)
		go release()
		must.NoError(t, <-released)
		time.Sleep(100 * time.Millisecond)
		_, err = h.serve(nextRequest(begin, request.KindCommit, "COMMIT"))
		must.NoError(t, err)
		must.NoError(t, <-released)
	})
}
