package cli

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"crocusyoke/internal/fleet"
)

func (a *app) targetCommand() *cobra.Command {
	cmd := parentCommand("target", "List targets and drain them")
	cmd.AddCommand(
		a.listCommand("list", "List the targets", func(c *fleet.Config) printable { return newTargetList(c) }),
		a.setLeavingCommand("drain", "Stop sending new work to a target, and replace it if it is a primary", true),
		a.setLeavingCommand("undrain", "Send work to a drained target again", false),
	)
	return cmd
}

func (a *app) setLeavingCommand(use, short string, leaving bool) *cobra.Command {
	var wait time.Duration
	cmd := &cobra.Command{
		Use:   use + " TARGET",
		Short: short,
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.editConfig(cmd.Context(), wait, func(c *fleet.Config) error {
				return setLeaving(c, args[0], leaving)
			})
		},
	}
	addWaitFlag(cmd, &wait)
	return cmd
}

func setLeaving(c *fleet.Config, name string, leaving bool) error {
	for i := range c.Groups {
		for j := range c.Groups[i].Targets {
			t := &c.Groups[i].Targets[j]
			if t.Name == name {
				t.Leaving = leaving
				return nil
			}
		}
	}
	return fmt.Errorf("there is no target %q", name)
}

type targetList struct {
	Targets []targetEntry `json:"targets"`
}

type targetEntry struct {
	Group string `json:"group"`
	fleet.Target
}

func newTargetList(c *fleet.Config) targetList {
	list := targetList{Targets: []targetEntry{}}
	for _, g := range c.Groups {
		for _, t := range g.Targets {
			list.Targets = append(list.Targets, targetEntry{g.Name, t})
		}
	}
	return list
}

func (l targetList) writeTable(w io.Writer) {
	fmt.Fprintln(w, "GROUP\tTARGET\tADDRESS\tDOMAIN\tSLOTS\tCONNECTIONS\tLEAVING")
	for _, t := range l.Targets {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%t\n", t.Group, t.Name, t.Address, t.Domain, t.Slots, t.Connections, t.Leaving)
	}
}
