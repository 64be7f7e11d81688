package schedule

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"crocusyoke/internal/request"

	"github.com/shoenig/test/must"
)

// arrival is one statement of a simulated load.
type arrival struct {
	at       time.Duration
	customer int
	node     int
	service  time.Duration
	// priority is that of the item, and timeout how long its caller waits; 0 is the simulation's.
	priority int
	timeout  time.Duration
}

// load describes random arrivals from customers with equal rates, in statements per second.
// Customer 0 sends stormFactor times its rate.
type load struct {
	seed        uint64
	customers   int
	nodes       int
	rate        float64
	stormFactor float64
	service     time.Duration
	duration    time.Duration
}

// arrivals generates the load from its seed. The statements of customer 0, and a fifth of
// every other customer's, arrive at random nodes; the rest of a customer's statements arrive
// at one node.
func (l load) arrivals() []arrival {
	random := rand.New(rand.NewPCG(l.seed, 1))
	var all []arrival
	for customer := range l.customers {
		rate := l.rate
		if customer == 0 {
			rate *= l.stormFactor
		}
		at := time.Duration(0)
		for {
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			if at > l.duration {
				break
			}
			node := customer % l.nodes
			if customer == 0 || random.IntN(5) == 0 {
				node = random.IntN(l.nodes)
			}
			service := time.Duration(random.ExpFloat64() * float64(l.service))
			all = append(all, arrival{at: at, customer: customer, node: node, service: service})
		}
	}
	slices.SortFunc(all, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return all
}

// event is a function to run at a time of the simulation.
type event struct {
	at  time.Duration
	run func(now time.Duration)
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// plan describes the schedulers between the nodes and one target.
type plan struct {
	name   string
	policy Policy
	// schedulers is the number of schedulers, and slots the number of slots of each.
	schedulers int
	slots      int
	// hopLatency is added to the latency of every statement.
	hopLatency time.Duration
	// priorities is Options.Priorities.
	priorities bool
}

// tally counts the outcomes of one customer's statements.
type tally struct {
	sent, refused, late int
	latencies           []time.Duration
}

func (t *tally) successShare() float64 { return float64(len(t.latencies)) / float64(max(1, t.sent)) }

func (t *tally) p99() time.Duration {
	if len(t.latencies) == 0 {
		return 0
	}
	slices.Sort(t.latencies)
	return t.latencies[len(t.latencies)*99/100]
}

const simulatedSlots = 5

// simulation runs one plan. Its target runs simulatedSlots statements at once and queues the
// others in the order in which the schedulers granted them a slot.
type simulation struct {
	plan        plan
	timeout     time.Duration
	events      events
	schedulers  []*Scheduler
	running     int
	backlog     []*job
	tallies     []tally
	maxInFlight int
	// busy is the slot time used until horizon, which is the last arrival.
	busy    time.Duration
	horizon time.Duration
	// retryAfters are those of the refusals, by customer.
	retryAfters map[int][]time.Duration
}

type job struct {
	arrival
	scheduler *Scheduler
	item      Item
}

var epoch = time.Unix(0, 0)

func (s *simulation) scheduleAt(at time.Duration, run func(time.Duration)) {
	heap.Push(&s.events, event{at, run})
}

func simulate(l load, p plan, timeout time.Duration) *simulation {
	return simulateArrivals(l.arrivals(), l.customers, p, timeout)
}

func simulateArrivals(arrivals []arrival, customers int, p plan, timeout time.Duration) *simulation {
	s := &simulation{plan: p, timeout: timeout, tallies: make([]tally, customers), retryAfters: make(map[int][]time.Duration)}
	for range p.schedulers {
		s.schedulers = append(s.schedulers, New(Options{Policy: p.policy, Slots: p.slots, QueueLimit: 1000, Priorities: p.priorities}))
	}
	for _, a := range arrivals {
		s.horizon = max(s.horizon, a.at)
		s.scheduleAt(a.at, func(now time.Duration) { s.submit(now, a) })
	}
	s.run()
	return s
}

func (s *simulation) run() {
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		e.run(e.at)
	}
}

func (s *simulation) submit(now time.Duration, a arrival) {
	j := &job{arrival: a, scheduler: s.schedulers[a.node%len(s.schedulers)]}
	j.item = Item{
		Customer: fmt.Sprint(a.customer),
		Class:    Read,
		Priority: a.priority,
		Deadline: epoch.Add(now + s.timeoutOf(a)),
		Value:    j,
	}
	s.tallies[a.customer].sent++
	s.decide(now, j.scheduler.Submit(epoch.Add(now), &j.item))
}

func (s *simulation) timeoutOf(a arrival) time.Duration { return cmp.Or(a.timeout, s.timeout) }

func (s *simulation) decide(now time.Duration, decisions []Decision) {
	for _, d := range decisions {
		j := d.Item.Value.(*job)
		if d.Refusal != nil {
			s.tallies[j.customer].refused++
			s.retryAfters[j.customer] = append(s.retryAfters[j.customer], d.Refusal.RetryAfter)
			continue
		}
		s.backlog = append(s.backlog, j)
	}
	s.start(now)
}

func (s *simulation) start(now time.Duration) {
	for s.running < s.plan.slots*s.plan.schedulers && s.running < simulatedSlots && len(s.backlog) > 0 {
		j := s.backlog[0]
		s.backlog = s.backlog[1:]
		s.running++
		s.busy += max(0, min(j.service, s.horizon-now))
		s.scheduleAt(now+j.service, func(now time.Duration) { s.done(now, j) })
	}
	s.maxInFlight = max(s.maxInFlight, s.running+len(s.backlog))
}

func (s *simulation) done(now time.Duration, j *job) {
	s.running--
	t := &s.tallies[j.customer]
	latency := now + s.plan.hopLatency - j.at
	if latency > s.timeoutOf(j.arrival) {
		t.late++
	} else {
		t.latencies = append(t.latencies, latency)
	}
	s.decide(now, j.scheduler.Done(epoch.Add(now), &j.item, TransactionUnchanged))
}

// worst returns the least share of successes and the greatest p99 of the customers that keep
// to their rate, and the median of their p99s.
func (s *simulation) worst() (share float64, p99, median time.Duration) {
	share = 1
	var all []time.Duration
	for i := range s.tallies[1:] {
		t := &s.tallies[1+i]
		share = min(share, t.successShare())
		all = append(all, t.p99())
	}
	slices.Sort(all)
	return share, all[len(all)-1], all[len(all)/2]
}

func (s *simulation) failedWithinRate() (refused, late int) {
	for _, t := range s.tallies[1:] {
		refused += t.refused
		late += t.late
	}
	return refused, late
}

func (s *simulation) String() string {
	share, p99, median := s.worst()
	refused, late := s.failedWithinRate()
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	return fmt.Sprintf("| %-28s | %6.2f %% | %6.1f | %6.1f | %5d | %5d | %6.2f %% | %3d |", s.plan.name,
		100*share, ms(p99), ms(median), refused, late, 100*s.tallies[0].successShare(), s.maxInFlight)
}

const tableHead = "| plan | worst success within rate | worst p99 ms | median p99 ms | refused within rate | late within rate | storm's success | most in flight |"

// stormLoad returns a load of 8 customers whose rates add up to 70 % of the target's capacity.
// The first sends 5 times its rate, which brings the total to 105 %.
func stormLoad(seed uint64) load {
	return load{
		seed: seed, customers: 8, nodes: 6, rate: 87.5, stormFactor: 5,
		service: 5 * time.Millisecond, duration: 30 * time.Second,
	}
}

const simulatedTimeout = 250 * time.Millisecond

func TestStormFairAgainstFIFO(t *testing.T) {
	t.Log(tableHead)
	for seed := uint64(1); seed <= 2; seed++ {
		fifo := simulate(stormLoad(seed), plan{"one owner, FIFO", FIFO, 1, 5, 2 * time.Millisecond, false}, simulatedTimeout)
		fair := simulate(stormLoad(seed), plan{"one owner, fair", Fair, 1, 5, 2 * time.Millisecond, false}, simulatedTimeout)
		t.Log(fifo)
		t.Log(fair)
		fairShare, fairP99, fairMedian := fair.worst()
		fifoShare, fifoP99, _ := fifo.worst()
		must.GreaterEq(t, 0.99, fairShare)
		must.Greater(t, fifoShare, fairShare)
		must.Less(t, fifoP99, fairP99)
		must.Less(t, 2*fairMedian, fairP99)
		must.Eq(t, simulatedSlots, fair.maxInFlight)
	}
}

func TestStormOwnerAgainstSplitConnections(t *testing.T) {
	t.Log(tableHead)
	for seed := uint64(1); seed <= 2; seed++ {
		owner := simulate(stormLoad(seed), plan{"one owner, fair", Fair, 1, 5, 2 * time.Millisecond, false}, simulatedTimeout)
		split := simulate(stormLoad(seed), plan{"6 nodes, 5 connections each", Fair, 6, 5, 0, false}, simulatedTimeout)
		single := simulate(stormLoad(seed), plan{"6 nodes, 1 connection each", Fair, 6, 1, 0, false}, simulatedTimeout)
		t.Log(owner)
		t.Log(split)
		t.Log(single)
		ownerShare, ownerP99, _ := owner.worst()
		splitShare, splitP99, _ := split.worst()
		singleShare, singleP99, _ := single.worst()
		must.GreaterEq(t, splitShare, ownerShare)
		must.GreaterEq(t, singleShare, ownerShare)
		must.Less(t, splitP99, ownerP99)
		must.Less(t, singleP99, ownerP99)
	}
}

func TestRefusalsAreNotRun(t *testing.T) {
	s := New(Options{Slots: 1})
	now := epoch
	running := &Item{Customer: "a", Class: Read, Deadline: now.Add(time.Second)}
	must.Len(t, 1, s.Submit(now, running))
	hopeless := &Item{Customer: "a", Class: Read, Deadline: now.Add(time.Millisecond)}
	decisions := s.Submit(now, hopeless)
	must.Len(t, 1, decisions)
	must.Eq(t, request.CodeOverloaded.Name, decisions[0].Refusal.Code.Name)
	late := &Item{Customer: "b", Class: Read, Deadline: now.Add(20 * time.Millisecond)}
	must.SliceEmpty(t, s.Submit(now, late))
	decisions = s.Done(now.Add(30*time.Millisecond), running, TransactionUnchanged)
	must.Len(t, 1, decisions)
	must.Eq(t, request.CodeTimeout.Name, decisions[0].Refusal.Code.Name)
	must.Eq(t, 0, s.InFlight())
}
