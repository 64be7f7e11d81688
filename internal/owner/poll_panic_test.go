package owner

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/contain"
	"crocusyoke/internal/request"
)

// TestPanicOverAPollEndsTheOwner guards against an owner whose process ends because it panics over what a
// target reports of itself, and against a group that can't be used after that.
func TestPanicOverAPollEndsTheOwner(t *testing.T) {
	var armed atomic.Bool
	orders := func(o *Options) {
		o.HeldTerms = true
		o.SoleOrderer = func(string, uint64) bool {
			if armed.Load() {
				panic("unexpected term")
			}
			return true
		}
	}
	withHarness(t, 5*time.Millisecond, orders, func(h *harness) {
		armed.Store(true)
		time.Sleep(3 * contain.PauseAfterPanic)
		armed.Store(false)
		time.Sleep(2 * contain.PauseAfterPanic)
		_, err := h.serve(h.request(request.KindWrite, "INSERT 1", time.Second))
		must.NoError(h, err)
	})
}
