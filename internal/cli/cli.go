// Package cli is the command line: it starts a node, and it is what operators use to
// see and to change a fleet. It holds no decisions; those of a change are in package
// change.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"crocusyoke/internal/catalog"
	"crocusyoke/internal/change"
	"crocusyoke/internal/clock"
	"crocusyoke/internal/peer"
	"crocusyoke/internal/platform"
	"crocusyoke/internal/settings"
)

// The exit codes.
const (
	ExitOK          = 0
	ExitError       = 1
	ExitUsage       = 2
	ExitConflict    = 3
	ExitPending     = 4
	ExitUnavailable = 5
)

// Hooks connect the command line to the rest of the program.
type Hooks struct {
	// Serve runs a node until ctx ends.
	Serve func(ctx context.Context, s *settings.Settings) error
	// ServeHosted runs a node with the settings file that the users' platform gives it; nil
	// if that is not built in.
	ServeHosted func(ctx context.Context, file string) error
	// Hosted opens the way to a running fleet on the users' platform with the settings file of
	// one of its VMs; nil if that is not built in.
	Hosted func(file string) (platform.VMs, peer.Caller, error)
	// CheckHosted checks the configuration that the users' operators write; nil if that is not
	// built in.
	CheckHosted func(file string) (*catalog.Configuration, error)
	// Platform opens the platform's services.
	Platform func(o Options) (platform.Platform, error)
	// Peers opens the way to the nodes with the operator's certificate.
	Peers func(o Options) (peer.Caller, error)
	// Clock is the machine's clock, but in tests.
	Clock clock.Clock
	// Getenv reads the environment.
	Getenv func(name string) string
	// Release is what the version command prints.
	Release string
}

// HostedFileVariable names the environment's variable in which the users' platform gives
// the path of its settings file. It is used where --settings names none.
const HostedFileVariable = "CROCUSYOKE_NODE_FILE"

// Main runs one command and returns its exit code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer, hooks Hooks) int {
	root := newRoot(&app{hooks: hooks, stdout: stdout})
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintf(stderr, "error: %v\n", err)
	}
	return exitCode(err)
}

// errUsage marks a command that was not understood.
type errUsage struct{ error }

// errPending is the end of a change that was written but not yet accepted.
var errPending = errors.New("written, but not yet in force at a majority of the nodes")

func exitCode(err error) int {
	var conflict *change.Conflict
	var usage errUsage
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.Is(err, errPending):
		return ExitPending
	case platform.ErrOutage.Has(err), platform.ErrUnknown.Has(err):
		return ExitUnavailable
	default:
		return ExitError
	}
}

// app is what the commands share.
type app struct {
	hooks  Hooks
	stdout io.Writer
	flags  Options
}

func newRoot(a *app) *cobra.Command {
	root := group("crocusyoke", "Database proxy with session consistency")
	root.SilenceErrors = true
	root.SilenceUsage = true
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return errUsage{err} })
	a.addFlags(root.PersistentFlags())
	root.AddCommand(
		a.serveCommand(),
		a.configCommand(),
		a.profileCommand(),
		a.customerCommand(),
		a.keyCommand(),
		a.targetCommand(),
		a.statusCommand(),
		a.auditCommand(),
		a.versionCommand(),
	)
	return root
}

// group returns a command that only holds others.
func group(use, short string) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args: func(cmd *cobra.Command, args []string) error {
			if len(args) > 0 {
				return errUsage{fmt.Errorf("unknown command %q for %q", args[0], cmd.CommandPath())}
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
}

// exactly is cobra.ExactArgs with a usage error.
func exactly(n int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := cobra.ExactArgs(n)(cmd, args); err != nil {
			return errUsage{fmt.Errorf("%w; usage: %s", err, cmd.UseLine())}
		}
		return nil
	}
}

func (a *app) serveCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "serve --settings FILE",
		Short: "Run a node until it is told to stop",
		Args:  exactly(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if hosted := a.hooks.Getenv(HostedFileVariable); !cmd.Flags().Changed("settings") && hosted != "" && a.hooks.ServeHosted != nil {
				return a.hooks.ServeHosted(cmd.Context(), hosted)
			}
			s, err := settings.Load(file)
			if err != nil {
				return err
			}
			if a.hooks.Serve == nil {
				return errors.New("serve is not built in")
			}
			return a.hooks.Serve(cmd.Context(), s)
		},
	}
	cmd.Flags().StringVar(&file, "settings", "node.toml", "the node's TOML settings")
	return cmd
}

func (a *app) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the release",
		Args:  exactly(0),
		RunE: func(*cobra.Command, []string) error {
			return a.print(versionResult{a.hooks.Release})
		},
	}
}

type versionResult struct {
	Release string `json:"release"`
}

func (r versionResult) writeTable(w io.Writer) {
	fmt.Fprintf(w, "crocusyoke %s\n", r.Release)
}
