package owner

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/request"

	"github.com/shoenig/test/must"
)

func TestReleaseUnderLoad(t *testing.T) {
	withHarness(t, 5*time.Millisecond, nil, func(h *harness) {
		var mu sync.Mutex
		outcomes := make(map[string]string)
		var wg sync.WaitGroup
		for i := range 20 {
			wg.Go(func() {
				for j := range 20 {
					text := fmt.Sprintf("INSERT %d %d", i, j)
					_, err := h.serve(h.request(request.KindWrite, text, 2*time.Second))
					result := "done"
					if err != nil {
						result = request.AsRefusal(err).Code.Name
					}
					mu.Lock()
					outcomes[text] = result
					mu.Unlock()
				}
			})
		}
		begin := h.request(request.KindBegin, "BEGIN", time.Second)
		_, err := h.serve(begin)
		must.NoError(t, err)
		time.Sleep(30 * time.Millisecond)
		wg.Go(func() {
			time.Sleep(50 * time.Millisecond)
			_, err := h.serve(nextRequest(begin, request.KindCommit, "COMMIT"))
			must.NoError(h, err)
		})
		must.NoError(t, h.manager.Release(context.Background(), "ledger"))
		for _, f := range h.group.targets {
			must.Eq(t, 0, f.open)
		}
		wg.Wait()
		tally := make(map[string]int)
		for text, outcome := range outcomes {
			tally[outcome]++
			want := 0
			if outcome == "done" {
				want = 1
			}
			must.Eq(t, want, h.group.targets[0].count(text), must.Sprint(text, outcome))
		}
		must.Positive(t, tally["done"])
		must.Positive(t, tally[request.CodeNoOwner.Name])
		must.Eq(t, len(outcomes), tally["done"]+tally[request.CodeNoOwner.Name], must.Sprint(tally))
		_, err = h.serve(h.request(request.KindWrite, "INSERT x", time.Second))
		mustRefuse(t, err, request.CodeNoOwner)
	})
}

func TestTwoOwnersStayWithinConnections(t *testing.T) {
	withHarness(t, 5*time.Millisecond, nil, func(h *harness) {
		for _, f := range h.group.targets {
			f.update(func(f *fakeTarget) { f.openLimit = 1000 })
		}
		second := New(Options{Self: "n2", Domain: "b", Dialer: pollableGroup{h.group}, Config: h.group})
		second.SetOwned("ledger", true)
		var wg sync.WaitGroup
		for i := range 60 {
			m := []*Manager{h.manager, second}[i%2]
			wg.Go(func() {
				begin := h.request(request.KindBegin, "BEGIN", 3*time.Second)
				if _, err := m.Serve(context.Background(), begin); err != nil {
					return
				}
				_, _ = m.Serve(context.Background(), nextRequest(begin, request.KindInTransaction, fmt.Sprintf("INSERT %d", i)))
				time.Sleep(200 * time.Millisecond)
				_, _ = m.Serve(context.Background(), nextRequest(begin, request.KindCommit, "COMMIT"))
			})
		}
		wg.Wait()
		must.NoError(t, second.Drain(context.Background()))
		for _, f := range h.group.targets {
			must.LessEq(t, fakeConnections-controlConnections, f.maxOpen)
		}
		must.Eq(t, 60, h.group.targets[0].count("COMMIT"))
	})
}

// markLeaving marks the target at index as leaving in the configuration in force.
func (h *harness) markLeaving(index int) {
	config := *h.group.Current()
	group := config.Groups[0]
	group.Targets = append([]fleet.Target(nil), group.Targets...)
	group.Targets[index].Leaving = true
	config.Groups = []fleet.Group{group}
	config.Version++
	h.group.config.Store(&config)
}

func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	withHarness(t, 5*time.Millisecond, nil, func(h *harness) {
		h.markLeaving(1)
		for range 20 {
			answer, err := h.serve(h.request(request.KindRead, "SELECT 1", time.Second))
			must.NoError(t, err)
			must.NotEq(t, "db1", answer.Target)
		}
	})
}

func TestWriteWaitsForNewPrimary(t *testing.T) {
	withHarness(t, 5*time.Millisecond, nil, func(h *harness) {
		h.group.targets[0].update(func(f *fakeTarget) { f.unresponsive = true })
		h.group.targets[1].update(func(f *fakeTarget) { f.term = 2 })
		time.Sleep(150 * time.Millisecond)
		go func() {
			time.Sleep(500 * time.Millisecond)
			h.group.promote(2, 2)
		}()
		answer, err := h.serve(h.request(request.KindWrite, "INSERT 1", 2*time.Second))
		must.NoError(t, err)
		must.Eq(t, "db2", answer.Target)
		must.Eq(t, 0, h.group.targets[0].count("INSERT 1"))
	})
}
