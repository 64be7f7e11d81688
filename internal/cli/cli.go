// Package cli is the command line of crocusyoke: it starts nodes, and operators use it to
// inspect and change a fleet. It only parses options and prints results. How a change of the
// configuration is written, and when it counts as accepted, is decided in package change.
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

// Exit codes of Main. ExitConflict means that another change was written first and this
// one was not written, ExitPending that the change was written but not accepted in time, and
// ExitUnavailable that the platform had an outage or that the outcome of a write is unknown.
const (
	ExitOK          = 0
	ExitError       = 1
	ExitUsage       = 2
	ExitConflict    = 3
	ExitPending     = 4
	ExitUnavailable = 5
)

// Hooks are the functions and values that the main program supplies to the command line.
// A hosted fleet is one on the users' platform (see crocusyoke/platform), which gives each
// node a settings file of its own format.
type Hooks struct {
	// Serve runs a node until ctx ends.
	Serve func(ctx context.Context, s *settings.Settings) error
	// ServeHosted runs a node of a hosted fleet with the settings file that it was given, until
	// ctx ends; nil if the build does not support the users' platform.
	ServeHosted func(ctx context.Context, file string) error
	// OpenHosted returns the VM list of a running hosted fleet and a client for calls to its
	// nodes. file is the settings file of one of its VMs. OpenHosted is nil if the build does
	// not support the users' platform.
	OpenHosted func(file string) (platform.VMs, peer.Caller, error)
	// CheckHostedConfig checks the configuration document that operators of the users' platform
	// write; nil if the build does not support that platform.
	CheckHostedConfig func(file string) (*catalog.Configuration, error)
	// PlatformClient returns a client for the platform's services.
	PlatformClient func(o Options) (platform.Platform, error)
	// PeerClient returns a client for calls to the nodes, with the operator's certificate.
	PeerClient func(o Options) (peer.Caller, error)
	// Clock is the system clock; tests use a simulated one.
	Clock clock.Clock
	// Getenv returns the value of an environment variable; empty if it is not set.
	Getenv func(name string) string
	// Release is what the version command prints.
	Release string
}

// HostedSettingsEnvVar is the environment variable in which the users' platform passes the
// path of a node's settings file. The serve command uses it if --settings is not given, the
// status command if --hosted is not given.
const HostedSettingsEnvVar = "CROCUSYOKE_NODE_FILE"

// Main runs one command and returns its exit code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer, hooks Hooks) int {
	root := newRootCommand(&app{hooks: hooks, stdout: stdout})
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintf(stderr, "error: %v\n", err)
	}
	return exitCode(err)
}

// usageError is an error in the command line or in the options; Main returns ExitUsage for it.
type usageError struct{ error }

// errPending is returned for a change that was written but was not accepted in time. A change is
// accepted once it is in force at a majority of the nodes.
var errPending = errors.New("written, but not yet in force at a majority of the nodes")

func exitCode(err error) int {
	var conflict *change.ConflictError
	var usage usageError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.Is(err, errPending):
		return ExitPending
	case platform.ErrOutage.Has(err), platform.ErrOutcomeUnknown.Has(err):
		return ExitUnavailable
	default:
		return ExitError
	}
}

// app holds the state that all commands share. flags holds the values given as flags only;
// the options method merges them with the other sources.
type app struct {
	hooks  Hooks
	stdout io.Writer
	flags  Options
}

func newRootCommand(a *app) *cobra.Command {
	root := parentCommand("crocusyoke", "Database proxy with session consistency")
	root.SilenceErrors = true
	root.SilenceUsage = true
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	a.addFlags(root.PersistentFlags())
	root.AddCommand(
		a.serveCommand(),
		a.configCommand(),
		a.profileCommand(),
		a.customerCommand(),
		a.keyCommand(),
		a.targetCommand(),
		a.domainCommand(),
		a.statusCommand(),
		a.auditCommand(),
		a.versionCommand(),
	)
	return root
}

// parentCommand returns a command that only groups subcommands. Without arguments it prints
// its help.
func parentCommand(use, short string) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args: func(cmd *cobra.Command, args []string) error {
			if len(args) > 0 {
				return usageError{fmt.Errorf("unknown command %q for %q", args[0], cmd.CommandPath())}
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
}

// exactArgs is cobra.ExactArgs, but fails with a usageError.
func exactArgs(n int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := cobra.ExactArgs(n)(cmd, args); err != nil {
			return usageError{fmt.Errorf("%w; usage: %s", err, cmd.UseLine())}
		}
		return nil
	}
}

func (a *app) serveCommand() *cobra.Command {
	var settingsFile string
	cmd := &cobra.Command{
		Use:   "serve --settings FILE",
		Short: "Run a node until SIGTERM or an interrupt",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if hostedFile := a.hooks.Getenv(HostedSettingsEnvVar); !cmd.Flags().Changed("settings") && hostedFile != "" && a.hooks.ServeHosted != nil {
				return a.hooks.ServeHosted(cmd.Context(), hostedFile)
			}
			s, err := settings.Load(settingsFile)
			if err != nil {
				return err
			}
			if a.hooks.Serve == nil {
				return errors.New("this build does not support the serve command")
			}
			return a.hooks.Serve(cmd.Context(), s)
		},
	}
	cmd.Flags().StringVar(&settingsFile, "settings", "node.toml", "the node's settings file, TOML")
	return cmd
}

func (a *app) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the release",
		Args:  exactArgs(0),
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
