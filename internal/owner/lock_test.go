package owner

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/contain"
	"crocusyoke/internal/request"
)

// TestPanicOverAPlacementLocksTheGroup guards against a group that nothing can use any more because a panic
// over the choice of a request's target left it locked.
func TestPanicOverAPlacementLocksTheGroup(t *testing.T) {
	var armed atomic.Bool
	orders := func(o *Options) {
		o.HeldTerms = true
		o.SoleOrderer = func(string, uint64) bool {
			if armed.Swap(false) {
				panic("unexpected term")
			}
			return true
		}
	}
	withHarness(t, 5*time.Millisecond, orders, func(h *harness) {
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		armed.Store(true)
		_, err := contain.Call("request", func() (*request.Response, error) {
			return h.serve(h.request(request.KindWrite, "INSERT 1", time.Second))
		})
		must.True(h, contain.Error.Has(err))
		_, err = h.serve(h.request(request.KindWrite, "INSERT 2", time.Second))
		must.NoError(h, err)
	})
}
