package owner

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/request"
)

// TestSuspensionBeforeConfirmationIsUnknown checks that a commit's outcome is unknown if the VM
// is suspended while the statement is in flight and no poll succeeds after the suspension.
func TestSuspensionBeforeConfirmationIsUnknown(t *testing.T) {
	var suspended atomic.Int64
	change := func(o *Options) {
		o.Suspended = func() time.Duration { return time.Duration(suspended.Load()) }
		// With these options, evidence from before the commit would confirm it.
		o.HeldTerms, o.SoleOrderer = true, func(string, uint64) bool { return true }
	}
	withHarness(t, 5*time.Millisecond, change, func(h *harness) {
		primary := h.group.targets[0]
		primary.update(func(f *fakeTarget) { f.serviceTime = 100 * time.Millisecond })
		go func() {
			time.Sleep(50 * time.Millisecond)
			for _, f := range h.group.targets {
				f.update(func(f *fakeTarget) { f.pollTime = time.Hour })
			}
			suspended.Store(int64(3 * time.Second))
		}()
		write := h.request(request.KindWrite, "INSERT suspended", 400*time.Millisecond)
		write.Profile.Confirm = fleet.ConfirmTerm
		_, err := h.serve(write)
		mustRefuse(t, err, request.CodeOutcomeUnknown)
		must.Eq(t, 1, primary.count("INSERT suspended"))
	})
}

// TestSuspensionInvalidatesEvidence checks that a suspension which the owner's clock does not
// count invalidates its evidence, so that nothing is sent to or acknowledged by a primary that
// may have been replaced meanwhile.
func TestSuspensionInvalidatesEvidence(t *testing.T) {
	var suspended atomic.Int64
	change := func(o *Options) {
		o.Suspended = func() time.Duration { return time.Duration(suspended.Load()) }
	}
	withHarness(t, 5*time.Millisecond, change, func(h *harness) {
		for _, f := range h.group.targets {
			f.update(func(f *fakeTarget) { f.pollTime = time.Hour })
		}
		suspended.Store(int64(3 * time.Second))
		_, err := h.serve(h.request(request.KindWrite, "INSERT suspended", 400*time.Millisecond))
		must.Error(t, err)
		must.Eq(t, 0, h.group.targets[0].count("INSERT suspended"))
	})
}
