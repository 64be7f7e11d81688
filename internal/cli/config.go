package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"crocusyoke/internal/audit"
	"crocusyoke/internal/change"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/run/promotion"
	"crocusyoke/internal/status"
)

// Flag defaults.
const (
	// DefaultAcceptTimeout is how long a command waits until its change is accepted.
	DefaultAcceptTimeout = 10 * time.Second
	// DefaultHistoryEntries is the maximum number of audit entries listed.
	DefaultHistoryEntries = 20
)

func (a *app) configCommand() *cobra.Command {
	cmd := parentCommand("config", "Check, apply and show the live configuration")
	cmd.AddCommand(a.checkCommand(), a.applyCommand(), a.showCommand(), a.historyCommand())
	return cmd
}

func (a *app) checkCommand() *cobra.Command {
	var hosted bool
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a configuration file without sending it",
		Long: "Check a configuration file by itself, without sending it. Keys without a hash, as config show\n" +
			"writes them, are valid: apply takes the hash from the configuration in force. With --hosted, the\n" +
			"file is the configuration document that operators of the users' platform write.",
		Args: exactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if hosted {
				return a.checkHostedConfig(args[0])
			}
			body, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			config, err := fleet.ParseDraft(body, args[0], fillSecretsForCheck)
			if err != nil {
				return err
			}
			return a.print(checkResult{
				Profiles:  len(config.Profiles),
				Customers: len(config.Customers),
				Services:  len(config.Services),
				Groups:    len(config.Groups),
			})
		},
	}
	cmd.Flags().BoolVar(&hosted, "hosted", false, "the file is a configuration document of the users' platform")
	return cmd
}

func (a *app) checkHostedConfig(file string) error {
	if a.hooks.CheckHostedConfig == nil {
		return errors.New("this build does not support the users' platform")
	}
	config, err := a.hooks.CheckHostedConfig(file)
	if err != nil {
		return err
	}
	return a.print(checkResult{
		Profiles:  len(config.Profiles),
		Customers: len(config.Customers),
		Services:  len(config.Services),
		Groups:    len(config.Groups),
	})
}

// fillSecretsForCheck fills in random values for missing secrets, so that validation passes.
// The apply command takes them from the configuration in force instead.
func fillSecretsForCheck(c *fleet.Config) {
	c.RestoreSecrets(nil)
	for i := range c.Customers {
		for j := range c.Customers[i].Keys {
			key := &c.Customers[i].Keys[j]
			if key.Hash == "" {
				key.Hash = fleet.HashKey(fleet.NewKey())
			}
		}
	}
}

type checkResult struct {
	Profiles  int `json:"profiles"`
	Customers int `json:"customers"`
	Services  int `json:"services"`
	Groups    int `json:"groups"`
}

func (r checkResult) writeTable(w io.Writer) {
	fmt.Fprintf(w, "valid: %d profiles, %d customers, %d services, %d groups\n",
		r.Profiles, r.Customers, r.Services, r.Groups)
}

func (a *app) applyCommand() *cobra.Command {
	var from int64
	var wait time.Duration
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Apply a configuration file",
		Long: "Replace the version of the configuration that the file is based on: the one given by --from, or by the\n" +
			"line \"# version: N\" that config show writes. If it is no longer the newest, nothing is written.",
		Args: exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			body, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			w, err := a.newWriter(wait)
			if err != nil {
				return err
			}
			result, err := applyFile(cmd.Context(), w, body, args[0], from)
			if err != nil {
				return err
			}
			return a.awaitAndPrint(cmd.Context(), w, newChangeResult(result), wait)
		},
	}
	cmd.Flags().Int64Var(&from, "from", -1, "version that the file is based on; 0 if there is no configuration yet; -1 to read it from the file")
	addWaitFlag(cmd, &wait)
	return cmd
}

func addWaitFlag(cmd *cobra.Command, wait *time.Duration) {
	cmd.Flags().DurationVar(wait, "wait", DefaultAcceptTimeout, "how long to wait until the version is in force at a majority of the nodes; 0 to return at once")
}

func applyFile(ctx context.Context, w *change.Writer, body []byte, file string, from int64) (change.Result, error) {
	state, err := change.Read(ctx, w.Platform, w.Deployment)
	if err != nil {
		return change.Result{}, err
	}
	config, err := fleet.ParseDraft(body, file, func(c *fleet.Config) { c.RestoreSecrets(state.Config) })
	if err != nil {
		return change.Result{}, err
	}
	base, err := baseVersion(body, from)
	if err != nil && state.Version > 0 {
		return change.Result{}, fmt.Errorf("%w; the version in force is %d", err, state.Version)
	}
	return w.Apply(ctx, base, config)
}

var versionLineRE = regexp.MustCompile(`(?m)^# version: (\d+)$`)

// baseVersion returns the version that a file is based on: from, or if that is negative, the
// one in the file's version line. It fails with a usageError if there is neither.
func baseVersion(body []byte, from int64) (uint64, error) {
	if from >= 0 {
		return uint64(from), nil
	}
	match := versionLineRE.FindSubmatch(body)
	if match == nil {
		return 0, usageError{errors.New("the file has no line \"# version: N\" with the version it is based on: give --from")}
	}
	return strconv.ParseUint(string(match[1]), 10, 64)
}

// awaitAndPrint waits at most wait until a change is accepted, prints the result and returns
// errPending if the change was not accepted in time. If wait is not positive, it prints at once.
func (a *app) awaitAndPrint(ctx context.Context, w *change.Writer, result changeResult, wait time.Duration) error {
	if wait <= 0 {
		return a.print(result)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	acceptance, err := w.Await(ctx, result.Version)
	result.Acceptance = &acceptance
	result.State = "pending"
	if acceptance.Accepted {
		result.State = "accepted"
	}
	if printErr := a.print(result); printErr != nil {
		return printErr
	}
	if err != nil || !acceptance.Accepted {
		return errors.Join(errPending, err)
	}
	return nil
}

type changeResult struct {
	Version   uint64 `json:"version"`
	Unchanged bool   `json:"unchanged,omitempty"`
	// State is "written" if the command did not wait, "pending" if the version was not accepted
	// in time, or "accepted".
	State      string             `json:"state"`
	Acceptance *change.Acceptance `json:"acceptance,omitempty"`
	Changes    []string           `json:"changes,omitempty"`
	// Key is the key that the change added, if it added one.
	Key *createdKey `json:"key,omitempty"`
}

func newChangeResult(written change.Result) changeResult {
	result := changeResult{Version: written.Version, Unchanged: written.Unchanged, State: "written"}
	for _, c := range written.Changes {
		result.Changes = append(result.Changes, c.String())
	}
	return result
}

func (r changeResult) writeTable(w io.Writer) {
	if r.Key != nil {
		fmt.Fprintf(w, "key %s/%s: %s\n", r.Key.Customer, r.Key.ID, r.Key.Key)
	}
	for _, c := range r.Changes {
		fmt.Fprintln(w, c)
	}
	if r.Unchanged {
		fmt.Fprintln(w, "nothing to change")
	}
	fmt.Fprintf(w, "version %d %s", r.Version, r.State)
	if r.Acceptance != nil {
		fmt.Fprintf(w, ": in force at %d of %d nodes", r.Acceptance.InForce, r.Acceptance.Listed)
		if len(r.Acceptance.Behind) > 0 {
			fmt.Fprintf(w, ", not at %s", strings.Join(r.Acceptance.Behind, ", "))
		}
	}
	fmt.Fprintln(w)
}

func (a *app) showCommand() *cobra.Command {
	var version uint64
	cmd := &cobra.Command{
		Use:   "show",
		Short: "Print the newest configuration as TOML, without secrets",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			state, err := a.readState(cmd.Context(), version)
			if err != nil {
				return err
			}
			state.Config.Redact()
			return a.print(showResult{state.Config})
		},
	}
	cmd.Flags().Uint64Var(&version, "version", 0, "print this earlier version; 0 for the newest")
	return cmd
}

// readState reads a version of the configuration; 0 means the newest.
func (a *app) readState(ctx context.Context, version uint64) (change.State, error) {
	store, o, err := a.openPlatform()
	if err != nil {
		return change.State{}, err
	}
	if version > 0 {
		return change.ReadVersion(ctx, store, o.Deployment, version)
	}
	state, err := change.Read(ctx, store, o.Deployment)
	if err == nil && state.Config == nil {
		err = fmt.Errorf("deployment %q has no configuration yet", o.Deployment)
	}
	return state, err
}

type showResult struct{ *fleet.Config }

func (r showResult) writeTable(w io.Writer) {
	body, err := fleet.Encode(r.Config)
	if err != nil {
		fmt.Fprintf(w, "# %v\n", err)
		return
	}
	fmt.Fprintf(w, "# version: %d\n%s", r.Version, body)
}

func (a *app) historyCommand() *cobra.Command {
	var limit int
	cmd := &cobra.Command{
		Use:   "history",
		Short: "List the versions of the configuration, newest first",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			entries, err := a.history(cmd.Context(), limit)
			if err != nil {
				return err
			}
			return a.print(historyResult{entries})
		},
	}
	cmd.Flags().IntVar(&limit, "limit", DefaultHistoryEntries, "maximum number of versions to list")
	return cmd
}

func (a *app) history(ctx context.Context, limit int) ([]audit.Entry, error) {
	store, o, err := a.openPlatform()
	if err != nil {
		return nil, err
	}
	return change.History(ctx, store, o.Deployment, limit)
}

type historyResult struct {
	Entries []audit.Entry `json:"entries"`
}

func (r historyResult) writeTable(w io.Writer) {
	fmt.Fprintln(w, "VERSION\tFROM\tWHEN\tWHO\tCHANGES")
	for _, e := range r.Entries {
		fmt.Fprintf(w, "%d\t%d\t%s\t%s\t%s\n", e.ToVersion, e.FromVersion,
			e.When.Format(time.RFC3339), status.Name(e.Who), status.Text(summarizeChanges(e.Changes)))
	}
}

// summarizeChanges returns the first change and the number of the others, for one table row.
func summarizeChanges(changes []fleet.Change) string {
	if len(changes) == 0 {
		return "none"
	}
	if len(changes) == 1 {
		return changes[0].String()
	}
	return fmt.Sprintf("%s (and %d more)", changes[0], len(changes)-1)
}

func (a *app) auditCommand() *cobra.Command {
	var limit int
	var group string
	cmd := &cobra.Command{
		Use:   "audit",
		Short: "Show who changed what, when, and from which version",
		Long: "Show who changed what in the configuration, when, and from which version.\n" +
			"With --group, show who ordered which promotion in a group, and why.",
		Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			entries, err := a.auditTrail(cmd.Context(), group, limit)
			if err != nil {
				return err
			}
			return a.print(auditResult{entries})
		},
	}
	cmd.Flags().IntVar(&limit, "limit", DefaultHistoryEntries, "maximum number of entries to show")
	cmd.Flags().StringVar(&group, "group", "", "show this group's promotions")
	return cmd
}

// auditTrail returns the audit trail of a group or, if group is empty, of the configuration.
func (a *app) auditTrail(ctx context.Context, group string, limit int) ([]audit.Entry, error) {
	if group == "" {
		return a.history(ctx, limit)
	}
	store, o, err := a.openPlatform()
	if err != nil {
		return nil, err
	}
	return promotion.History(ctx, store, o.Deployment, group, limit)
}

type auditResult struct {
	Entries []audit.Entry `json:"entries"`
}

func (r auditResult) writeTable(w io.Writer) {
	for _, e := range r.Entries {
		fmt.Fprintf(w, "%s  %s  version %d -> %d\n", e.When.Format(time.RFC3339), status.Name(e.Who), e.FromVersion, e.ToVersion)
		for _, c := range e.Changes {
			fmt.Fprintf(w, "    %s\n", status.Text(c.String()))
		}
	}
}
