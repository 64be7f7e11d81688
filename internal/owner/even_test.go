package owner

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/owner/balance"
	"crocusyoke/internal/request"
)

// read serves a read at any replica, and returns the target's name.
func (h *harness) read() string {
	response, err := h.serve(h.request(request.KindRead, "select 1", time.Second))
	must.NoError(h, err)
	return response.Target
}

// TestReadsAreDrawnOverReplicas checks that the setting decides whether reads of an idle group go to one replica.
func TestReadsAreDrawnOverReplicas(t *testing.T) {
	for _, even := range []bool{false, true} {
		draws := uint64(0)
		withHarness(t, time.Millisecond, func(o *Options) {
			o.EvenLoad = even
			o.Domain = "elsewhere"
			o.Random = func() uint64 { draws++; return draws }
		}, func(h *harness) {
			targets := make(map[string]int)
			for range 10 {
				targets[h.read()]++
			}
			must.Eq(h, even, len(targets) == 2, must.Sprint(targets))
		})
		must.Eq(t, even, draws > 0)
	}
}

// TestReportedLoadCounts checks that reads avoid a replica that other nodes keep busy, and use it again once the report
// is old.
func TestReportedLoadCounts(t *testing.T) {
	withHarness(t, time.Millisecond, func(o *Options) { o.EvenLoad, o.Domain = true, "elsewhere" }, func(h *harness) {
		free := h.read()
		g := h.manager.groups["ledger"]
		now := time.Now()
		g.mu.Lock()
		for _, m := range g.members {
			m.load.report = balance.NewReport(now, 0, 0)
			if m.name != free && m.name != g.primary {
				m.load.report = balance.NewReport(now, m.schedule.Slots(), 0)
			}
		}
		g.mu.Unlock()
		for range 10 {
			must.Eq(h, free, h.read())
		}
	})
}

// TestWaitsBesideFreeSlotsAreCounted checks the metrics of a read that waits for the only replica it may use while the
// primary, which could serve it too, has free slots, and of a write, which no other target could serve.
func TestWaitsBesideFreeSlotsAreCounted(t *testing.T) {
	cases := []struct {
		kind       request.Kind
		reads      fleet.Reads
		nearby     bool
		besideFree bool
	}{
		{request.KindRead, fleet.ReadsSession, false, true},
		{request.KindRead, fleet.ReadsSession, true, true},
		{request.KindWrite, fleet.ReadsSession, false, false},
		{request.KindRead, fleet.ReadsPrimary, false, false},
	}
	for _, c := range cases {
		withHarness(t, time.Millisecond, nil, func(h *harness) {
			for _, f := range h.group.targets {
				f.mu.Lock()
				f.serviceTime = 10 * time.Millisecond
				f.mu.Unlock()
			}
			slots := h.group.Current().Group("ledger").Targets[0].Slots
			done := make(chan error, 2*slots+1)
			for range 2*slots + 1 {
				req := h.request(c.kind, "select 1", time.Second)
				req.Profile.Reads, req.Nearby = c.reads, c.nearby
				go func() {
					_, err := h.serve(req)
					done <- err
				}()
			}
			for range 2*slots + 1 {
				must.NoError(h, <-done)
			}
			waits := &h.manager.counts.slotWaits
			must.Positive(h, waits.waited.Value())
			must.Eq(h, c.besideFree, waits.besideFree.Value() > 0)
			must.LessEq(h, waits.waited.Value(), waits.besideFree.Value())
		})
	}
}

// TestLostTargetHasNoFreeSlots checks that a target that does not answer counts as no alternative.
func TestLostTargetHasNoFreeSlots(t *testing.T) {
	withHarness(t, time.Millisecond, nil, func(h *harness) {
		g := h.manager.groups["ledger"]
		freeTime := func() time.Duration {
			g.mu.Lock()
			defer g.mu.Unlock()
			return g.members[1].load.freeTime.Total(time.Now())
		}
		before := freeTime()
		time.Sleep(time.Second)
		must.Eq(h, time.Second, freeTime()-before)
		lost := h.group.targets[1]
		lost.mu.Lock()
		lost.unresponsive = true
		lost.mu.Unlock()
		time.Sleep(time.Second)
		before = freeTime()
		time.Sleep(time.Second)
		must.Eq(h, 0, freeTime()-before)
	})
}
