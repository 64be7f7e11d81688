package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// WriteTable writes the report to w as human-readable tables.
func (rep *Report) WriteTable(w io.Writer) {
	fmt.Fprintf(w, "\n%s on %s, policy %s, seed %d, %v\n\n", rep.Plan, rep.Deployment, rep.Policy, rep.Seed, rep.Length.Std())
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "request\tok\tnot run\tunknown\tfailed\tp50\tp99\t")
	for _, k := range rep.Kinds {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%v\t%v\t\n", k.Kind, k.OK, k.NotRun, k.Unknown, k.Failed, rounded(k.P50.Std()), rounded(k.P99.Std()))
	}
	t.Flush()
	rep.writeMeasures(w)
	rep.writeRules(w)
}

func rounded(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }

func (rep *Report) writeMeasures(w io.Writer) {
	m := rep.Measures
	fmt.Fprintf(w, "\nreplica share of reads     %.1f%%\n", 100*m.ReplicaShare)
	for _, gap := range m.WriteGaps {
		fmt.Fprintf(w, "largest gap between writes %v in %s (from %v)\n", rounded(gap.Elapsed.Std()), gap.Group, rounded(gap.At.Std()))
	}
	fmt.Fprintf(w, "worst customer             %s: %.2f%% succeeded, p99 %v (median customer's p99 %v)\n",
		m.Worst.Name, 100*m.Worst.Success, rounded(m.Worst.P99.Std()), rounded(m.MedianP99.Std()))
	fmt.Fprintf(w, "refused within rate        %d (%.2f%%)\n", m.WrongRefusals, 100*m.WrongRefusalShare)
	fmt.Fprintf(w, "acknowledged               %.0f/s\n\n", m.Throughput)
}

// maxViolationsShown is the number of violations printed per broken rule.
const maxViolationsShown = 5

func (rep *Report) writeRules(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "must hold\tchecked\tviolations")
	for _, rule := range rep.Rules {
		fmt.Fprintf(t, "%s\t%d\t%d\n", rule.Rule, rule.Checked, len(rule.Violations))
	}
	t.Flush()
	for _, rule := range rep.Rules {
		for i, v := range rule.Violations {
			if i == maxViolationsShown {
				break
			}
			fmt.Fprintf(w, "  BROKEN %s: %s\n", v.Rule, v.Detail)
		}
	}
	for _, missed := range rep.MissedBounds {
		fmt.Fprintf(w, "  MISSED %s\n", missed)
	}
}
