package quota

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulation is a fleet of nodes and coordinators of one customer on logical time. Reports
// and answers may be delayed or lost, nodes may be paused, and nodes may disagree about which
// node is the coordinator.
type simulation struct {
	t     *rapid.T
	now   time.Time
	limit Limit
	nodes []*simulatedNode
	// holders is the number of nodes with a share; 0 means all.
	holders int
	// startsAtOnce is true if processes start at any time after the end of the former one. Their coordinators do
	// not change then.
	startsAtOnce bool
	// admitted holds the times of admitted requests that ran or whose outcome is unknown, in
	// order.
	admitted []time.Time
	inFlight []message
}

type simulatedNode struct {
	name        string
	account     *Account
	pool        *Bucket
	borrower    string
	coordinator int
	paused      bool
	run         uint32
	reports     uint64
	// killedAt is when the node's process was killed; zero while there is one.
	killedAt time.Time
	// unsettled holds the admission times of requests that have not been settled.
	unsettled []time.Time
}

// message is a report in transit. until is the latest time at which it may arrive.
type message struct {
	from, to int
	report   Report
	sentAt   time.Time
	until    time.Time
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, now: time.Unix(1000, 0), limit: Limit{
		Rate:  rapid.Float64Range(5, 200).Draw(t, "rate"),
		Burst: rapid.Float64Range(5, 200).Draw(t, "burst"),
	}}
	for i := range rapid.IntRange(1, 6).Draw(t, "nodes") {
		s.nodes = append(s.nodes, &simulatedNode{name: fmt.Sprint("n", i)})
	}
	for i := range s.nodes {
		s.start(i)
	}
	return s
}

// start starts node i's process.
func (s *simulation) start(i int) {
	n := s.nodes[i]
	n.account, n.pool, n.borrower, n.paused, n.unsettled = NewAccount(s.now), NewBucket(s.now), "", false, nil
	n.run, n.reports = n.run+1, 0
	s.configure(i)
}

// configure applies the limit and the shares to node i.
func (s *simulation) configure(i int) {
	n := s.nodes[i]
	each := 1 / float64(len(s.nodes))
	own := each
	if s.holders > 0 {
		each, own = 1/float64(s.holders), 0
		if i < s.holders {
			own = each
		}
	}
	n.account.Configure(s.limit, s.now)
	n.account.SetShare(Share{Own: own, Each: each, Nodes: len(s.nodes)}, s.now)
	n.pool.Configure(s.limit, s.now)
	n.pool.SetShare(Share{Own: each, Each: each, Nodes: len(s.nodes)}, s.now)
}

func (s *simulation) take(i, count int) {
	for range count {
		if ok, _ := s.nodes[i].account.Take(s.now); ok {
			s.admitted = append(s.admitted, s.now)
			s.nodes[i].unsettled = append(s.nodes[i].unsettled, s.now)
		}
	}
}

// settle settles the oldest count requests of node i. Those that did not run are removed from
// admitted.
func (s *simulation) settle(i, count int, ran bool) {
	n := s.nodes[i]
	count = min(count, len(n.unsettled))
	for _, at := range n.unsettled[:count] {
		n.account.Settle(ran, s.now)
		if !ran {
			k := slices.Index(s.admitted, at)
			s.admitted = slices.Delete(s.admitted, k, k+1)
		}
	}
	n.unsettled = n.unsettled[count:]
}

func (s *simulation) report(i int) {
	n := s.nodes[i]
	to := s.nodes[n.coordinator].name
	n.account.SetCoordinator(to)
	if n.account.IsLentElsewhere(n.borrower, s.now) && rapid.Bool().Draw(s.t, "take back") {
		former := slices.IndexFunc(s.nodes, func(f *simulatedNode) bool { return f.name == n.borrower })
		s.send(i, former, n.account.RecallReport("c", s.now))
		return
	}
	r := n.account.Report("c", n.borrower, false, s.now)
	if r.Lent {
		n.borrower = to
	}
	s.send(i, n.coordinator, r)
}

// send puts a report with the next number of its node in transit.
func (s *simulation) send(from, to int, r Report) {
	n := s.nodes[from]
	n.reports++
	r.Run, r.Number = n.run, n.reports
	s.inFlight = append(s.inFlight, message{from: from, to: to, report: r, sentAt: s.now, until: s.now.Add(MaxReportDelay)})
}

// deliver delivers a report, and also its answer unless that is lost.
func (s *simulation) deliver(k int, answerLost bool) {
	m := s.inFlight[k]
	s.inFlight = slices.Delete(s.inFlight, k, k+1)
	to, from := s.nodes[m.to], s.nodes[m.from]
	if to.paused || s.now.After(m.until) {
		from.account.RecordUnanswered()
		return
	}
	isOutdated := to.pool.IsOutdated(from.name, m.report)
	granted := to.pool.HandleReport(from.name, m.report, s.now)
	if answerLost || isOutdated || from.paused {
		from.account.RecordUnanswered()
		return
	}
	if m.report.RecallsLoan && from.borrower == to.name {
		from.account.ConfirmRecallFrom(time.Duration(granted*float64(time.Second)), s.now)
	}
	if !m.report.RecallsLoan {
		from.account.ApplyGrant(granted, m.report.Held, m.sentAt, s.now)
	}
}

// round lets every running node spend its tokens, report to its coordinator, and spend what
// it was granted.
func (s *simulation) round() {
	for i, n := range s.nodes {
		if n.paused {
			continue
		}
		s.take(i, 20)
		s.report(i)
		s.deliver(len(s.inFlight)-1, false)
		s.take(i, 200)
	}
}

// check checks the rate and the burst in every window. slack allows for rounding errors.
func (s *simulation) check() {
	const slack = 1e-6
	for from := range s.admitted {
		for to := from; to < len(s.admitted); to++ {
			length := s.admitted[to].Sub(s.admitted[from]).Seconds()
			if count := float64(to - from + 1); count > s.limit.Rate*length+s.limit.Burst+slack {
				s.t.Fatalf("%v requests in %.3f s with rate %.1f and burst %.1f", count, length, s.limit.Rate, s.limit.Burst)
			}
		}
	}
}

// TestFleetStaysWithinRate checks the limit over random histories of requests, delayed and
// lost messages, pauses and changes of coordinator.
func TestFleetStaysWithinRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			i := rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")
			n := s.nodes[i]
			switch rapid.IntRange(0, 18).Draw(t, "step") {
			case 0, 1:
				s.now = s.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			case 2, 3:
				if !n.paused {
					s.take(i, rapid.IntRange(1, 60).Draw(t, "requests"))
				}
			case 4, 5:
				if !n.paused {
					s.report(i)
				}
			case 6, 7:
				if len(s.inFlight) > 0 {
					s.deliver(rapid.IntRange(0, len(s.inFlight)-1).Draw(t, "message"), rapid.Bool().Draw(t, "lost"))
				}
			case 8:
				n.coordinator = rapid.IntRange(0, len(s.nodes)-1).Draw(t, "coordinator")
			case 9:
				n.paused = !n.paused
			case 10, 11, 12:
				if !n.paused {
					s.settle(i, rapid.IntRange(1, 200).Draw(t, "ended"), rapid.Bool().Draw(t, "ran"))
				}
			default:
				s.round()
				s.now = s.now.Add(time.Duration(rapid.IntRange(50, 300).Draw(t, "round ms")) * time.Millisecond)
			}
		}
		s.check()
	})
}

// TestBucketFillsWithLentSharesOnly checks that shares that are not lent add no tokens to the
// bucket.
func TestBucketFillsWithLentSharesOnly(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewBucket(now)
	p.Configure(Limit{Rate: 100, Burst: 50}, now)
	p.SetShare(Share{Each: 0.25, Nodes: 4}, now)
	p.HandleReport("n1", Report{Lent: true}, now)
	p.HandleReport("n2", Report{}, now)
	if got := p.Tokens(now.Add(200 * time.Millisecond)); math.Abs(got-5) > 1e-9 {
		t.Fatalf("got %v tokens after 0.2 s at a quarter of 100 tokens/s", got)
	}
}

// TestTokensShrinkWithTheLoans checks that after a loan has ended, a node gives up the tokens
// above its own share before the lender uses its share again. Without an answer from the
// coordinator, those tokens expire.
func TestTokensShrinkWithTheLoans(t *testing.T) {
	now := time.Unix(1000, 0)
	limit := Limit{Rate: 100, Burst: 50}
	p, a := NewBucket(now), NewAccount(now)
	p.Configure(limit, now)
	p.SetShare(Share{Each: 0.5, Nodes: 2}, now)
	a.Configure(limit, now)
	a.SetShare(Share{Own: 0.5, Each: 0.5, Nodes: 2}, now)
	a.SetCoordinator("n1")
	a.ApplyGrant(0, 0, now, now)
	report := func() {
		for range 200 {
			a.recordDemand(now)
		}
		r := a.Report("c", "n1", false, now)
		a.ApplyGrant(p.HandleReport("n1", r, now), r.Held, now, now)
	}
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		p.HandleReport("n2", Report{Lent: true}, now)
		report()
	}
	if got := a.Tokens(now); got < 45 {
		t.Fatalf("%v tokens while both shares are lent", got)
	}
	if got := a.Tokens(now.Add(GrantTTL + time.Millisecond)); got > 25 {
		t.Fatalf("%v tokens without a fresh answer", got)
	}
	for range 5 {
		now = now.Add(100 * time.Millisecond)
		report()
	}
	if got := a.Tokens(now); got > 25 {
		t.Fatalf("%v tokens after the loan of the other share has ended", got)
	}
}

// TestScarceTokensAreShared simulates a customer at four times its rate with three quarters
// of its callers at one node. Each node must get tokens in proportion to its demand.
func TestScarceTokensAreShared(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewBucket(now)
	p.Configure(Limit{Rate: 100, Burst: 100}, now)
	p.SetShare(Share{Each: 0.5, Nodes: 2}, now)
	got := map[string]float64{}
	for range 200 {
		now = now.Add(20 * time.Millisecond)
		// The busy node always asks first.
		got["busy"] += p.HandleReport("busy", Report{Wanted: 60, Lent: true}, now)
		got["calm"] += p.HandleReport("calm", Report{Wanted: 20, Lent: true}, now)
	}
	if part := got["calm"] / (got["busy"] + got["calm"]); part < 0.2 || part > 0.3 {
		t.Fatalf("the node with a quarter of the demand got %.2f of the tokens: %v", part, got)
	}
}
