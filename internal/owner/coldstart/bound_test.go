package coldstart

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// sending is one request of a history, with the node that sends it.
type sending struct {
	node              *sender
	sentAt, arrivedAt time.Time
	endsAt            time.Time
	// waitsForThaw is true as long as the node is paused before it sends the request, paused for good.
	waitsForThaw, paused bool
}

// sender is a node that sends to one cold target.
type sender struct {
	window Window
	tenure Tenure
	// frozenUntil is when a paused process runs again.
	frozenUntil time.Time
}

// lease is the group's lease, as the store has it.
type lease struct {
	holder    *sender
	fence     uint64
	expiresAt time.Time
}

const (
	leaseTTL    = 4 * time.Second
	leaseMargin = 500 * time.Millisecond
)

// boundWorld is a random history of nodes, the lease and one cold target.
type boundWorld struct {
	*rapid.T
	now      time.Time
	bound    Bound
	rate     float64
	nodes    []*sender
	lease    lease
	requests []*sending
	active   []*sending
}

func (w *boundWorld) duration(name string, most time.Duration) time.Duration {
	// Draws prefer small numbers.
	return most * time.Duration(rapid.SampledFrom([]int{0, 3, 10, 25, 50, 75, 97, 100}).Draw(w.T, name)) / 100
}

func (w *boundWorld) holds(n *sender) bool {
	return w.lease.holder == n && w.now.Add(leaseMargin).Before(w.lease.expiresAt)
}

// takeLease gives n the lease if nobody holds it.
func (w *boundWorld) takeLease(n *sender) {
	if w.lease.holder != nil && w.now.Before(w.lease.expiresAt.Add(leaseMargin)) {
		if w.lease.holder == n {
			w.lease.expiresAt = w.now.Add(leaseTTL)
		}
		return
	}
	w.lease = lease{n, w.lease.fence + 1, w.now.Add(leaseTTL)}
}

// send lets n send up to count requests. With frozen, n is paused when it is about to send them.
func (w *boundWorld) send(n *sender, count int, frozen bool) {
	if !w.holds(n) {
		return
	}
	n.tenure.Observe(w.now, w.lease.fence)
	share := w.bound.Share(w.rate)
	for range count {
		if n.tenure.Wait(w.now) > 0 || !n.window.Take(w.now, share) {
			return
		}
		r := &sending{node: n, sentAt: w.now, waitsForThaw: frozen, paused: frozen}
		w.requests, w.active = append(w.requests, r), append(w.active, r)
		w.plan(r)
	}
}

func (w *boundWorld) plan(r *sending) {
	r.arrivedAt = r.sentAt.Add(w.duration("to the target", 1500*time.Millisecond))
	r.endsAt = r.sentAt.Add(w.duration("until answer or given up", 700*time.Millisecond))
}

// step lets time pass: paused nodes go on, requests end.
func (w *boundWorld) step(passed time.Duration) {
	w.now = w.now.Add(passed)
	kept := w.active[:0]
	for _, r := range w.active {
		switch {
		case w.now.Before(r.node.frozenUntil):
			kept = append(kept, r)
		case r.waitsForThaw:
			r.waitsForThaw, r.sentAt = false, w.now
			w.plan(r)
			kept = append(kept, r)
		case !w.now.Before(r.endsAt):
			r.node.window.End(w.now, true)
		default:
			kept = append(kept, r)
		}
	}
	w.active = kept
}

// restart replaces the i-th node's process.
func (w *boundWorld) restart(i int) {
	n := w.nodes[i]
	kept := w.active[:0]
	for _, r := range w.active {
		if r.node != n {
			kept = append(kept, r)
		} else if r.waitsForThaw {
			r.sentAt, r.arrivedAt = time.Time{}, time.Time{}
		}
	}
	w.active = kept
	w.nodes[i] = &sender{}
	if w.lease.holder == n {
		w.lease.holder = nil
	}
}

// mostInASecond returns the most requests of those that count that were sent and arrived within one second.
func (w *boundWorld) mostInASecond(counts func(*sending) bool) int {
	most := 0
	for _, first := range w.requests {
		count := 0
		for _, r := range w.requests {
			if counts(r) && !r.sentAt.IsZero() && !r.sentAt.Before(first.sentAt) && r.arrivedAt.Before(first.sentAt.Add(time.Second)) {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// TestColdTargetStaysWithinItsBound plays random histories of two and more owners, leases that end and are given away,
// pauses over the end of a lease of one node at a time, late requests and restarts of one or all nodes. In any second at
// most rate x over + slack requests are sent and arrive, and at most a share of one process, or of all that did not
// pause between taking and sending.
func TestColdTargetStaysWithinItsBound(t *testing.T) {
	sentInAll := 0
	rapid.Check(t, func(t *rapid.T) {
		w := &boundWorld{T: t, now: time.Unix(1000, 0), bound: Bound{Over: 1.5, Slack: 5}, rate: 4}
		w.nodes = []*sender{{}, {}, {}}
		frozenUntil := time.Time{}
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			i := rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")
			n := w.nodes[i]
			if w.lease.holder != nil && rapid.Bool().Draw(t, "holder") {
				n = w.lease.holder
			}
			w.step(w.duration("pass", 400*time.Millisecond))
			if w.now.Before(n.frozenUntil) {
				continue
			}
			switch rapid.IntRange(0, 79).Draw(t, "what") {
			case 79:
				w.restart(slices.Index(w.nodes, n))
			case 78:
				for each := range w.nodes {
					w.restart(each)
				}
			case 75, 76, 77:
				if w.lease.holder == n {
					w.lease.holder = nil
				}
			case 60, 61, 62, 63, 64, 65, 66:
				if w.now.After(frozenUntil) {
					w.send(n, 9, true)
					n.frozenUntil = w.now.Add(time.Duration(rapid.IntRange(0, 1).Draw(t, "long"))*5*time.Second + w.duration("frozen", 2*time.Second))
					frozenUntil = n.frozenUntil.Add(time.Second)
				}
			default:
				w.takeLease(n)
				w.send(n, rapid.IntRange(1, 9).Draw(t, "requests"), false)
			}
		}
		w.step(time.Minute)
		sentInAll += len(w.requests)
		must.LessEq(t, int(w.rate*w.bound.Over+w.bound.Slack), w.mostInASecond(func(*sending) bool { return true }))
		share := w.bound.Share(w.rate)
		must.LessEq(t, share, w.mostInASecond(func(r *sending) bool { return !r.paused }))
		for _, one := range w.requests {
			must.LessEq(t, share, w.mostInASecond(func(r *sending) bool { return r.node == one.node }))
		}
	})
	t.Logf("%d requests", sentInAll)
	must.Positive(t, sentInAll)
}

// TestHolderUsesItsShare checks that a holder gets its whole share, again after Length, and learns how long others wait.
func TestHolderUsesItsShare(t *testing.T) {
	now := time.Unix(1000, 0)
	share := Bound{Over: 1.5, Slack: 5}.Share(20)
	must.Eq(t, 17, share)
	var tenure Tenure
	var w Window
	tenure.Observe(now, 7)
	must.Eq(t, Length, tenure.Wait(now))
	now = now.Add(Length)
	tenure.Observe(now, 7)
	must.Eq(t, 0, tenure.Wait(now))
	for range 3 {
		for range share {
			must.Eq(t, 0, w.Wait(now, share, 0))
			must.True(t, w.Take(now, share))
		}
		must.False(t, w.Take(now, share))
		for range share {
			w.End(now, true)
		}
		must.Eq(t, Length, w.Wait(now, share, 0))
		must.Eq(t, 2*Length, w.Wait(now, share, share))
		now = now.Add(Length)
	}
	must.True(t, w.IsEmpty(now))
	must.True(t, w.Take(now, share))
	w.End(now, false)
	must.True(t, w.IsEmpty(now))
	must.Eq(t, Length, w.Wait(now, 0, 0))
	tenure.Observe(now, 8)
	must.Eq(t, Length, tenure.Wait(now))
}
