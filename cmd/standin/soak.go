package main

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"crocusyoke/internal/standin/deploy"
	"crocusyoke/internal/standin/soak"
)

// newSoakCommand returns the command that plays faults against the shipped binary.
func newSoakCommand() *cobra.Command {
	var o soak.Options
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
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of the schedule and of the callers")
	flags.DurationVar(&o.Length, "duration", time.Minute, "length of the schedule")
	flags.IntVar(&o.Nodes, "nodes", 6, "nodes")
	flags.IntVar(&o.Sessions, "sessions", 40, "callers' sessions at the same time")
	flags.StringVar(&o.Binary, "binary", "", "the program to play against (default bin/crocusyoke)")
	flags.StringVar(&o.Dir, "dir", "run/soak", "directory for settings, logs and report.json")
	return cmd
}

func printReport(cmd *cobra.Command, report *soak.Report) {
	out := cmd.OutOrStdout()
	fmt.Fprintf(out, "seed %d, %s: %d events, %d writes acknowledged, %d promotions\n",
		report.Seed, report.Length, len(report.Events), report.Written, report.Promotions)
	for _, name := range slices.Sorted(maps.Keys(report.Rules)) {
		rule := report.Rules[name]
		fmt.Fprintf(out, "%-42s checked %6d  broken %d\n", name, rule.Checked, rule.Broken)
		for _, violation := range rule.Violations {
			fmt.Fprintf(out, "    %s\n", violation)
		}
	}
}
