package main

import (
	"fmt"
	"maps"
	"slices"

	"github.com/spf13/cobra"

	"crocusyoke/internal/standin/deploy"
	"crocusyoke/internal/standin/soak"
)

// newSoakCommand returns the command that plays faults against the shipped binary.
func newSoakCommand() *cobra.Command {
	o := soak.DefaultOptions()
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Play faults drawn from a seed against hosted nodes, as real processes, and judge what callers saw",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			binaries, err := deploy.DefaultBinaries()
			if err != nil {
				return err
			}
			if o.Binary == "" {
				o.Binary = binaries.Crocusyoke
			}
			report, err := soak.Play(cmd.Context(), o)
			if report != nil {
				printReport(cmd, report)
			}
			return err
		},
	}
	flags := cmd.Flags()
	flags.Uint64Var(&o.Seed, "seed", o.Seed, "seed of the schedule and of the callers")
	flags.DurationVar(&o.Length, "duration", o.Length, "length of the schedule")
	flags.StringVar(&o.Schedule, "schedule", o.Schedule, "all (planned work and faults), wide (also nodes that come and go for good, settings files, a restored store, late replicas), planned (planned work of wide, and a rate that is lowered), domains (planned, evacuated zones, at times beside faults, targets that are cold after their start, home regions, priorities), mixed (all, less SIGHUP, replaced primaries and record) or record (planned work, mostly two nodes of a zone at once)")
	flags.IntVar(&o.Nodes, "nodes", o.Nodes, "nodes")
	flags.IntVar(&o.Groups, "groups", o.Groups, "groups of three targets each, at most 3")
	flags.IntVar(&o.Sessions, "sessions", o.Sessions, "callers' sessions at the same time")
	flags.DurationVar(&o.Work, "work", o.Work, "mean time of a read, write or commit at a target; 0 for none and no limits")
	flags.IntVar(&o.Slots, "slots", o.Slots, "statements that a target runs at the same time")
	flags.IntVar(&o.SetupRefusals, "setup-refusals", o.SetupRefusals, "of so many statements that change a session's values or prepared names, targets refuse one to nodes; 0 for none")
	flags.IntVar(&o.SetupFailures, "setup-failures", o.SetupFailures, "of so many such statements, targets carry one out and answer with an error, or lose or cut the answer; 0 for none")
	flags.DurationVar(&o.Lag, "lag", o.Lag, "how far replicas are behind")
	flags.DurationVar(&o.PromoteAfter, "promote-after", o.PromoteAfter, "how long a promotion takes")
	flags.DurationVar(&o.CallerDelay, "caller-delay", o.CallerDelay, "one-way delay between callers and nodes; 0 for no proxy")
	flags.DurationVar(&o.LinkDelay, "link-delay", o.LinkDelay, "one-way delay between nodes and targets or the store; 0 for no proxy")
	flags.BoolVar(&o.ResetOvertakes, "reset-overtakes", false, "a reset discards what is under way between a node and a caller")
	flags.StringVar(&o.Binary, "binary", "", "the program to play against (default bin/crocusyoke)")
	flags.StringVar(&o.Dir, "dir", o.Dir, "directory for settings, logs and report.json")
	flags.StringVar(&o.Out, "out", "", "a further file for the report, as JSON")
	return cmd
}

func printReport(cmd *cobra.Command, report *soak.Report) {
	out := cmd.OutOrStdout()
	fmt.Fprintf(out, "seed %d, %s: %d events, %d writes acknowledged, %d promotions\n",
		report.Seed, report.Length, len(report.Events), report.Written, report.Promotions)
	for _, name := range slices.Sorted(maps.Keys(report.Rules)) {
		rule := report.Rules[name]
		fmt.Fprintf(out, "%-50s checked %6d  broken %d\n", name, rule.Checked, rule.Broken)
		for _, violation := range rule.Violations {
			fmt.Fprintf(out, "    %s\n", violation)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(report.Counts)) {
		fmt.Fprintf(out, "%7d %s\n", report.Counts[name], name)
	}
}
