package owner

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/request"
)

// TestSuspendedOwnerAsksAgain: a suspension that the owner's clock does not show makes its
// evidence worthless: what was acknowledged by a primary meanwhile replaced is not passed on.
func TestSuspendedOwnerAsksAgain(t *testing.T) {
	var suspended atomic.Int64
	change := func(o *Options) {
		o.Suspended = func() time.Duration { return time.Duration(suspended.Load()) }
	}
	withHarness(t, 5*time.Millisecond, change, func(h *harness) {
		for _, f := range h.group.targets {
			f.set(func(f *fakeTarget) { f.control = time.Hour })
		}
		suspended.Store(int64(3 * time.Second))
		_, err := h.serve(h.request(request.KindWrite, "INSERT suspended", 400*time.Millisecond))
		must.Error(t, err)
		must.Eq(t, 0, h.group.targets[0].count("INSERT suspended"))
	})
}
