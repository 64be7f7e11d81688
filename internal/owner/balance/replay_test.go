package balance_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/owner/balance"
	"crocusyoke/internal/owner/choose"
	"crocusyoke/internal/owner/schedule"
	"crocusyoke/internal/target"

	"github.com/shoenig/test/must"
)

const (
	tick     = time.Millisecond
	slots    = 4
	replicas = 3
)

// load is a replayed load: statements that arrive at random deciders, which all may place on the same replicas.
type load struct {
	name     string
	deciders int
	// arrivals returns how many statements arrive on average in the tick at at.
	arrivals func(at time.Duration) float64
	// duration returns the mean slot time of a statement at the replica with the given index.
	duration func(at time.Duration, replica int) time.Duration
	// isAway reports whether the replica with the given index takes no new work and reports nothing.
	isAway func(at time.Duration, replica int) bool
	// reports is the interval of a decider's polls of one replica. isLost reports whether one is lost.
	reports time.Duration
	isLost  func(at time.Duration, decider, replica int) bool
	length  time.Duration
}

// work is one statement at a replica.
type work struct {
	item    schedule.Item
	decider int
	left    time.Duration
}

// decider is one node that places statements.
type decider struct {
	schedules []*schedule.Scheduler
	reports   []balance.Report
}

// replay plays a load without a network.
type replay struct {
	load     load
	even     bool
	random   *rand.Rand
	start    time.Time
	deciders []*decider
	// queues holds what was sent to each replica; the first slots of them run.
	queues [][]*work
	// queued is the time that statements waited at any replica or decider, wasted the part of it while another
	// replica had a free slot. served counts statements.
	queued, wasted time.Duration
	served         int
}

func (l load) play(even bool) *replay {
	r := &replay{load: l, even: even, random: rand.New(rand.NewPCG(7, 1)), start: time.Unix(1, 0), queues: make([][]*work, replicas)}
	for range l.deciders {
		d := &decider{reports: make([]balance.Report, replicas)}
		for range replicas {
			d.schedules = append(d.schedules, schedule.New(schedule.Options{Slots: slots}))
		}
		r.deciders = append(r.deciders, d)
	}
	choices := rand.New(rand.NewPCG(7, 2))
	for at := time.Duration(0); at < l.length; at += tick {
		for i := range r.queues {
			r.run(at, i)
		}
		for expected := l.arrivals(at); expected > r.random.Float64(); expected-- {
			r.place(at, r.random.IntN(l.deciders), choices.Uint64())
		}
		r.report(at)
		r.measure()
	}
	return r
}

// run lets the replica work for one tick.
func (r *replay) run(at time.Duration, replica int) {
	running := r.queues[replica][:min(slots, len(r.queues[replica]))]
	for _, w := range running {
		w.left -= tick
	}
	for _, w := range slices.Clone(running) {
		if w.left <= 0 {
			r.end(at, replica, w)
		}
	}
}

// end ends a statement and sends what its decider lets run next.
func (r *replay) end(at time.Duration, replica int, w *work) {
	i := slices.Index(r.queues[replica], w)
	r.queues[replica] = slices.Delete(r.queues[replica], i, i+1)
	r.served++
	r.send(replica, r.deciders[w.decider].schedules[replica].Done(r.start.Add(at), &w.item, schedule.TransactionUnchanged))
}

func (r *replay) send(replica int, decisions []schedule.Decision) {
	for _, d := range decisions {
		if d.Refusal == nil {
			r.queues[replica] = append(r.queues[replica], d.Item.Value.(*work))
		}
	}
}

// place places one statement as the decider's node would.
func (r *replay) place(at time.Duration, index int, random uint64) {
	d, now := r.deciders[index], r.start.Add(at)
	size := 0.5 + r.random.Float64()
	q := &choose.Criteria{
		Read: true, MinPositionKnown: true, Primary: -1, EvenLoad: r.even, Random: random,
		Profile: &fleet.Profile{Reads: fleet.ReadsSession},
	}
	candidates := make([]choose.Candidate, replicas)
	for i, s := range d.schedules {
		candidates[i] = choose.Candidate{
			StatusKnown: r.load.isAway == nil || !r.load.isAway(at, i), Role: target.RoleReplica, ExpectedWait: s.ExpectedWait(now, "c", 1, 0),
			Load: balance.Load{Slots: slots, Own: s.InFlight() + s.Waiting(), Others: d.reports[i].Others(now), SlotTime: s.MeanSlotTime()},
		}
	}
	choice := choose.Choose(q, candidates)
	if choice.Target < 0 {
		return
	}
	mean := float64(r.load.duration(at, choice.Target))
	w := &work{decider: index, left: time.Duration(mean * size)}
	w.item = schedule.Item{Customer: "c", Weight: 1, Class: schedule.Read, Value: w}
	r.send(choice.Target, d.schedules[choice.Target].Submit(now, &w.item))
}

// report brings the deciders the reports that are due, the polls of each being spread over the interval.
func (r *replay) report(at time.Duration) {
	for n, d := range r.deciders {
		for i := range r.queues {
			offset := r.load.reports * time.Duration(n*replicas+i) / time.Duration(r.load.deciders*replicas)
			if (at+offset)%r.load.reports >= tick || r.load.isAway != nil && r.load.isAway(at, i) || r.load.isLost != nil && r.load.isLost(at, n, i) {
				continue
			}
			d.reports[i] = balance.NewReport(r.start.Add(at), len(r.queues[i]), d.schedules[i].InFlight())
		}
	}
}

func (r *replay) measure() {
	for i := range r.queues {
		waiting := max(0, len(r.queues[i])-slots)
		for _, d := range r.deciders {
			waiting += d.schedules[i].Waiting()
		}
		r.queued += time.Duration(waiting) * tick
		for j, other := range r.queues {
			if j != i && len(other) < slots {
				r.wasted += time.Duration(waiting) * tick
				break
			}
		}
	}
}

func steady(perTick float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perTick }
}

func alike(mean time.Duration) func(time.Duration, int) time.Duration {
	return func(time.Duration, int) time.Duration { return mean }
}

// crowds returns the rate of arrivals of which burst per tick come in the first 50 ms of each half second, which is
// less than the interval of the reports, and usual in the rest.
func crowds(burst, usual float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at%(500*time.Millisecond) < 50*time.Millisecond {
			return burst
		}
		return usual
	}
}

// isBetween reports whether at is in the second and third of the replayed seconds.
func isBetween(at time.Duration) bool { return at >= time.Second && at < 3*time.Second }

func loads() []load {
	usual := load{deciders: 24, length: 4 * time.Second, reports: 100 * time.Millisecond, duration: alike(15 * time.Millisecond)}
	crowd, back, slow, lost := usual, usual, usual, usual
	crowd.name, crowd.arrivals = "a crowd arrives at many nodes within one report's age", crowds(0.75, 0.3)
	back.name, back.arrivals = "a target comes back empty", steady(0.4)
	back.isAway = func(at time.Duration, replica int) bool { return replica == 0 && isBetween(at) }
	slow.name, slow.arrivals = "a target turns slow", steady(0.35)
	slow.duration = func(at time.Duration, replica int) time.Duration {
		if replica == 1 && isBetween(at) {
			return 60 * time.Millisecond
		}
		return 15 * time.Millisecond
	}
	lost.name, lost.arrivals = "reports are lost", crowds(0.75, 0.3)
	lost.isLost = func(at time.Duration, decider, replica int) bool { return isBetween(at) && (decider+replica)%2 == 0 }
	return []load{crowd, back, slow, lost}
}

// wasteBound is the stated bound on the time that work waits at one target while another has a free slot, in parts of
// what it is on the same arrivals without even load.
const wasteBound = 0.1

// TestWorkWaitsWhereOthersAreFree holds that time to its bound under each load.
func TestWorkWaitsWhereOthersAreFree(t *testing.T) {
	for _, l := range loads() {
		t.Run(l.name, func(t *testing.T) {
			before, after := l.play(false), l.play(true)
			t.Logf("without: served %d, waited %v, with a free slot elsewhere %v", before.served, before.queued, before.wasted)
			t.Logf("with: served %d, waited %v, with a free slot elsewhere %v", after.served, after.queued, after.wasted)
			must.Positive(t, before.wasted)
			must.LessEq(t, wasteBound*before.wasted.Seconds(), after.wasted.Seconds())
			must.GreaterEq(t, before.served, after.served)
		})
	}
}
