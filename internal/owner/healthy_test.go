package owner

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/request"
)

// serveWithin serves a request whose context ends at its deadline, as that of a caller's request does.
func (h *harness) serveWithin(req *request.Request) error {
	ctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
	defer cancel()
	_, err := h.manager.Serve(ctx, req)
	return err
}

// TestHealthyGroupIsUnconfirmed guards against statements that are refused for want of recent polls although every
// target answers its polls: polls under held terms are far apart, and what they show counts for a short time.
func TestHealthyGroupIsUnconfirmed(t *testing.T) {
	for _, sole := range []bool{false, true} {
		held := func(o *Options) {
			o.HeldTerms, o.FailFastWithoutPrimary = true, true
			o.SoleOrderer = func(string, uint64) bool { return sole }
		}
		withHarness(t, 5*time.Millisecond, held, func(h *harness) {
			for i := range 60 {
				must.NoError(t, h.serveWithin(h.request(request.KindWrite, fmt.Sprint("INSERT ", i), time.Second)))
				must.NoError(t, h.serveWithin(h.request(request.KindRead, "SELECT 1", time.Second)))
				time.Sleep(time.Duration(i%11) * 30 * time.Millisecond)
			}
			time.Sleep(idleAfter + 2*time.Second)
			must.NoError(t, h.serveWithin(h.request(request.KindWrite, "INSERT idle", time.Second)))
		})
	}
}
