package owner

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/request"
)

// TestReaderServesFromItsOwnDomain checks that a nearby read is served by the replica of the node's failure domain,
// and refused at once as not run where there is none.
func TestReaderServesFromItsOwnDomain(t *testing.T) {
	for _, domain := range []string{"a", "b"} {
		withHarness(t, time.Millisecond, func(o *Options) { o.Domain = domain }, func(h *harness) {
			began := time.Now()
			req := h.request(request.KindRead, "select 1", time.Second)
			req.Nearby = true
			response, err := h.serve(req)
			if err != nil {
				mustRefuse(t, err, request.CodeNoTarget)
				must.Less(t, 10*time.Millisecond, time.Since(began))
				return
			}
			must.True(t, response.Replica)
			target := h.group.Current().Group("ledger").Targets
			for i := range target {
				if target[i].Name == response.Target {
					must.Eq(t, domain, target[i].Domain)
				}
			}
		})
	}
}

// TestReaderServesAgainWhatItReleased guards against a node that owned a group, released it and refuses its reads ever
// after, although it has become the reader of its failure domain.
func TestReaderServesAgainWhatItReleased(t *testing.T) {
	withHarness(t, time.Millisecond, nil, func(h *harness) {
		h.manager.SetOwned("ledger", false)
		must.NoError(t, h.manager.Release(context.Background(), "ledger"))
		_, err := h.serve(h.request(request.KindRead, "select 1", time.Second))
		mustRefuse(t, err, request.CodeNoOwner)
		h.manager.SetReads("ledger", true)
		_, err = h.serve(h.request(request.KindRead, "select 1", time.Second))
		must.NoError(t, err)
	})
}

// TestReadersStayWithinConnections checks that the owner, the readers of all other failure domains and those that they
// have just replaced hold no more connections to any target than it allows.
func TestReadersStayWithinConnections(t *testing.T) {
	for _, connections := range []int{23, 34, 56, 117, 285} {
		for _, domains := range []int{3, 6} {
			withHarness(t, time.Millisecond, func(o *Options) {
				o.HasReader = func(_, domain string) bool { return domain != o.Domain }
			}, func(h *harness) {
				g := h.manager.groups["ledger"]
				g.mu.Lock()
				defer g.mu.Unlock()
				members := g.members
				defer func() { g.members = members }()
				g.members = nil
				for i := range domains {
					g.members = append(g.members, &member{group: g, target: fleet.Target{Domain: fmt.Sprint(i), Slots: 4, Connections: connections}})
				}
				g.members[0].target.Domain = "a"
				_, data := g.limits(&g.members[0].target)
				must.LessEq(t, connections, 2*data+2*domains)
			})
		}
	}
}

// TestLimitsKeepWithANewConfiguration guards against limits that count only a part of the readers each time that a
// configuration comes, so that the nodes together hold more connections than a target allows.
func TestLimitsKeepWithANewConfiguration(t *testing.T) {
	change := func(o *Options) { o.HasReader = func(_, domain string) bool { return domain != "a" } }
	withHarness(t, time.Millisecond, change, func(h *harness) {
		h.evacuate()
		time.Sleep(time.Second)
		g := h.manager.groups["ledger"]
		h.evacuate()
		g.mu.Lock()
		defer g.mu.Unlock()
		before := g.members[0].pool.Stats().Limit
		g.refresh()
		for _, m := range g.members {
			_, want := g.limits(&m.target)
			must.Eq(t, before, want)
			must.Eq(t, want, m.pool.Stats().Limit)
		}
	})
}

// TestReaderHoldsConnectionsInItsDomain checks that a reader that does not own its group may hold as many connections as an
// owner only to the targets of its own failure domain, and only while it is the reader. A release that waits ends when it
// becomes the reader.
func TestReaderHoldsConnectionsInItsDomain(t *testing.T) {
	withHarness(t, time.Millisecond, func(o *Options) { o.HasReader = func(string, string) bool { return false } }, func(h *harness) {
		h.evacuate()
		reader := New(Options{Self: "n2", Domain: "b", Dialer: pollableGroup{h.group}, Config: h.group, HasReader: h.manager.options.HasReader})
		limits := func() []int {
			time.Sleep(time.Second)
			var all []int
			for _, m := range reader.groups["ledger"].members {
				all = append(all, m.pool.Stats().Limit)
			}
			return all
		}
		half := dataConnectionLimit(fakeConnections, false)
		reader.SetReads("ledger", true)
		begin := h.request(request.KindBegin, "BEGIN", time.Minute)
		_, err := reader.Serve(context.Background(), begin)
		must.NoError(t, err)
		must.Eq(t, []int{fakeSlots, half, fakeSlots}, limits())
		reader.SetReads("ledger", false)
		must.Eq(t, []int{fakeSlots, fakeSlots, fakeSlots}, limits())
		released := make(chan error)
		go func() { released <- reader.Release(context.Background(), "ledger") }()
		time.Sleep(time.Second)
		reader.SetReads("ledger", true)
		must.NoError(t, <-released)
		must.Eq(t, []int{fakeSlots, half, fakeSlots}, limits())
		_, err = reader.Serve(context.Background(), nextRequest(begin, request.KindCommit, "COMMIT"))
		must.NoError(t, err)
		must.NoError(t, reader.Drain(context.Background()))
	})
}
