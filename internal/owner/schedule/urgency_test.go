package schedule

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"crocusyoke/internal/request"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// kindOfWork is a part of a load: statements of one priority from a customer of their own.
type kindOfWork struct {
	customer, priority int
	rate               float64
	service, timeout   time.Duration
	from, to           time.Duration
}

// mix returns the arrivals of kinds, in order. Between from and to (the whole of length if zero) they are random.
func mix(seed uint64, length time.Duration, kinds ...kindOfWork) []arrival {
	random := rand.New(rand.NewPCG(seed, 2))
	var all []arrival
	for _, k := range kinds {
		at := k.from
		for {
			at += time.Duration(random.ExpFloat64() / k.rate * float64(time.Second))
			if at > cmp.Or(k.to, length) {
				break
			}
			service := time.Duration((0.5 + random.Float64()) * float64(k.service))
			all = append(all, arrival{at: at, customer: k.customer, service: service, priority: k.priority, timeout: k.timeout})
		}
	}
	slices.SortFunc(all, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return all
}

const targetSlots = 4

// The kinds of requests of the load that is replayed: urgent notices, routine publishing and archive reads, with
// their objectives.
const (
	urgent = iota
	routine
	archive

	urgentObjective  = 100 * time.Millisecond
	routineObjective = 200 * time.Millisecond
)

// noticesAndArchive returns the load of one of eight groups, whose primary and two replicas share it: urgent notices
// (145 a second of 3 ms), routine publishing (679 of 9 ms) and archive reads (252 of 15 ms), the latter times crowd.
// Each kind is of a customer of its own, of the same number.
func noticesAndArchive(crowd float64) []kindOfWork {
	const targets = 24
	return []kindOfWork{
		{customer: urgent, priority: urgent, rate: 145.0 / targets, service: 3 * time.Millisecond, timeout: 800 * time.Millisecond},
		{customer: routine, priority: routine, rate: 679.0 / targets, service: 9 * time.Millisecond, timeout: 800 * time.Millisecond},
		{customer: archive, priority: archive, rate: crowd * 252 / targets, service: 15 * time.Millisecond, timeout: 1200 * time.Millisecond},
	}
}

// crowdAtTwice makes the archive reads so many that the load is 2 times the capacity of 4 slots a target.
func crowdAtTwice() float64 {
	asked := 0.0
	for _, k := range noticesAndArchive(0)[:archive] {
		asked += k.rate * k.service.Seconds()
	}
	read := noticesAndArchive(1)[archive]
	return (2*targetSlots - asked) / (read.rate * read.service.Seconds())
}

func simulateUrgency(arrivals []arrival, customers int) *simulation {
	return simulateArrivals(arrivals, customers, plan{"priorities", Fair, 1, targetSlots, 0, true}, time.Second)
}

// within returns the share of the customer's statements that were answered within objective.
func (s *simulation) within(customer int, objective time.Duration) float64 {
	n := 0
	for _, latency := range s.tallies[customer].latencies {
		if latency <= objective {
			n++
		}
	}
	return float64(n) / float64(max(1, s.tallies[customer].sent))
}

func (s *simulation) busyShare() float64 {
	return float64(s.busy) / float64(s.horizon*targetSlots)
}

// TestCrowdOfArchiveReadsBeforeUrgentNotices replays archive reads that bring the load to 2 times the capacity. What
// is more urgent is served within its objective, and the archive reads get all that is left.
func TestCrowdOfArchiveReadsBeforeUrgentNotices(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		s := simulateUrgency(mix(seed, 20*time.Second, noticesAndArchive(crowdAtTwice())...), 3)
		t.Logf("urgent %.4f, routine %.4f, archive served %.3f, busy %.3f", s.within(urgent, urgentObjective),
			s.within(routine, routineObjective), s.tallies[archive].successShare(), s.busyShare())
		must.GreaterEq(t, 0.99, s.within(urgent, urgentObjective))
		must.GreaterEq(t, 0.99, s.within(routine, routineObjective))
		must.GreaterEq(t, 0.95, s.busyShare())
		must.Eq(t, 0, s.tallies[archive].late)
	}
}

// TestHotCustomerBesideUrgentNotices replays a customer that sends many times its usual, as routine publishing, so
// that the load is 2 times the capacity, beside archive reads. Urgent notices are served, and customers within their
// share of what is left as well, as the hot one is not.
func TestHotCustomerBesideUrgentNotices(t *testing.T) {
	const hot, hotRate = 3, 2 * targetSlots / 0.009
	for seed := uint64(1); seed <= 3; seed++ {
		kinds := append(noticesAndArchive(1), kindOfWork{customer: hot, priority: routine, rate: hotRate, service: 9 * time.Millisecond, timeout: 800 * time.Millisecond})
		s := simulateUrgency(mix(seed, 20*time.Second, kinds...), 4)
		t.Logf("urgent %.4f, routine %.4f, hot served %.3f, archive %.3f, busy %.3f", s.within(urgent, urgentObjective),
			s.within(routine, routineObjective), s.tallies[hot].successShare(), s.tallies[archive].successShare(), s.busyShare())
		must.GreaterEq(t, 0.99, s.within(urgent, urgentObjective))
		must.GreaterEq(t, 0.99, s.within(routine, routineObjective))
		must.Less(t, 0.6, s.tallies[hot].successShare())
		must.GreaterEq(t, 0.95, s.busyShare())
	}
}

// TestOwnBulkBeforeOwnUrgent replays a customer whose own bulk is 2 times the capacity and more than its queue limit.
// Its own urgent statements are served within their objective.
func TestOwnBulkBeforeOwnUrgent(t *testing.T) {
	kinds := []kindOfWork{
		{priority: archive, rate: 2 * targetSlots / 0.015, service: 15 * time.Millisecond},
		{priority: urgent, rate: 145, service: 3 * time.Millisecond},
	}
	arrivals := mix(1, 10*time.Second, kinds...)
	s := New(Options{Slots: targetSlots, QueueLimit: 20, Priorities: true})
	sim := &simulation{plan: plan{slots: targetSlots, schedulers: 1}, timeout: time.Minute, tallies: make([]tally, 1), schedulers: []*Scheduler{s}, retryAfters: map[int][]time.Duration{}}
	urgentRefused := 0
	for _, a := range arrivals {
		sim.scheduleAt(a.at, func(now time.Duration) {
			before := sim.tallies[0].refused
			sim.submit(now, a)
			if a.priority == urgent {
				urgentRefused += sim.tallies[0].refused - before
			}
		})
	}
	sim.run()
	must.Eq(t, 0, urgentRefused)
	must.Positive(t, sim.tallies[0].refused)
}

// TestPrimaryReturnsToFullQueue replays requests that waited for a primary and all come at its return, in any order.
// The urgent ones among them are served first, each within its objective, and the others that can't be served in time
// are refused at once with a time to come back each of their own, later for what is less urgent.
func TestPrimaryReturnsToFullQueue(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 3))
	var arrivals []arrival
	for _, k := range []struct {
		customer, n int
		service     time.Duration
	}{{urgent, 100, 3 * time.Millisecond}, {routine, 300, 9 * time.Millisecond}, {archive, 200, 15 * time.Millisecond}} {
		for range k.n {
			arrivals = append(arrivals, arrival{customer: k.customer, priority: k.customer, service: k.service, timeout: 400 * time.Millisecond})
		}
	}
	random.Shuffle(len(arrivals), func(i, j int) { arrivals[i], arrivals[j] = arrivals[j], arrivals[i] })
	s := simulateUrgency(arrivals, 3)
	must.Eq(t, 1, s.within(urgent, urgentObjective))
	must.Eq(t, 0, s.tallies[urgent].refused)
	must.Positive(t, s.tallies[routine].refused)
	must.Positive(t, s.tallies[routine].successShare())
	must.Eq(t, 0, s.tallies[routine].late)
	for _, customer := range []int{routine, archive} {
		waits := s.retryAfters[customer]
		slices.Sort(waits)
		must.Positive(t, waits[0])
		must.Eq(t, len(waits), len(slices.Compact(waits)), must.Sprint("callers come back together"))
	}
	must.Less(t, slices.Max(s.retryAfters[archive]), slices.Max(s.retryAfters[routine]))
}

// TestNothingStarves: while more urgent work never lets up, less urgent statements are granted slots, the oldest
// first, one in every passedOverTime.
func TestNothingStarves(t *testing.T) {
	const n, service = 8, 5 * time.Millisecond
	s := New(Options{Slots: 1, QueueLimit: 1 << 20, Priorities: true})
	now := epoch
	running := &Item{Customer: "a", Class: Read}
	s.Submit(now, running)
	var bulk []*Item
	for i := range n {
		item := &Item{Customer: "b", Class: Read, Priority: 1 + i%2}
		bulk = append(bulk, item)
		s.Submit(now, item)
	}
	granted := 0
	for granted < n && now.Sub(epoch) < 2*n*passedOverTime {
		s.Submit(now, &Item{Customer: "a", Class: Read})
		now = now.Add(service)
		decisions := s.Done(now, running, TransactionUnchanged)
		must.Len(t, 1, decisions)
		if running = decisions[0].Item; running.Priority > 0 {
			must.True(t, running == bulk[granted], must.Sprint("not the oldest"))
			granted++
			must.LessEq(t, time.Duration(granted)*(passedOverTime+2*service), now.Sub(epoch))
			must.GreaterEq(t, time.Duration(granted)*passedOverTime, now.Sub(epoch))
		}
	}
	must.Eq(t, n, granted)
}

// TestShedsLeastUrgentAtOnce: urgent work that comes makes waiting bulk hopeless. The bulk is refused at once as not
// run, and what still fits stays.
func TestShedsLeastUrgentAtOnce(t *testing.T) {
	s := New(Options{Slots: 1, Priorities: true})
	now := epoch
	s.Submit(now, &Item{Customer: "a", Class: Read})
	waiting := map[*Item]bool{}
	for i := range 10 {
		item := &Item{Customer: "b", Class: Read, Priority: 1 + i/5, Deadline: now.Add(100 * time.Millisecond)}
		must.SliceEmpty(t, s.Submit(now, item))
		waiting[item] = true
	}
	for range 16 {
		now = now.Add(shedInterval / 16)
		for _, d := range s.Submit(now, &Item{Customer: "a", Class: Read}) {
			must.Eq(t, StepShed, d.Refusal.Step)
			must.Eq(t, request.CodeOverloaded.Name, d.Refusal.Code.Name)
			must.Positive(t, d.Refusal.RetryAfter)
			delete(waiting, d.Item)
			for item := range waiting {
				must.LessEq(t, d.Item.Priority, item.Priority, must.Sprint("shed although less urgent work waits"))
			}
		}
	}
	must.Less(t, 10, len(waiting))
	must.Greater(t, 1, len(waiting))
	must.Eq(t, 16+len(waiting), s.Waiting())
}

// TestOneLongStatementShedsNothing: an urgent statement that held its slot for long, as one without an answer does, does
// not count for the other slots.
func TestOneLongStatementShedsNothing(t *testing.T) {
	s := New(Options{Slots: targetSlots, Priorities: true})
	now := epoch
	long := &Item{Customer: "a", Class: Read}
	s.Submit(now, long)
	now = now.Add(10 * time.Second)
	s.Done(now, long, TransactionUnchanged)
	must.LessEq(t, 1.0/targetSlots, s.aheadOf(now, s.levelOf(1)).share)
	for range targetSlots + 1 {
		s.Submit(now, &Item{Customer: "a", Class: Read})
	}
	must.SliceEmpty(t, s.Submit(now, &Item{Customer: "b", Class: Read, Priority: 1, Deadline: now.Add(10 * time.Millisecond)}))
}

// TestUrgencyHistories runs random sequences of calls with priorities. No statement is refused while a slot is free
// that it may use, and reads are granted slots in order of priority but for those that had been passed over.
func TestUrgencyHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 3).Draw(t, "slots")
		s := New(Options{Slots: slots, QueueLimit: 5, Priorities: true})
		now := epoch
		waiting, running := map[*Item]bool{}, []*Item(nil)
		grantsSince, lastPassed := passedOverGrants, epoch.Add(-passedOverTime)
		apply := func(decisions []Decision) {
			for _, d := range decisions {
				must.True(t, waiting[d.Item], must.Sprint("decided twice"))
				delete(waiting, d.Item)
				if d.Refusal != nil {
					must.True(t, deadlinePassed(now, d.Item.Deadline) || s.InFlight() == slots, must.Sprint("refused beside a free slot"))
					continue
				}
				running = append(running, d.Item)
				before := false
				for item := range waiting {
					before = before || item.Priority < d.Item.Priority && !deadlinePassed(now, item.Deadline)
				}
				if before {
					must.GreaterEq(t, passedOverGrants, grantsSince)
					must.GreaterEq(t, passedOverTime, now.Sub(lastPassed))
					grantsSince, lastPassed = 0, now
					continue
				}
				grantsSince++
			}
			must.Eq(t, len(waiting), s.Waiting())
			must.Eq(t, len(running), s.InFlight())
			must.Eq(t, len(running), s.running[Read])
		}
		var gaveBack, opening []*Item
		t.Repeat(map[string]func(*rapid.T){
			"give back": func(t *rapid.T) {
				if len(running) == 0 || slices.Contains(opening, running[0]) {
					return
				}
				item := running[0]
				decisions := s.GiveBack(now, item)
				must.Eq(t, len(gaveBack) < slots, !item.Running())
				if item.Running() {
					opening = append(opening, item)
					return
				}
				gaveBack, running = append(gaveBack, item), running[1:]
				apply(decisions)
			},
			"come back": func(t *rapid.T) {
				if len(gaveBack) == 0 {
					return
				}
				item := gaveBack[0]
				gaveBack = gaveBack[1:]
				must.False(t, s.EndOpening(item))
				if rapid.Bool().Draw(t, "abandon") {
					s.Abandon(item)
					return
				}
				waiting[item] = true
				decisions := s.Submit(now, item)
				if len(opening) > 0 && len(gaveBack) < slots {
					next := opening[0]
					opening, gaveBack = opening[1:], append(gaveBack, next)
					running = slices.DeleteFunc(running, func(r *Item) bool { return r == next })
					must.False(t, slices.Contains(s.opening, next), must.Sprint("still to give back its slot"))
				}
				apply(decisions)
			},
			"submit": func(t *rapid.T) {
				item := &Item{
					Customer: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "customer"),
					Priority: rapid.IntRange(0, 3).Draw(t, "priority"),
					Class:    Read,
					Deadline: now.Add(time.Duration(rapid.IntRange(-1, 300).Draw(t, "ms")) * time.Millisecond),
				}
				waiting[item] = true
				apply(s.Submit(now, item))
			},
			"done": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
				if len(running) > 0 {
					item := running[0]
					running = running[1:]
					must.True(t, s.EndOpening(item))
					opening = slices.DeleteFunc(opening, func(o *Item) bool { return o == item })
					apply(s.Done(now, item, TransactionUnchanged))
				}
			},
			"cancel": func(t *rapid.T) {
				for item := range waiting {
					if item.arrivalSeq%2 == 0 {
						must.True(t, s.Cancel(item))
						delete(waiting, item)
						return
					}
				}
			},
			"expire": func(*rapid.T) { apply(s.Expire(now)) },
		})
	})
}

// TestNothingRefusedBesideFreeSlot: writes that leave slots to open transactions fill a customer's queue, and a read
// of it that may use the free slot gets it.
func TestNothingRefusedBesideFreeSlot(t *testing.T) {
	s := New(Options{Slots: 2, QueueLimit: 3, Priorities: true})
	now := epoch
	begin := &Item{Customer: "a", Class: BeginTransaction}
	s.Submit(now, begin)
	s.Done(now, begin, TransactionOpened)
	for range 4 {
		s.Submit(now, &Item{Customer: "a", Class: Write})
	}
	must.Eq(t, 3, s.Waiting())
	decisions := s.Submit(now, &Item{Customer: "a", Class: Read, Deadline: now.Add(time.Millisecond)})
	must.Len(t, 1, decisions)
	must.Nil(t, decisions[0].Refusal)
}

// TestNothingShedBesideFreeSlot: urgent writes that wait for a lock, not for a slot, shed nothing.
func TestNothingShedBesideFreeSlot(t *testing.T) {
	s := New(Options{Slots: 2, Priorities: true})
	now := epoch
	begin := &Item{Customer: "a", Class: BeginTransaction}
	s.Submit(now, begin)
	s.Done(now, begin, TransactionOpened)
	s.Submit(now, &Item{Customer: "a", Class: Write})
	must.SliceEmpty(t, s.Submit(now, &Item{Customer: "b", Class: Write, Priority: 1, Deadline: now.Add(50 * time.Millisecond)}))
	for range 50 {
		now = now.Add(time.Millisecond / 2)
		must.SliceEmpty(t, s.Submit(now, &Item{Customer: "a", Class: Write}))
	}
}
