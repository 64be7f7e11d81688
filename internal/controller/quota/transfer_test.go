package quota

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// simulatedTransfer is a request for tokens of one coordinator to another one, or the answer to it.
type simulatedTransfer struct {
	from, to int
	request  TransferRequest
	answer   Transfer
	served   bool
	sentAt   time.Time
}

// transferStep sends a request for tokens between two coordinators, or carries on one in transit: it is
// served, its answer arrives, or it is lost.
func (s *simulation) transferStep(transfers []simulatedTransfer) []simulatedTransfer {
	k := rapid.IntRange(-1, len(transfers)-1).Draw(s.t, "transfer")
	if k < 0 {
		from, to := rapid.IntRange(0, len(s.nodes)-1).Draw(s.t, "asks"), rapid.IntRange(0, len(s.nodes)-1).Draw(s.t, "gives")
		request, _ := s.nodes[from].pool.IsLow("c", 2, s.now)
		return append(transfers, simulatedTransfer{from: from, to: to, request: request, sentAt: s.now})
	}
	m := &transfers[k]
	if !m.served && m.from != m.to && !s.nodes[m.to].paused {
		m.answer, m.served = s.nodes[m.to].pool.Give(m.request, s.now), true
		return transfers
	}
	if m.served && !s.nodes[m.from].paused && rapid.Bool().Draw(s.t, "arrives") {
		s.nodes[m.from].pool.Receive(m.answer, m.sentAt, s.now)
	}
	return append(transfers[:k], transfers[k+1:]...)
}

// exchange transfers tokens between the first two coordinators at once.
func (s *simulation) exchange() {
	to := rapid.IntRange(0, 1).Draw(s.t, "to")
	taker, giver := s.nodes[to], s.nodes[1-to]
	if taker.paused || giver.paused {
		return
	}
	request, _ := taker.pool.IsLow("c", 2, s.now)
	request.Level -= rapid.Float64Range(0, 300).Draw(s.t, "missing")
	taker.pool.Receive(giver.pool.Give(request, s.now), s.now, s.now)
}

// reportAll lets all running nodes report, and spend what they are granted if spends is true.
func (s *simulation) reportAll(spends bool) {
	for i, n := range s.nodes {
		if n.paused {
			continue
		}
		if spends {
			s.take(i, 200)
		}
		s.report(i)
		s.deliver(len(s.inFlight)-1, false)
		if spends {
			s.take(i, 200)
		}
	}
}

// killOrStart kills a node's process, or starts one: where coordinators change, one that has waited long enough to know
// that its share was not used meanwhile.
func (s *simulation) killOrStart(i int) {
	n := s.nodes[i]
	switch {
	case n.killedAt.IsZero():
		n.killedAt, n.paused = s.now, true
	case s.startsAtOnce || s.now.Sub(n.killedAt) > LoanTTL+LoanSafetyMargin:
		startedAt := n.killedAt
		coordinator := n.coordinator
		s.start(i)
		n.killedAt, n.coordinator = time.Time{}, coordinator
		if s.startsAtOnce {
			n.borrower = s.nodes[coordinator].name
		}
		n.account, n.pool = NewUnusedAccount(startedAt, s.now), NewBucket(startedAt)
		s.configure(i)
	}
}

// TestCoordinatorsStayWithinRate is TestFleetStaysWithinRate for nodes without a share and for coordinators
// that transfer tokens, and for processes that start during an outage of the store. The buckets are mostly full,
// and then spent at once.
func TestCoordinatorsStayWithinRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		if len(s.nodes) < 2 {
			return
		}
		s.startsAtOnce = rapid.Bool().Draw(t, "starts at once")
		s.holders = rapid.IntRange(1, len(s.nodes)).Draw(t, "holders")
		for i, n := range s.nodes {
			s.start(i)
			n.coordinator = i % 2
		}
		var transfers []simulatedTransfer
		for range rapid.IntRange(10, 100).Draw(t, "steps") {
			i := rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")
			n := s.nodes[i]
			switch rapid.IntRange(0, 26).Draw(t, "step") {
			case 0:
				s.now = s.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			case 1:
				n.paused = !n.paused || !n.killedAt.IsZero()
			case 14, 15:
				s.killOrStart(i)
			case 2:
				s.settle(i, rapid.IntRange(1, 200).Draw(t, "ended"), rapid.Bool().Draw(t, "ran"))
			case 3:
				if s.startsAtOnce {
					continue
				}
				n.coordinator = rapid.IntRange(0, 1).Draw(t, "coordinator")
			case 4:
				if len(s.inFlight) > 0 {
					s.deliver(rapid.IntRange(0, len(s.inFlight)-1).Draw(t, "message"), rapid.Bool().Draw(t, "lost"))
				}
			case 5:
				if !n.paused {
					s.report(i)
				}
			case 6, 7:
				transfers = s.transferStep(transfers)
			case 8, 9, 10, 11:
				s.exchange()
			case 12, 13:
				s.reportAll(true)
			default:
				s.reportAll(false)
				s.now = s.now.Add(time.Duration(rapid.IntRange(5, 150).Draw(t, "round ms")) * time.Millisecond)
			}
		}
		s.check()
	})
}

// TestCoordinatorsAskEachOther checks that tokens in another coordinator's bucket are granted: three
// coordinators hold less than a token each, and together enough for two requests.
func TestCoordinatorsAskEachOther(t *testing.T) {
	now := time.Unix(1000, 0)
	buckets := make([]*Bucket, 3)
	for i := range buckets {
		buckets[i] = NewBucket(now)
		buckets[i].Configure(Limit{Rate: 5, Burst: 5}, now)
		buckets[i].SetShare(Share{Each: 1.0 / 3, Nodes: 60}, now)
	}
	lend := func() {
		for _, b := range buckets {
			b.HandleReport("lender", Report{Lent: true}, now)
		}
	}
	for range 5 {
		lend()
		now = now.Add(90 * time.Millisecond)
	}
	lend()
	report := Report{Wanted: 1, Lapses: true}
	granted := buckets[0].HandleReport("n", report, now)
	must.Eq(t, 0, granted)
	request, low := buckets[0].IsLow("c", len(buckets), now)
	must.True(t, low)
	for _, b := range buckets[1:] {
		buckets[0].Receive(b.Give(request, now), now, now)
	}
	must.Eq(t, 1, buckets[0].GrantMore("n", report, granted, now))
	sum := 0.0
	for _, b := range buckets {
		sum += b.Tokens(now)
	}
	must.Between(t, 1.2, sum, 1.3)
}
