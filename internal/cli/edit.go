package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"crocusyoke/internal/fleet"
)

// editConfig changes the newest configuration with edit, waits at most wait until the new
// version is accepted and prints the result.
func (a *app) editConfig(ctx context.Context, wait time.Duration, edit func(*fleet.Config) error) error {
	return a.editConfigWithKey(ctx, wait, edit, nil)
}

// editConfigWithKey is editConfig for a change that adds a key, which it prints after the
// change is written.
func (a *app) editConfigWithKey(ctx context.Context, wait time.Duration, edit func(*fleet.Config) error, key *createdKey) error {
	w, err := a.newWriter(wait)
	if err != nil {
		return err
	}
	written, err := w.Edit(ctx, edit)
	if err != nil {
		return err
	}
	result := newChangeResult(written)
	result.Key = key
	return a.awaitAndPrint(ctx, w, result, wait)
}

func (a *app) profileCommand() *cobra.Command {
	cmd := parentCommand("profile", "List and set profiles")
	cmd.AddCommand(a.listCommand("list", "List the profiles", func(c *fleet.Config) printable {
		return profileList{c.Profiles}
	}), a.profileSetCommand())
	return cmd
}

// listCommand returns a command that prints the part of the newest configuration that
// selectPart returns. Secrets are redacted first.
func (a *app) listCommand(use, short string, selectPart func(*fleet.Config) printable) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			state, err := a.readState(cmd.Context(), 0)
			if err != nil {
				return err
			}
			state.Config.Redact()
			return a.print(selectPart(state.Config))
		},
	}
}

type profileList struct {
	Profiles []fleet.Profile `json:"profiles"`
}

func (l profileList) writeTable(w io.Writer) {
	fmt.Fprintln(w, "PROFILE\tREADS\tMAX AGE\tREPLICA WAIT\tCONFIRM\tRETRY BUDGET\tTIMEOUT\tPRIORITY\tOBJECTIVE")
	for _, p := range l.Profiles {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%g\t%s\t%d\t%s\n", p.Name, p.Reads, p.MaxAge.Std(),
			p.ReplicaWait.Std(), p.Confirm, p.RetryBudget, p.Timeout.Std(), p.Priority, p.Objective.Std())
	}
}

func (a *app) profileSetCommand() *cobra.Command {
	var wait time.Duration
	var flagValues fleet.Profile
	var maxAge, replicaWait, timeout, objective time.Duration
	cmd := &cobra.Command{
		Use:   "set NAME",
		Short: "Change or add a profile; flags not given keep the value, or in a new profile the default",
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			flagValues.Name = args[0]
			flagValues.MaxAge = fleet.Duration(maxAge)
			flagValues.ReplicaWait = fleet.Duration(replicaWait)
			flagValues.Timeout = fleet.Duration(timeout)
			flagValues.Objective = fleet.Duration(objective)
			return a.editConfig(cmd.Context(), wait, func(c *fleet.Config) error {
				setProfile(c, flagValues, cmd.Flags().Changed)
				return nil
			})
		},
	}
	flags := cmd.Flags()
	flags.StringVar((*string)(&flagValues.Reads), "reads", "", "primary, session or age")
	flags.DurationVar(&maxAge, "max-age", 0, "maximum age of the data, with --reads age")
	flags.DurationVar(&replicaWait, "replica-wait", 0, "how long a read waits for a replica that has almost caught up")
	flags.StringVar((*string)(&flagValues.Confirm), "confirm", "", "term or majority")
	flags.Float64Var(&flagValues.RetryBudget, "retry-budget", 0, "share of recent requests that may be retried")
	flags.DurationVar(&timeout, "timeout", 0, "bound of a request")
	flags.IntVar(&flagValues.Priority, "priority", 0, "order among requests that compete for room, 0 first")
	flags.DurationVar(&objective, "objective", 0, "time within which an operation should be answered, at most the timeout")
	addWaitFlag(cmd, &wait)
	return cmd
}

func setProfile(c *fleet.Config, flagValues fleet.Profile, isGiven func(flag string) bool) {
	p := c.Profile(flagValues.Name)
	if p == nil {
		c.Profiles = append(c.Profiles, fleet.DefaultProfile(flagValues.Name))
		p = &c.Profiles[len(c.Profiles)-1]
	}
	setIfGiven(isGiven("reads"), &p.Reads, flagValues.Reads)
	setIfGiven(isGiven("max-age"), &p.MaxAge, flagValues.MaxAge)
	setIfGiven(isGiven("replica-wait"), &p.ReplicaWait, flagValues.ReplicaWait)
	setIfGiven(isGiven("confirm"), &p.Confirm, flagValues.Confirm)
	setIfGiven(isGiven("retry-budget"), &p.RetryBudget, flagValues.RetryBudget)
	setIfGiven(isGiven("timeout"), &p.Timeout, flagValues.Timeout)
	setIfGiven(isGiven("priority"), &p.Priority, flagValues.Priority)
	setIfGiven(isGiven("objective"), &p.Objective, flagValues.Objective)
}

// setIfGiven sets a field if its flag was given.
func setIfGiven[T any](given bool, field *T, value T) {
	if given {
		*field = value
	}
}

func (a *app) customerCommand() *cobra.Command {
	cmd := parentCommand("customer", "List and set customers")
	cmd.AddCommand(a.listCommand("list", "List the customers", func(c *fleet.Config) printable {
		return customerList{c.Customers}
	}), a.customerSetCommand())
	return cmd
}

type customerList struct {
	Customers []fleet.Customer `json:"customers"`
}

func (l customerList) writeTable(w io.Writer) {
	fmt.Fprintln(w, "CUSTOMER\tRATE/S\tBURST\tWEIGHT\tPRIORITY\tKEYS")
	for _, c := range l.Customers {
		fmt.Fprintf(w, "%s\t%g\t%g\t%d\t%d\t%d\n", c.Name, c.Rate, c.Burst, c.Weight, c.Priority, len(c.Keys))
	}
}

func (a *app) customerSetCommand() *cobra.Command {
	var wait time.Duration
	var flagValues fleet.Customer
	cmd := &cobra.Command{
		Use:   "set NAME",
		Short: "Change or add a customer; flags not given keep the value; a new customer needs --rate and --burst",
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			flagValues.Name = args[0]
			return a.editConfig(cmd.Context(), wait, func(c *fleet.Config) error {
				setCustomer(c, flagValues, cmd.Flags().Changed)
				return nil
			})
		},
	}
	flags := cmd.Flags()
	flags.Float64Var(&flagValues.Rate, "rate", 0, "requests per second, fleet-wide")
	flags.Float64Var(&flagValues.Burst, "burst", 0, "requests that may exceed the rate at once, fleet-wide")
	flags.IntVar(&flagValues.Weight, "weight", fleet.DefaultWeight, "share of a contended target")
	flags.IntVar(&flagValues.Priority, "priority", 0, "order among requests of profiles with equal priority, 0 first")
	addWaitFlag(cmd, &wait)
	return cmd
}

func setCustomer(c *fleet.Config, flagValues fleet.Customer, isGiven func(flag string) bool) {
	customer := c.Customer(flagValues.Name)
	if customer == nil {
		c.Customers = append(c.Customers, flagValues)
		return
	}
	setIfGiven(isGiven("rate"), &customer.Rate, flagValues.Rate)
	setIfGiven(isGiven("burst"), &customer.Burst, flagValues.Burst)
	setIfGiven(isGiven("weight"), &customer.Weight, flagValues.Weight)
	setIfGiven(isGiven("priority"), &customer.Priority, flagValues.Priority)
}
