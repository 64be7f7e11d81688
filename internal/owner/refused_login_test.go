package owner

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/request"
	"crocusyoke/internal/target"
)

// loginRefusingGroup is a group whose targets refuse the customer's login.
type loginRefusingGroup struct{ pollableGroup }

func (loginRefusingGroup) Dial(context.Context, target.Login) (target.Conn, error) {
	return nil, Error.Wrap(target.ErrLoginRefused.New("unknown customer"))
}

// TestRefusedLoginCountsAgainstTarget guards against a target that requests of all customers avoid because it refuses
// the login of one.
func TestRefusedLoginCountsAgainstTarget(t *testing.T) {
	refuse := func(o *Options) { o.Dialer = loginRefusingGroup{o.Dialer.(pollableGroup)} }
	withHarness(t, 5*time.Millisecond, refuse, func(h *harness) {
		_, err := h.serve(h.request(request.KindWrite, "INSERT 1", time.Second))
		mustRefuse(t, err, request.CodeNoTarget)
		g := h.manager.groups["ledger"]
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, m := range g.members {
			must.Zero(h, m.errorShare, must.Sprint(m.name))
		}
	})
}
