package owner

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/request"
	"crocusyoke/internal/target"
)

// customersDialer is a pollableGroup whose connections serve one customer each.
type customersDialer struct{ pollableGroup }

func (customersDialer) Commands() target.Commands {
	return target.Commands{Rollback: simpleQuery("ROLLBACK"), PerCustomer: true}
}

// fillConnections has m serve a write of each of 40 customers, which leaves as many idle connections as m may
// hold, and returns how many writes were refused.
func (h *harness) fillConnections(m *Manager) int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	refused := 0
	for i := range 40 {
		wg.Go(func() {
			req := h.request(request.KindWrite, fmt.Sprintf("INSERT %s %d", m.options.Self, i), 2*time.Second)
			req.Customer = fmt.Sprintf("customer-%d", i)
			if _, err := m.Serve(context.Background(), req); err != nil {
				mu.Lock()
				defer mu.Unlock()
				refused++
			}
		})
	}
	wg.Wait()
	return refused
}

// TestFormerOwnersKeepTheNextOneOut guards against a group that nobody serves after a cut has healed: each half
// had an owner, the owner of the whole is a third node, and the former two held all connections to the
// targets until their release.
func TestFormerOwnersKeepTheNextOneOut(t *testing.T) {
	perCustomer := func(o *Options) { o.Dialer = customersDialer{o.Dialer.(pollableGroup)} }
	withHarness(t, 5*time.Millisecond, perCustomer, func(h *harness) {
		for _, f := range h.group.targets {
			f.update(func(f *fakeTarget) { f.openLimit = fakeConnections - controlConnections })
		}
		next := func(name string) *Manager {
			m := New(Options{Self: name, Domain: "b", Dialer: h.manager.options.Dialer, Config: h.group})
			m.SetOwned("ledger", true)
			time.Sleep(300 * time.Millisecond)
			return m
		}
		second := next("n2")
		must.Eq(t, 0, h.fillConnections(h.manager))
		must.Eq(t, 0, h.fillConnections(second))
		h.manager.SetOwned("ledger", false)
		second.SetOwned("ledger", false)
		time.Sleep(formerOwnerGrace + sweepInterval)
		third := next("n3")
		must.Eq(t, 0, h.fillConnections(third))
		must.Positive(t, h.group.targets[0].open)
		open := third.groups["ledger"].members[0].pool.Stats()
		must.Eq(t, open.Limit, open.Open)
		must.Eq(t, 0, open.Failed)
		must.NoError(t, second.Drain(context.Background()))
		must.NoError(t, third.Drain(context.Background()))
	})
}
