package owner

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/owner/choose"
	"crocusyoke/internal/owner/schedule"
	"crocusyoke/internal/request"
)

// slowReplica makes statements at the replica db1 take slow, and elsewhere 10 ms.
func (h *harness) slowReplica(slow time.Duration) {
	for _, f := range h.group.targets {
		f.mu.Lock()
		f.serviceTime = 10 * time.Millisecond
		if f.name == "db1" {
			f.serviceTime = slow
		}
		f.mu.Unlock()
	}
}

// TestWaitingReadMovesToAFreeSlot sends a crowd of reads, more than two replicas have slots, when one of them has turned
// slow: the reads that wait there go to the other one as its slots become free, and each runs once.
func TestWaitingReadMovesToAFreeSlot(t *testing.T) {
	const slow = 500 * time.Millisecond
	for _, even := range []bool{false, true} {
		withHarness(t, time.Millisecond, func(o *Options) { o.EvenLoad = even }, func(h *harness) {
			h.slowReplica(slow)
			began := time.Now()
			const crowd = 2*fakeSlots + fakeSlots
			took := make(chan time.Duration, crowd)
			for range crowd {
				req := h.request(request.KindRead, "select 1", 2*time.Second)
				go func() {
					_, err := h.serve(req)
					must.NoError(t, err)
					took <- time.Since(began)
				}()
			}
			late, runs := 0, 0
			for range crowd {
				if <-took >= slow {
					late++
				}
			}
			for _, f := range h.group.targets {
				f.mu.Lock()
				runs += f.runs["select 1"]
				f.mu.Unlock()
			}
			must.Eq(t, crowd, runs)
			must.Eq(t, even, late <= fakeSlots, must.Sprint(late))
			must.Eq(t, even, h.manager.counts.slotWaits.moved.Value() > 0)
			must.SliceEmpty(t, h.manager.groups["ledger"].waiting)
		})
	}
}

// TestWritesDoNotMove checks that work that only the primary serves stays there.
func TestWritesDoNotMove(t *testing.T) {
	withHarness(t, time.Millisecond, func(o *Options) { o.EvenLoad = true }, func(h *harness) {
		const crowd = 3 * fakeSlots
		done := make(chan error, crowd)
		for range crowd {
			req := h.request(request.KindWrite, "insert", 2*time.Second)
			go func() {
				_, err := h.serve(req)
				done <- err
			}()
		}
		for range crowd {
			must.NoError(t, <-done)
		}
		must.Eq(t, 0, h.manager.counts.slotWaits.moved.Value())
		must.Eq(t, crowd, h.group.targets[0].runs["insert"])
	})
}

// placedRead places a read at the replica called name, and returns it once it waits there or holds a slot.
func (h *harness) placedRead(g *group, name string) *execution {
	r := &execution{req: h.request(request.KindRead, "select 1", time.Second), startedAt: time.Now()}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.choose(r.startedAt, r)
	for i, m := range g.members {
		if m.name == name {
			g.placeAt(context.Background(), r.startedAt, r, choose.Choice{Target: i, Replica: true})
		}
	}
	return r
}

// TestReadIsMovedOnlyToAFreeSlot checks one read that is offered a slot: it stays if it has got its own meanwhile, or if
// the offered one is gone, and keeps what it was placed by.
func TestReadIsMovedOnlyToAFreeSlot(t *testing.T) {
	withHarness(t, time.Millisecond, func(o *Options) { o.EvenLoad = true }, func(h *harness) {
		g := h.manager.groups["ledger"]
		var running []*execution
		end := func(r *execution) { g.freeSlot(r.member, r.slot, schedule.TransactionUnchanged) }
		for range fakeSlots {
			running = append(running, h.placedRead(g, "db1"), h.placedRead(g, "db2"))
		}
		must.True(t, running[0].slot.item.Running())
		waiting := h.placedRead(g, "db1")
		waiting.term = 0
		// Both replicas are full, and the primary is worth a wait only.
		g.tryMove(context.Background(), waiting)
		must.Eq(t, "db1", waiting.member.name)
		must.Eq(t, 0, waiting.term)
		end(running[1])
		must.Eq(t, 1, len(waiting.offered))
		g.tryMove(context.Background(), running[0])
		must.Eq(t, "db1", running[0].member.name)
		g.tryMove(context.Background(), waiting)
		must.Eq(t, "db2", waiting.member.name)
		must.True(t, waiting.slot.item.Running())
		kept := h.placedRead(g, "db1")
		must.True(t, kept.waitsForSlot)
		g.endSlotWait(kept)
		must.False(t, kept.waitsForSlot, must.Sprint("it could be moved while it holds a connection"))
		must.True(t, g.withdraw(kept.member, kept.slot))
		for _, r := range append(running, waiting) {
			end(r)
		}
	})
}

// TestOffersGoToAllInTurn checks that a free slot is offered to the most urgent request that can use it, and then to the
// next one if that stays where it is.
func TestOffersGoToAllInTurn(t *testing.T) {
	withHarness(t, time.Millisecond, func(o *Options) { o.EvenLoad = true }, func(h *harness) {
		g := h.manager.groups["ledger"]
		free, other := g.members[2], g.members[1]
		waiter := func(priority int, m *member) *execution {
			return &execution{
				req: &request.Request{Priority: priority}, offered: make(chan struct{}, 1), alternatives: []alternative{{member: m}},
			}
		}
		urgent, early, late := waiter(0, other), waiter(1, free), waiter(1, free)
		now := time.Now()
		g.mu.Lock()
		defer g.mu.Unlock()
		g.waiting = []*execution{waiter(2, free), urgent, early, late}
		defer func() { g.waiting = nil }()
		g.offerSlot(now, free)
		must.Eq(t, []int{0, 1, 0}, []int{len(urgent.offered), len(early.offered), len(late.offered)})
		g.offerSlot(now, free)
		must.Eq(t, []int{0, 1, 1}, []int{len(urgent.offered), len(early.offered), len(late.offered)})
	})
}

// TestReadLeavesAHangingTarget checks a read that waits at a replica that hangs, while the primary, which counts as 20 ms
// slower, is idle: it leaves once it has waited for longer.
func TestReadLeavesAHangingTarget(t *testing.T) {
	withHarness(t, time.Millisecond, func(o *Options) { o.EvenLoad = true }, func(h *harness) {
		g := h.manager.groups["ledger"]
		var running []*execution
		for range fakeSlots {
			running = append(running, h.placedRead(g, "db1"))
		}
		waiting := h.placedRead(g, "db1")
		g.mu.Lock()
		g.members[2].errorShare = 1
		g.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		must.Nil(t, g.awaitNewSlot(ctx, waiting))
		must.Eq(t, g.primary, waiting.member.name)
		must.LessEq(t, 50*time.Millisecond, time.Since(waiting.startedAt))
		for _, r := range append(running, waiting) {
			g.freeSlot(r.member, r.slot, schedule.TransactionUnchanged)
		}
	})
}
