package owner

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/request"
)

// TestReplacedPrimaryEndsPendingExchange checks that a write sent to a primary that froze is
// refused as soon as another target is primary, not only at the caller's deadline.
func TestReplacedPrimaryEndsPendingExchange(t *testing.T) {
	withHarness(t, 5*time.Millisecond, nil, func(h *harness) {
		old := h.group.targets[0]
		hold := make(chan struct{})
		defer close(hold)
		old.update(func(f *fakeTarget) { f.holdCommit = hold })
		go func() {
			time.Sleep(100 * time.Millisecond)
			old.update(func(f *fakeTarget) { f.unresponsive = true })
			h.group.promote(1, 2)
		}()
		began := time.Now()
		_, err := h.serve(h.request(request.KindWrite, "INSERT held", 30*time.Second))
		mustRefuse(t, err, request.CodeOutcomeUnknown)
		must.Less(t, 5*time.Second, time.Since(began))
	})
}

// TestReadThatRanIsNeverRefusedAsNotRun guards against a "not run" refusal for a read that
// ran: its first attempt loses the answer, and the second finds no target.
func TestReadThatRanIsNeverRefusedAsNotRun(t *testing.T) {
	withHarness(t, 5*time.Millisecond, nil, func(h *harness) {
		primary := h.group.targets[0]
		leave := func() { h.markLeaving(0) }
		primary.update(func(f *fakeTarget) { f.loseNextAnswer, f.onLostAnswer = true, leave })
		read := h.request(request.KindRead, "SELECT 1", 200*time.Millisecond)
		read.MinPositionKnown = false
		_, err := h.serve(read)
		mustRefuse(t, err, request.CodeOutcomeUnknown)
		must.ErrorContains(t, err, "no primary that a majority confirms")
		must.Eq(t, 1, primary.count("SELECT 1"))
	})
}
