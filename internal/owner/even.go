package owner

import (
	"expvar"
	"slices"
	"time"

	"crocusyoke/internal/owner/balance"
	"crocusyoke/internal/owner/choose"
	"crocusyoke/internal/owner/schedule"
)

// memberLoad is what a member knows of how full its target is. The group's mu guards it.
type memberLoad struct {
	report balance.Report
	// ownAtPoll is the number of this node's statements there when the newest poll was sent.
	ownAtPoll int
	freeTime  balance.FreeTime
}

// recordLoad takes the load from the answer to a poll that was sent at sentAt. The group's mu is held.
func (m *member) recordLoad(now, sentAt time.Time) {
	own := max(m.load.ownAtPoll, m.schedule.InFlight())
	m.load.report = balance.NewReport(sentAt, m.status.Busy, own)
	m.noteSlots(now)
}

// noteSlots records whether the target has a free slot, as far as this node knows. The group's mu is held.
func (m *member) noteSlots(now time.Time) {
	m.load.freeTime.Set(now, m.hasFreeSlot(now))
}

// hasFreeSlot reports whether the target answers and has a free slot, as far as this node knows. The group's mu is held.
func (m *member) hasFreeSlot(now time.Time) bool {
	if m.isUnreachable() || m.target.IsWithdrawn() {
		return false
	}
	busy := float64(m.schedule.InFlight()) + m.load.report.Others(now)
	return busy+1 <= float64(m.schedule.Slots())
}

// deliver sends decisions of m's schedule to those who wait, and records what they change. The group's mu is held.
func (m *member) deliver(now time.Time, decisions []schedule.Decision) {
	deliver(decisions)
	m.noteSlots(now)
	if len(m.group.waiting) > 0 && m.hasFreeSlot(now) {
		m.group.offerSlot(now, m)
	}
}

// expectedLoad describes the target's load to package choose. The group's mu is held.
func (m *member) expectedLoad(now time.Time) balance.Load {
	return balance.Load{
		Slots:    m.schedule.Slots(),
		Own:      m.schedule.InFlight() + m.schedule.Waiting(),
		Others:   m.load.report.Others(now),
		SlotTime: m.schedule.MeanSlotTime(),
	}
}

// alternative is a target that could serve a request that waits at another one, and its FreeTime when the wait began.
type alternative struct {
	member *member
	began  time.Duration
}

// beginSlotWait notes the alternatives of r if r has to wait for a slot. g.mu is held.
func (g *group) beginSlotWait(now time.Time, r *execution) {
	r.alternatives = r.alternatives[:0]
	r.waitsForSlot = !r.slot.item.Running()
	if !r.waitsForSlot {
		return
	}
	for i, m := range g.members {
		if m != r.member && choose.CanServe(&r.criteria, g.candidates, i) {
			r.alternatives = append(r.alternatives, alternative{member: m, began: m.load.freeTime.Total(now)})
		}
	}
	if g.options.EvenLoad && len(r.alternatives) > 0 && !r.req.Nearby {
		if r.offered == nil {
			r.offered = make(chan struct{}, 1)
		}
		g.waiting = append(g.waiting, r)
	}
}

// endSlotWait counts how long r has waited for a slot, and for how much of it another target had a free one: the
// alternative that had one for longest.
func (g *group) endSlotWait(r *execution) {
	if !r.waitsForSlot {
		return
	}
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endSlotWaitLocked(now, r)
}

// endSlotWaitLocked is endSlotWait with g.mu held.
func (g *group) endSlotWaitLocked(now time.Time, r *execution) {
	if i := slices.Index(g.waiting, r); i >= 0 {
		g.waiting = slices.Delete(g.waiting, i, i+1)
	}
	r.waitsForSlot = false
	waited := now.Sub(r.placedAt)
	free := time.Duration(0)
	for _, a := range r.alternatives {
		free = max(free, a.member.load.freeTime.Total(now)-a.began)
	}
	g.manager.counts.slotWaits.add(waited, min(free, waited))
}

// slotWaits holds the metrics of waits for slots.
type slotWaits struct {
	waited     *expvar.Int
	besideFree *expvar.Int
	moved      *expvar.Int
	histogram  *expvar.Map
}

// besideFreeBounds are the upper bounds of the histogram of waits beside a free slot.
var besideFreeBounds = []struct {
	name string
	most time.Duration
}{
	{"up_to_1ms", time.Millisecond},
	{"up_to_5ms", 5 * time.Millisecond},
	{"up_to_20ms", 20 * time.Millisecond},
	{"up_to_100ms", 100 * time.Millisecond},
}

// besideFreeLongest is the name of the histogram's last part.
const besideFreeLongest = "longer"

func newSlotWaits(c *counters) slotWaits {
	w := slotWaits{
		waited:     c.add("slot_wait_us"),
		besideFree: c.add("slot_wait_beside_free_us"),
		moved:      c.add("slot_waits_moved"),
		histogram:  new(expvar.Map),
	}
	c.vars.Set("slot_waits_beside_free", w.histogram)
	return w
}

// add counts a wait of which other targets had a free slot for the time free.
func (w *slotWaits) add(waited, free time.Duration) {
	w.waited.Add(waited.Microseconds())
	if free <= 0 {
		return
	}
	w.besideFree.Add(free.Microseconds())
	for _, b := range besideFreeBounds {
		if free <= b.most {
			w.histogram.Add(b.name, 1)
			return
		}
	}
	w.histogram.Add(besideFreeLongest, 1)
}
