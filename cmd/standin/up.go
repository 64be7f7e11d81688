package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"crocusyoke/internal/standin/certs"
	"crocusyoke/internal/standin/deploy"
)

func newCertsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "certs DIRECTORY [NODE...]",
		Short: "Write throwaway certificates for nodes, callers' ports and an operator",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return certs.Write(args[0], args[1:])
		},
	}
}

func newUpCommand() *cobra.Command {
	var name, dir string
	cmd := &cobra.Command{
		Use:   "up",
		Short: "Run a whole deployment on this machine until interrupted",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			plan, err := deploy.NewPlan(name)
			if err != nil {
				return err
			}
			binaries, err := deploy.DefaultBinaries()
			if err != nil {
				return err
			}
			if dir == "" {
				dir = "run/" + name
			}
			d, err := deploy.New(plan, dir)
			if err != nil {
				return err
			}
			return runUntilInterrupted(cmd, d, binaries)
		},
	}
	cmd.Flags().StringVar(&name, "deployment", deploy.Trust, "trust or bindery")
	cmd.Flags().StringVar(&dir, "dir", "", "directory for files, data and logs; emptied first (default run/DEPLOYMENT)")
	return cmd
}

// runUntilInterrupted starts d, prints "ready" and the connection strings, and stops d when the
// command's context ends or the start fails.
func runUntilInterrupted(cmd *cobra.Command, d *deploy.Deployment, b deploy.Binaries) (err error) {
	defer func() {
		if stopErr := d.Stop(); err == nil {
			err = stopErr
		}
	}()
	if err := d.Start(cmd.Context(), b); err != nil {
		return err
	}
	fmt.Fprintln(cmd.OutOrStdout(), "ready")
	for _, url := range d.URLs() {
		fmt.Fprintln(cmd.OutOrStdout(), url)
	}
	<-cmd.Context().Done()
	return nil
}
