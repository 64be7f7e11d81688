package cli

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"crocusyoke/internal/fleet"
)

func (a *app) domainCommand() *cobra.Command {
	cmd := parentCommand("domain", "Evacuate failure domains")
	cmd.AddCommand(a.evacuateCommand())
	return cmd
}

func (a *app) evacuateCommand() *cobra.Command {
	var wait time.Duration
	var undo bool
	cmd := &cobra.Command{
		Use:   "evacuate DOMAIN",
		Short: "Stop sending new work to the targets of a failure domain, and replace its primaries",
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.editConfig(cmd.Context(), wait, func(c *fleet.Config) error {
				return setEvacuated(c, args[0], !undo)
			})
		},
	}
	cmd.Flags().BoolVar(&undo, "undo", false, "take the domain back: its targets get new work again")
	addWaitFlag(cmd, &wait)
	return cmd
}

// setEvacuated evacuates a failure domain, which must have a target, or takes it back.
func setEvacuated(c *fleet.Config, name string, evacuated bool) error {
	if evacuated && !c.HasDomain(name) {
		return fmt.Errorf("there is no target in a failure domain %q", name)
	}
	c.SetEvacuated(name, evacuated)
	return nil
}
