package quota

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// world is a fleet of nodes and coordinators of one customer on logical time. Reports and
// answers travel, are lost or late; nodes are paused, and each believes in a coordinator of
// its own.
type world struct {
	t     *rapid.T
	now   time.Time
	limit Limit
	nodes []*worldNode
	// admitted holds the times of admitted requests that ran or whose fate is open, in order.
	admitted []time.Time
	messages []message
}

type worldNode struct {
	name     string
	account  *Account
	pool     *Pool
	lender   string
	believes int
	paused   bool
	// open holds the times of admitted requests that have not ended.
	open []time.Time
}

// message is a report on its way, with the time until which it may arrive.
type message struct {
	from, to int
	report   Report
	sentAt   time.Time
	until    time.Time
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: time.Unix(1000, 0), limit: Limit{
		Rate:  rapid.Float64Range(5, 200).Draw(t, "rate"),
		Burst: rapid.Float64Range(5, 200).Draw(t, "burst"),
	}}
	for i := range rapid.IntRange(1, 6).Draw(t, "nodes") {
		w.nodes = append(w.nodes, &worldNode{name: fmt.Sprint("n", i)})
	}
	for i := range w.nodes {
		w.start(i)
	}
	return w
}

// start starts node i's process.
func (w *world) start(i int) {
	n := w.nodes[i]
	n.account, n.pool, n.lender, n.paused, n.open = NewAccount(w.now), NewPool(w.now), "", false, nil
	each := 1 / float64(len(w.nodes))
	n.account.Configure(w.limit, w.now)
	n.account.SetShare(each, w.now)
	n.pool.Configure(w.limit, w.now)
	n.pool.SetShare(each, w.now)
}

func (w *world) take(i, count int) {
	for range count {
		if ok, _ := w.nodes[i].account.Take(w.now); ok {
			w.admitted = append(w.admitted, w.now)
			w.nodes[i].open = append(w.nodes[i].open, w.now)
		}
	}
}

// end ends the oldest count requests of node i. Those that did not run are struck from admitted.
func (w *world) end(i, count int, ran bool) {
	n := w.nodes[i]
	count = min(count, len(n.open))
	for _, at := range n.open[:count] {
		n.account.Settle(ran, w.now)
		if !ran {
			k := slices.Index(w.admitted, at)
			w.admitted = slices.Delete(w.admitted, k, k+1)
		}
	}
	n.open = n.open[count:]
}

func (w *world) report(i int) {
	n := w.nodes[i]
	to := w.nodes[n.believes].name
	n.account.SetCoordinator(to)
	if n.account.LentElsewhere(n.lender, w.now) && rapid.Bool().Draw(w.t, "take back") {
		former := slices.IndexFunc(w.nodes, func(f *worldNode) bool { return f.name == n.lender })
		w.messages = append(w.messages, message{from: i, to: former, report: n.account.TakeBack("c", w.now), sentAt: w.now, until: w.now.Add(ArrivalSlack)})
		return
	}
	r := n.account.Report("c", n.lender, false, w.now)
	if r.Lent {
		n.lender = to
	}
	w.messages = append(w.messages, message{from: i, to: n.believes, report: r, sentAt: w.now, until: w.now.Add(ArrivalSlack)})
}

// deliver lets a report arrive; its answer arrives too unless it is lost.
func (w *world) deliver(k int, answerLost bool) {
	m := w.messages[k]
	w.messages = slices.Delete(w.messages, k, k+1)
	to, from := w.nodes[m.to], w.nodes[m.from]
	if to.paused || w.now.After(m.until) {
		from.account.Unheard()
		return
	}
	granted := to.pool.Report(from.name, m.report, w.now)
	if answerLost || from.paused {
		from.account.Unheard()
		return
	}
	if m.report.TakenBack && from.lender == to.name {
		from.account.TakenBack(w.now)
	}
	if !m.report.TakenBack {
		from.account.Granted(granted, m.report.Held, m.sentAt, w.now)
	}
}

// round has every node ask for what it can get, and spend it.
func (w *world) round() {
	for i, n := range w.nodes {
		if n.paused {
			continue
		}
		w.take(i, 20)
		w.report(i)
		w.deliver(len(w.messages)-1, false)
		w.take(i, 200)
	}
}

// check holds every window to the rate and the burst; slack covers rounding.
func (w *world) check() {
	const slack = 1e-6
	for from := range w.admitted {
		for to := from; to < len(w.admitted); to++ {
			length := w.admitted[to].Sub(w.admitted[from]).Seconds()
			if count := float64(to - from + 1); count > w.limit.Rate*length+w.limit.Burst+slack {
				w.t.Fatalf("%v requests in %.3f s with rate %.1f and burst %.1f", count, length, w.limit.Rate, w.limit.Burst)
			}
		}
	}
}

// TestFleetStaysWithinRate plays random histories.
func TestFleetStaysWithinRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			i := rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")
			n := w.nodes[i]
			switch rapid.IntRange(0, 18).Draw(t, "step") {
			case 0, 1:
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			case 2, 3:
				if !n.paused {
					w.take(i, rapid.IntRange(1, 60).Draw(t, "requests"))
				}
			case 4, 5:
				if !n.paused {
					w.report(i)
				}
			case 6, 7:
				if len(w.messages) > 0 {
					w.deliver(rapid.IntRange(0, len(w.messages)-1).Draw(t, "message"), rapid.Bool().Draw(t, "lost"))
				}
			case 8:
				n.believes = rapid.IntRange(0, len(w.nodes)-1).Draw(t, "coordinator")
			case 9:
				n.paused = !n.paused
			case 10, 11, 12:
				if !n.paused {
					w.end(i, rapid.IntRange(1, 200).Draw(t, "ended"), rapid.Bool().Draw(t, "ran"))
				}
			default:
				w.round()
				w.now = w.now.Add(time.Duration(rapid.IntRange(50, 300).Draw(t, "round ms")) * time.Millisecond)
			}
		}
		w.check()
	})
}

// TestBucketFillsWithLentSharesOnly: what nobody lends fills no bucket.
func TestBucketFillsWithLentSharesOnly(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPool(now)
	p.Configure(Limit{Rate: 100, Burst: 50}, now)
	p.SetShare(0.25, now)
	p.Report("n1", Report{Lent: true}, now)
	p.Report("n2", Report{}, now)
	if got := p.Tokens(now.Add(200 * time.Millisecond)); math.Abs(got-5) > 1e-9 {
		t.Fatalf("%v tokens after 0.2 s of a quarter of 100 a second", got)
	}
}

// TestTokensShrinkWithTheLoans: once a share is lent no more, what nodes hold above their parts
// is given up before its owner uses it; without an answer it lapses by itself.
func TestTokensShrinkWithTheLoans(t *testing.T) {
	now := time.Unix(1000, 0)
	limit := Limit{Rate: 100, Burst: 50}
	p, a := NewPool(now), NewAccount(now)
	p.Configure(limit, now)
	p.SetShare(0.5, now)
	a.Configure(limit, now)
	a.SetShare(0.5, now)
	a.SetCoordinator("n1")
	a.Granted(0, 0, now, now)
	report := func() {
		for range 200 {
			a.note(now)
		}
		r := a.Report("c", "n1", false, now)
		a.Granted(p.Report("n1", r, now), r.Held, now, now)
	}
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		p.Report("n2", Report{Lent: true}, now)
		report()
	}
	if got := a.Tokens(now); got < 45 {
		t.Fatalf("%v tokens while both shares are lent", got)
	}
	if got := a.Tokens(now.Add(TokenTerm + time.Millisecond)); got > 25 {
		t.Fatalf("%v tokens without a fresh answer", got)
	}
	for range 5 {
		now = now.Add(100 * time.Millisecond)
		report()
	}
	if got := a.Tokens(now); got > 25 {
		t.Fatalf("%v tokens after the other share's loan has lapsed", got)
	}
}

// TestScarceTokensAreShared replays a customer at four times its rate with three quarters of its
// callers at one node: what each node gets is in proportion to what its callers ask for.
func TestScarceTokensAreShared(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPool(now)
	p.Configure(Limit{Rate: 100, Burst: 100}, now)
	p.SetShare(0.5, now)
	got := map[string]float64{}
	for range 200 {
		now = now.Add(20 * time.Millisecond)
		// The busy node always asks first.
		got["busy"] += p.Report("busy", Report{Wanted: 60, Lent: true}, now)
		got["calm"] += p.Report("calm", Report{Wanted: 20, Lent: true}, now)
	}
	if part := got["calm"] / (got["busy"] + got["calm"]); part < 0.2 || part > 0.3 {
		t.Fatalf("the node with a quarter of the demand got %.2f of the tokens: %v", part, got)
	}
}
