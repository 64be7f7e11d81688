package experiment

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/zeebo/errs"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/standin/check"
)

// rateLimitSQLState is the SQLSTATE of operations refused because they exceed their customer's
// rate.
const rateLimitSQLState = "53400"

// Report is the outcome of a run.
type Report struct {
	Plan       string         `json:"plan"`
	Deployment string         `json:"deployment"`
	Policy     string         `json:"policy"`
	Seed       uint64         `json:"seed"`
	Length     fleet.Duration `json:"length"`
	Kinds      []KindCount    `json:"kinds"`
	Customers  []Customer     `json:"customers"`
	Measures   Measures       `json:"measures"`
	Rules      []check.Result `json:"rules"`
	Events     []EventRecord  `json:"events"`
	// MissedBounds describes the plan's bounds that were not met.
	MissedBounds []string `json:"missed,omitempty"`

	ops []check.Op
}

// KindCount counts the outcomes of one kind of operation.
type KindCount struct {
	Kind    check.Kind     `json:"kind"`
	OK      int            `json:"ok"`
	NotRun  int            `json:"not_run"`
	Unknown int            `json:"unknown"`
	Failed  int            `json:"failed"`
	P50     fleet.Duration `json:"p50"`
	P99     fleet.Duration `json:"p99"`
}

// Customer sums up the operations of one customer, without its attempts to use a foreign
// service.
type Customer struct {
	Name    string         `json:"name"`
	Sent    int            `json:"sent"`
	Success float64        `json:"success"`
	P99     fleet.Duration `json:"p99"`
	// RateRefusals counts its operations that were refused for their rate. ExpectsRefusals
	// reports whether the plan makes refusals legitimate; see Plan.expectsRefusals.
	RateRefusals    int  `json:"over_rate"`
	ExpectsRefusals bool `json:"storm"`
}

// Measures holds the four measures that the specification asks for.
type Measures struct {
	// ReplicaShare is the share of reads outside transactions that replicas served, according
	// to the nodes' counters.
	ReplicaShare float64 `json:"replica_share"`
	// WriteGaps holds the longest time between two acknowledged writes of each group.
	WriteGaps []WriteGap `json:"gaps"`
	// Worst is the worst-served of the customers that expect no refusals.
	Worst Customer `json:"worst"`
	// MedianP99 is the median of the p99 latencies of these customers.
	MedianP99 fleet.Duration `json:"median_p99"`
	// WrongRefusals counts the operations of these customers that were refused for their rate,
	// WrongRefusalShare is their share of these customers' operations.
	WrongRefusals     int     `json:"wrong_refusals"`
	WrongRefusalShare float64 `json:"wrong_refusal_share"`
	// Throughput is in acknowledged operations per second.
	Throughput float64 `json:"throughput"`
}

// WriteGap is the longest time between two acknowledged writes of a group. It starts at At
// and takes Elapsed.
type WriteGap struct {
	Group   string         `json:"group"`
	At      fleet.Duration `json:"at"`
	Elapsed fleet.Duration `json:"gap"`
}

func (r *run) report() *Report {
	rep := &Report{
		Plan:       r.plan.Name,
		Deployment: r.plan.Deployment,
		Policy:     r.plan.policyName(),
		Seed:       r.plan.Seed,
		Length:     r.plan.Length,
		Rules:      check.CheckAll(&r.history),
		Events:     r.events,
		ops:        r.history.Ops,
	}
	rep.Kinds = countKinds(rep.ops)
	rep.Customers = r.countCustomers(rep.ops)
	rep.Measures = r.computeMeasures(rep)
	r.checkBounds(rep)
	return rep
}

// checkBounds adds the bounds of the plan that were missed to rep.
func (r *run) checkBounds(rep *Report) {
	miss := func(format string, args ...any) {
		rep.MissedBounds = append(rep.MissedBounds, fmt.Sprintf(format, args...))
	}
	for _, gap := range rep.Measures.WriteGaps {
		if gap.Elapsed > r.plan.MaxGap {
			miss("failover gap of group %s: %v", gap.Group, gap.Elapsed.Std())
		}
	}
	if r.plan.changesPrimary() && len(r.history.Promotions) == 0 {
		miss("the plan changes a primary, but no promotion was seen")
	}
	wrong, bound := rep.Measures.WrongRefusalShare, r.plan.MaxWrongRefusals
	if bound > 0 && wrong > bound {
		miss("refused within rate: %.2f%%, bound %.2f%%", 100*wrong, 100*bound)
	}
	if worst := rep.Measures.Worst; worst.Success < r.plan.MinWorstSuccess {
		miss("worst customer %s: %.2f%% succeeded, bound %.2f%%", worst.Name, 100*worst.Success, 100*r.plan.MinWorstSuccess)
	}
}

// Held reports whether every rule held and every bound was met.
func (rep *Report) Held() bool { return check.NoViolations(rep.Rules) && len(rep.MissedBounds) == 0 }

// WriteHistory writes every operation to path, one JSON object per line.
func (rep *Report) WriteHistory(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return Error.Wrap(err)
	}
	encoder := json.NewEncoder(file)
	for i := range rep.ops {
		if err := encoder.Encode(&rep.ops[i]); err != nil {
			return errs.Combine(err, file.Close())
		}
	}
	return Error.Wrap(file.Close())
}

// Range and precision of the histograms, which count latencies in microseconds from 1 to
// histogramMax with histogramDigits significant digits.
const (
	histogramMax    = int64(time.Minute / time.Microsecond)
	histogramDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histogramMax))
}

func quantile(h *hdrhistogram.Histogram, q float64) fleet.Duration {
	return fleet.Duration(time.Duration(h.ValueAtQuantile(q)) * time.Microsecond)
}

func countKinds(ops []check.Op) []KindCount {
	kinds := []check.Kind{check.Book, check.Transfer, check.ReadOwn, check.ReadRates, check.ForeignAccess}
	all := make([]KindCount, 0, len(kinds))
	for _, kind := range kinds {
		count := KindCount{Kind: kind}
		h := newHistogram()
		for i := range ops {
			if ops[i].Kind == kind {
				count.add(&ops[i], h)
			}
		}
		count.P50, count.P99 = quantile(h, 50), quantile(h, 99)
		all = append(all, count)
	}
	return all
}

func (c *KindCount) add(op *check.Op, h *hdrhistogram.Histogram) {
	switch op.Outcome {
	case check.OK:
		c.OK++
		recordLatency(h, op.End-op.Start)
	case check.NotRun:
		c.NotRun++
	case check.Unknown:
		c.Unknown++
	default:
		c.Failed++
	}
}

func (r *run) countCustomers(ops []check.Op) []Customer {
	var all []Customer
	for i, c := range r.deployment.Customers {
		count := Customer{Name: c.Name, ExpectsRefusals: r.plan.expectsRefusals(i + 1)}
		h := newHistogram()
		ok := 0
		for j := range ops {
			op := &ops[j]
			if op.Customer != c.Name || op.Kind == check.ForeignAccess {
				continue
			}
			count.Sent++
			if op.Outcome == check.OK {
				ok++
				recordLatency(h, op.End-op.Start)
			}
			if op.SQLState == rateLimitSQLState {
				count.RateRefusals++
			}
		}
		count.Success = float64(ok) / float64(max(count.Sent, 1))
		count.P99 = quantile(h, 99)
		all = append(all, count)
	}
	return all
}

// expectsRefusals reports whether the plan sends more than the customer's rate or withdraws
// its key. Refusals are then legitimate. customer is counted from 1.
func (p *Plan) expectsRefusals(customer int) bool {
	if p.Load.Share > 1 {
		return true
	}
	return slices.ContainsFunc(p.Events, func(e Event) bool {
		return e.Customer == customer && (e.Action == Overload || e.Action == WithdrawKey)
	})
}

func (r *run) computeMeasures(rep *Report) Measures {
	m := Measures{WriteGaps: r.writeGaps(rep.ops)}
	acknowledged := 0
	for i := range rep.ops {
		op := &rep.ops[i]
		if op.Outcome != check.OK {
			continue
		}
		acknowledged++
	}
	var reads, replicas int64
	for _, v := range r.latestCounters {
		reads += v.Owner.Reads
		replicas += v.Owner.Replicas
	}
	m.ReplicaShare = float64(replicas) / float64(max(reads, 1))
	m.Throughput = float64(acknowledged) / r.plan.Length.Std().Seconds()
	r.measureCustomers(rep, &m)
	return m
}

func (r *run) measureCustomers(rep *Report, m *Measures) {
	var withinRate []Customer
	sent := 0
	for _, c := range rep.Customers {
		if c.ExpectsRefusals {
			continue
		}
		withinRate = append(withinRate, c)
		sent += c.Sent
		m.WrongRefusals += c.RateRefusals
	}
	if len(withinRate) == 0 {
		return
	}
	m.WrongRefusalShare = float64(m.WrongRefusals) / float64(max(sent, 1))
	m.Worst = slices.MinFunc(withinRate, func(a, b Customer) int {
		return cmp.Or(cmp.Compare(a.Success, b.Success), cmp.Compare(b.P99, a.P99))
	})
	slices.SortFunc(withinRate, func(a, b Customer) int { return cmp.Compare(a.P99, b.P99) })
	m.MedianP99 = withinRate[len(withinRate)/2].P99
}

// writeGaps returns the longest time between two acknowledged writes of each group. The start
// and the end of the load count as writes.
func (r *run) writeGaps(ops []check.Op) []WriteGap {
	var all []WriteGap
	for _, group := range r.deployment.Plan.Services {
		ends := []time.Duration{0}
		for i := range ops {
			op := &ops[i]
			if op.Group == group && op.Outcome == check.OK && (op.Kind == check.Book || op.Kind == check.Transfer) {
				ends = append(ends, op.End)
			}
		}
		ends = append(ends, r.plan.Length.Std())
		slices.Sort(ends)
		gap := WriteGap{Group: group}
		for i := 1; i < len(ends); i++ {
			if d := ends[i] - ends[i-1]; d > gap.Elapsed.Std() {
				gap.Elapsed, gap.At = fleet.Duration(d), fleet.Duration(ends[i-1])
			}
		}
		all = append(all, gap)
	}
	return all
}
