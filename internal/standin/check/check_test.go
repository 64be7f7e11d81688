package check

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	sec = time.Second
	ms  = time.Millisecond
)

// acknowledgedBooking returns a booking operation of client 1 that was acknowledged.
func acknowledgedBooking(booking string, serial int, start time.Duration) Op {
	return Op{
		Customer: "c1", KeyID: "k1", Service: "s", Group: "g", Client: 1, Node: "n1", Kind: Book,
		Start: start, End: start + 10*ms, Outcome: OK, Booking: booking, Attempt: booking + "/1", Serial: serial,
	}
}

func bookingRow(booking string) Row {
	return Row{Group: "g", Customer: "c1", Client: 1, Booking: booking, Attempt: booking + "/1"}
}

// validHistory returns a history that breaks no rule and gives every rule something to check.
func validHistory() *History {
	read := acknowledgedBooking("", 2, 3*sec)
	read.Kind, read.Attempt = ReadOwn, ""
	transfer := acknowledgedBooking("t", 0, 4*sec)
	transfer.Kind = Transfer
	refused := acknowledgedBooking("r", 3, 5*sec)
	refused.Outcome, refused.SQLState = NotRun, "53300"
	foreignAccess := acknowledgedBooking("", 0, 6*sec)
	foreignAccess.Kind, foreignAccess.Service, foreignAccess.Outcome = ForeignAccess, "other", NotRun
	afterWithdrawal := acknowledgedBooking("l", 4, 40*sec)
	afterWithdrawal.Outcome, afterWithdrawal.SQLState = NotRun, "28P01"
	firstRow, secondRow := bookingRow("t"), bookingRow("t")
	firstRow.Step, secondRow.Step = 1, 2
	return &History{
		Ops:              []Op{acknowledgedBooking("b1", 1, 1*sec), acknowledgedBooking("b2", 2, 2*sec), read, transfer, refused, foreignAccess, afterWithdrawal},
		Rows:             []Row{bookingRow("b1"), bookingRow("b2"), firstRow, secondRow},
		Limits:           []Limit{{Customer: "c1", Rate: 1, Burst: 1}},
		Withdrawals:      []Withdrawal{{KeyID: "k1", At: 20 * sec}},
		KeyExposures:     []KeyExposure{{Target: "t1", KeyID: "k1"}},
		Promotions:       []Promotion{{Group: "g", Term: 2, At: 2 * sec}},
		ConfigSamples:    []ConfigSample{{"n1", 1 * sec, 1}, {"n1", 20 * sec, 2}},
		AcceptedVersions: []AcceptedVersion{{Version: 2, At: 10 * sec}},
		PlannedStops:     []PlannedStop{{Node: "n1", From: 1 * sec, To: 3 * sec}},
		LeavingTargets:   []LeavingTarget{{Target: "t1"}},
		Targets:          []TargetUsage{{Target: "t1", Slots: 5, PeakStatements: 5, ConnectionLimit: 35, PeakConnections: 30}},
		Length:           50 * sec,
	}
}

func TestValidHistoryIsCheckedByEveryRuleAndPasses(t *testing.T) {
	for _, result := range CheckAll(validHistory()) {
		must.SliceEmpty(t, result.Violations, must.Sprint(result.Rule))
		must.Positive(t, result.Checked, must.Sprint(result.Rule))
	}
}

func TestEachRuleFindsItsBreach(t *testing.T) {
	cases := []struct {
		rule    string
		corrupt func(*History)
	}{
		{"read-your-writes", func(h *History) { h.Ops[2].Serial = 1 }},
		{"no acknowledged write is lost", func(h *History) { h.Rows = h.Rows[1:] }},
		{"no acknowledgement by a replaced primary", func(h *History) { h.Rows = append(h.Rows[:1:1], h.Rows[2:]...) }},
		{"transactions never mix", func(h *History) { h.Rows[3].Client = 2 }},
		{"transactions never mix", func(h *History) { h.Rows = h.Rows[:3] }},
		{"only for the customer whose key came", func(h *History) { h.Rows[0].Customer = "c2" }},
		{"only for the customer whose key came", func(h *History) { h.Ops[5].Outcome = OK }},
		{"no target sees a key", func(h *History) { h.KeyExposures[0].Exposures = 1 }},
		{"a withdrawn key stops working", func(h *History) { h.Ops[6].Outcome = OK }},
		{"rate and burst hold in every window", func(h *History) { h.Ops[1].Start = h.Ops[0].Start; h.Ops[1].End = h.Ops[0].End }},
		{"each caller gets its own whole answer", func(h *History) { h.Ops[0].Crossed = true }},
		{"each caller gets its own whole answer", func(h *History) { h.Ops[0].Partial = true }},
		{"not run is true", func(h *History) { h.Rows = append(h.Rows, bookingRow("r")) }},
		{"at most once", func(h *History) { h.Rows = append(h.Rows, bookingRow("b1")) }},
		{"a leaving target gets no new work", func(h *History) { h.LeavingTargets[0].LateStatements = 1 }},
		{"a planned stop cuts no request", func(h *History) { h.Ops[1].Outcome = Unknown }},
		{"configuration never reverts", func(h *History) { h.ConfigSamples = append(h.ConfigSamples, ConfigSample{"n1", 30 * sec, 1}) }},
		{"configuration is in force in time", func(h *History) { h.ConfigSamples[1].Version = 1 }},
		{"slots and connections of targets hold", func(h *History) { h.Targets[0].PeakStatements = 6 }},
		{"slots and connections of targets hold", func(h *History) { h.Targets[0].PeakConnections = 36 }},
	}
	covered := make(map[string]bool)
	for _, c := range cases {
		t.Run(c.rule, func(t *testing.T) {
			h := validHistory()
			c.corrupt(h)
			results := CheckAll(h)
			must.False(t, NoViolations(results))
			for _, result := range results {
				if result.Rule == c.rule {
					must.SliceNotEmpty(t, result.Violations)
				}
			}
		})
		covered[c.rule] = true
	}
	must.MapLen(t, len(rules), covered, must.Sprint("a rule has no test case that breaks it"))
}

func TestDownNodeMayMissConfigPropagationLimit(t *testing.T) {
	h := validHistory()
	h.ConfigSamples[1].Version = 1
	h.Downtimes = []NodeDowntime{{Node: "n1", From: 12 * sec, To: 15 * sec}}
	must.True(t, NoViolations(CheckAll(h)))
}
