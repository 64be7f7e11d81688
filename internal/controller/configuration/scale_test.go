package configuration

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/platform"
)

// Parameters of probing, which resembles that of package membership.
const (
	probeEvery = 250 * time.Millisecond
	cellSize   = 32
	// Every anyNodePeriod-th probe goes to any node in a fleet of many cells, the others to
	// nodes of the same cell.
	anyNodePeriod = 4
)

// fleetSimulation is a fleet on logical time. Apart from outages of the store, it has no
// faults.
type fleetSimulation struct {
	now    time.Time
	rng    *rand.Rand
	nodes  []*simNode
	newest uint64
	reads  int
	// restored is true while the store has a row from before a restore.
	restored bool
	// voteBytes is the total size of the votes sent.
	voteBytes int
}

type simNode struct {
	*State
	index    int
	turn     int
	nextPoll time.Time
}

func newFleetSimulation(size int) *fleetSimulation {
	f := &fleetSimulation{now: epoch, rng: rand.New(rand.NewPCG(1, uint64(size))), newest: 1}
	names := make([]string, size)
	for i := range names {
		names[i] = fmt.Sprint(i)
	}
	for i, name := range names {
		node := &simNode{State: New(name, f.now), index: i}
		node.SetListed(names)
		node.nextPoll = f.now.Add(time.Duration(f.rng.Float64() * float64(node.PollWait(0, 0))))
		f.nodes = append(f.nodes, node)
	}
	return f
}

// round lets each node, in random order, probe once and poll the row if that is due. store is
// false during an outage.
func (f *fleetSimulation) round(store bool) {
	for _, i := range f.rng.Perm(len(f.nodes)) {
		f.now = f.now.Add(probeEvery / time.Duration(len(f.nodes)))
		f.step(f.nodes[i], store)
	}
}

func (f *fleetSimulation) step(n *simNode, store bool) {
	n.turn++
	f.probe(n, f.peer(n))
	if store && !f.now.Before(n.nextPoll) {
		f.reads++
		f.poll(n)
		n.nextPoll = f.now.Add(n.PollWait(0, f.rng.Float64()))
	}
	if fetch, due := n.NextFetch(f.now); due {
		_, _ = n.OnBody(fetch.Version, record(fetch.Version), body(fetch.Version))
	}
}

func (f *fleetSimulation) poll(n *simNode) {
	if f.restored {
		n.OnRow(platform.Row{Version: f.newest, Era: 2}, recordOfEra(f.newest, 1), f.now)
		f.writeBack(n)
		return
	}
	n.OnRowRead(f.newest, record(f.newest), f.now)
}

// writeBack performs the node's write-back, if one is due after its read of the row.
func (f *fleetSimulation) writeBack(n *simNode) {
	if write, due := n.NextWriteBack(f.now); due {
		f.restored, f.newest = false, write.Version
	}
}

func (f *fleetSimulation) peer(n *simNode) *simNode {
	size := len(f.nodes)
	if size <= 2*cellSize {
		return f.nodes[(n.index+1+n.turn%(size-1))%size]
	}
	if n.turn%anyNodePeriod == 0 {
		return f.nodes[f.rng.IntN(size)]
	}
	cell := n.index / cellSize * cellSize
	return f.nodes[cell+f.rng.IntN(min(cellSize, size-cell))]
}

func (f *fleetSimulation) probe(asker, asked *simNode) {
	report := asked.Report(f.now)
	if report.Votes != nil {
		f.voteBytes += len(report.Votes.Ages)
	}
	asker.OnReport(asked.self, report, f.now)
}

func (f *fleetSimulation) countStale() int {
	count := 0
	for _, n := range f.nodes {
		if !n.IsFresh(f.now) {
			count++
		}
	}
	return count
}

// propagationTime runs rounds until all nodes have the newest version, and returns the time
// that this took.
func (f *fleetSimulation) propagationTime() time.Duration {
	began := f.now
	for {
		behind := 0
		for _, n := range f.nodes {
			if n.Version() < f.newest {
				behind++
			}
		}
		if behind == 0 {
			return f.now.Sub(began)
		}
		f.round(true)
	}
}

// run runs the given number of rounds. It returns the largest number of nodes that were not
// fresh, checked after every fifth round, and the bytes of votes that one node sent per
// second.
func (f *fleetSimulation) run(rounds int, store bool) (stale int, bytes float64) {
	f.voteBytes = 0
	for i := range rounds {
		f.round(store)
		if i%5 == 0 {
			stale = max(stale, f.countStale())
		}
	}
	seconds := float64(rounds) * probeEvery.Seconds()
	return stale, float64(f.voteBytes) / seconds / float64(len(f.nodes))
}

// fleetResults holds the measurements of a fleet while the store answers, and of the same
// fleet during an outage of the store.
type fleetResults struct {
	reads                  float64
	propagation            time.Duration
	stale, staleOutage     int
	voteBytes, outageBytes float64
}

func measureFleet(size, rounds int) fleetResults {
	f := newFleetSimulation(size)
	f.run(max(rounds, 60), true)
	f.reads = 0
	var m fleetResults
	m.stale, m.voteBytes = f.run(rounds, true)
	m.reads = float64(f.reads) / (float64(rounds) * probeEvery.Seconds())
	f.newest++
	m.propagation = f.propagationTime()
	m.staleOutage, m.outageBytes = f.run(rounds, false)
	return m
}

func (m fleetResults) check(t testing.TB) {
	t.Helper()
	must.LessEq(t, MaxReadsPerSecond, m.reads)
	must.Eq(t, 0, m.stale)
	must.Eq(t, 0, m.staleOutage)
	must.Less(t, 9*time.Second, m.propagation)
}

// TestFleetsOfManySizes checks the rate of reads, freshness and propagation times, while the
// store answers and during an outage.
func TestFleetsOfManySizes(t *testing.T) {
	for _, size := range []int{6, 24, 100, 300} {
		measureFleet(size, 40).check(t)
	}
}

// TestRestoredFleetsOfManySizes guards against large fleets that refuse keys after a restore of the store, or in which
// no node writes the configuration back before commands give up.
func TestRestoredFleetsOfManySizes(t *testing.T) {
	for _, size := range []int{6, 24, 100, 300} {
		checkRestoredFleet(t, size)
	}
}

// BenchmarkRestoredFleet measures the time until a node writes the configuration back.
func BenchmarkRestoredFleet(b *testing.B) {
	for _, size := range []int{300, 2100} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(checkRestoredFleet(b, size).Seconds(), "s-write-back")
			}
		})
	}
}

// commandWait is how long commands wait for a write-back.
const commandWait = 15 * time.Second

func checkRestoredFleet(t testing.TB, size int) time.Duration {
	t.Helper()
	f := newFleetSimulation(size)
	f.run(60, true)
	f.restored = true
	began := f.now
	for f.restored {
		stale, _ := f.run(1, true)
		must.Eq(t, 0, stale, must.Sprintf("%d nodes, %s after the restore", size, f.now.Sub(began)))
		must.Less(t, commandWait, f.now.Sub(began), must.Sprintf("%d nodes", size))
	}
	took := f.now.Sub(began)
	must.Less(t, 9*time.Second, f.propagationTime())
	return took
}

// BenchmarkFleet measures the same for larger fleets. One operation is one whole run.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{6, 24, 100, 400, 2100} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				m := measureFleet(size, 40)
				m.check(b)
				b.ReportMetric(m.reads, "reads/s")
				b.ReportMetric(m.propagation.Seconds(), "s-in-force")
				b.ReportMetric(m.voteBytes, "B/s-votes")
				b.ReportMetric(m.outageBytes, "B/s-votes-outage")
			}
		})
	}
}

// BenchmarkHeard measures the processing of one answer during an outage, including the check
// of freshness.
func BenchmarkHeard(b *testing.B) {
	for _, size := range []int{6, 24, 100, 400, 2100} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			f := newFleetSimulation(size)
			f.run(20, true)
			f.run(20, false)
			n := f.nodes[0]
			for b.Loop() {
				f.now = f.now.Add(time.Millisecond)
				f.probe(n, f.nodes[1])
				_ = n.FreshnessBasis()
			}
		})
	}
}
