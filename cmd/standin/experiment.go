package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"

	"github.com/spf13/cobra"
	"github.com/zeebo/errs"

	"crocusyoke/internal/standin/experiment"
)

// baselineSplit is the number of nodes that the baseline policy splits the targets' slots and
// connections among. Both deployments have this many nodes.
const baselineSplit = 6

// runOptions are the flags of the run command. Some override values in the plans, the others say
// how to run the plans and where to put the results.
type runOptions struct {
	dir, out    string
	deployments []string
	seed        uint64
	baseline    bool
	compare     bool
	parallel    bool
}

// newRunCommand returns the command that runs experiments from plan files.
func newRunCommand() *cobra.Command {
	var o runOptions
	cmd := &cobra.Command{
		Use:   "run PLAN...",
		Short: "Run experiment plans against real processes and check their rules and bounds",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return o.runAll(cmd.Context(), cmd.OutOrStdout(), args)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&o.dir, "dir", "run", "directory for files, data and logs")
	flags.StringVar(&o.out, "out", "out", "directory for reports")
	flags.StringSliceVar(&o.deployments, "deployments", nil, "trust, bindery or both, in place of the plan's deployment")
	flags.Uint64Var(&o.seed, "seed", 0, "seed in place of the plan's; 0 for the plan's")
	flags.BoolVar(&o.baseline, "baseline", false, "run with the baseline policy only: first in, first out scheduling, reads at the primary, connections split evenly among the nodes")
	flags.BoolVar(&o.compare, "compare", false, "run each plan a second time, with the baseline policy")
	flags.BoolVar(&o.parallel, "parallel", false, "run a plan's deployments at the same time")
	return cmd
}

// runAll runs every plan. Its error names the plans in which a rule or bound was broken.
func (o *runOptions) runAll(ctx context.Context, w io.Writer, paths []string) error {
	var failed []string
	for _, path := range paths {
		plans, err := o.loadVariants(path)
		if err != nil {
			return err
		}
		names, err := o.runPlans(ctx, w, plans)
		if err != nil {
			return err
		}
		failed = append(failed, names...)
	}
	if len(failed) > 0 {
		return errs.New("plans with a broken rule or bound: %v", failed)
	}
	fmt.Fprintln(w, "\nevery rule and every bound held")
	return nil
}

// loadVariants loads a plan and returns its variants: one for each deployment and policy that
// the options ask for.
func (o *runOptions) loadVariants(path string) ([]*experiment.Plan, error) {
	plan, err := experiment.LoadPlan(path)
	if err != nil {
		return nil, err
	}
	if o.seed != 0 {
		plan.Seed = o.seed
	}
	deployments := o.deployments
	if len(deployments) == 0 {
		deployments = []string{plan.Deployment}
	}
	var plans []*experiment.Plan
	for _, deployment := range deployments {
		if !o.baseline {
			plans = append(plans, plan.Variant(deployment, false, baselineSplit))
		}
		if o.baseline || o.compare {
			plans = append(plans, plan.Variant(deployment, true, baselineSplit))
		}
	}
	return plans, nil
}

// runPlans runs the variants of a plan and returns the names of those in which a rule or bound
// was broken or that failed to run. The output of a variant goes to w when the variant ends, so
// that parallel runs do not mix.
func (o *runOptions) runPlans(ctx context.Context, w io.Writer, plans []*experiment.Plan) ([]string, error) {
	var mu sync.Mutex
	var failed []string
	var group errs.Group
	runOne := func(plan *experiment.Plan) {
		var output bytes.Buffer
		passed, err := o.run(ctx, &output, plan)
		mu.Lock()
		defer mu.Unlock()
		_, _ = output.WriteTo(w)
		group.Add(err)
		if !passed {
			failed = append(failed, plan.Name)
		}
	}
	var wg sync.WaitGroup
	for _, plan := range plans {
		if !o.parallel {
			runOne(plan)
			continue
		}
		wg.Go(func() { runOne(plan) })
	}
	wg.Wait()
	return failed, group.Err()
}

// run runs one plan and reports whether every rule and bound held. These are not required of a
// plan with another policy than the default, which runs for comparison only.
func (o *runOptions) run(ctx context.Context, w io.Writer, plan *experiment.Plan) (bool, error) {
	fmt.Fprintf(w, "\n== %s\n", plan.Name)
	report, err := experiment.Run(ctx, plan, filepath.Join(o.dir, plan.Name), w)
	if err != nil {
		return false, err
	}
	report.WriteTable(w)
	return report.Held() || plan.IsBaseline(), o.write(report)
}

// write writes the report, the history of operations and the plot to the directory for
// reports.
func (o *runOptions) write(report *experiment.Report) error {
	if err := os.MkdirAll(o.out, 0o755); err != nil {
		return err
	}
	body, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	base := filepath.Join(o.out, report.Plan)
	if err := os.WriteFile(base+".json", body, 0o644); err != nil {
		return err
	}
	if err := report.WriteHistory(base + ".ops.jsonl"); err != nil {
		return err
	}
	return report.WritePlot(base + ".png")
}
