package main

import (
	"github.com/spf13/cobra"

	"crocusyoke/internal/standin/cost"
	"crocusyoke/internal/standin/deploy"
)

// newCostCommand returns the command that measures the control overhead of a node: the
// processor time, memory and calls that a node needs without callers.
func newCostCommand() *cobra.Command {
	var name, dir string
	var sizes []int
	cmd := &cobra.Command{
		Use:   "cost",
		Short: "Measure the control overhead of a node without callers, at several fleet sizes",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return cost.Measure(cmd.Context(), cmd.OutOrStdout(), name, dir, sizes)
		},
	}
	cmd.Flags().StringVar(&name, "deployment", deploy.Trust, "trust or bindery")
	cmd.Flags().StringVar(&dir, "dir", "run", "directory for files, data and logs")
	cmd.Flags().IntSliceVar(&sizes, "nodes", []int{6, 12, 24}, "fleet sizes to measure, in nodes")
	return cmd
}
