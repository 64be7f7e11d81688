package main

import (
	"net"
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/spf13/cobra"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/standin/platformd"
	"crocusyoke/internal/standin/targetd"
)

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "standin",
		Short:         "Stand-ins for the platform and for database targets",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newPlatformCommand(), newTargetCommand(), newCertsCommand(), newUpCommand(), newRunCommand(), newSoakCommand(), newCostCommand())
	return root
}

func newPlatformCommand() *cobra.Command {
	var address string
	var vmLag time.Duration
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run the platform stand-in",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			listener, err := net.Listen("tcp", address)
			if err != nil {
				return err
			}
			server := platformd.New(clock.Wall{})
			server.SetFaults(platformd.Faults{VMLag: fleet.Duration(vmLag)})
			return server.Run(cmd.Context(), listener)
		},
	}
	cmd.Flags().StringVar(&address, "address", "127.0.0.1:0", "IP:port to listen on")
	cmd.Flags().DurationVar(&vmLag, "vm-lag", platformd.DefaultVMLag, "how far the VM list lags")
	return cmd
}

func newTargetCommand() *cobra.Command {
	var address, adminAddress string
	var o targetd.Options
	cmd := &cobra.Command{
		Use:   "target",
		Short: "Run one target stand-in",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			logger := log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))
			o.Logger = log.With(logger, "ts", log.DefaultTimestampUTC, "target", o.Name)
			listener, err := net.Listen("tcp", address)
			if err != nil {
				return err
			}
			adminListener, err := net.Listen("tcp", adminAddress)
			if err != nil {
				return err
			}
			target, err := targetd.New(o)
			if err != nil {
				return err
			}
			return target.Run(cmd.Context(), listener, adminListener)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&address, "address", "127.0.0.1:0", "IP:port to listen on for the PostgreSQL protocol")
	flags.StringVar(&adminAddress, "admin", "127.0.0.1:0", "IP:port to listen on for admin requests")
	flags.StringVar(&o.Name, "name", "target", "the target's name")
	flags.StringVar(&o.Directory, "dir", "", "directory of the data, the log and the term; required")
	flags.StringVar(&o.Follow, "follow", "", "address of the initial primary; empty if this target is the initial primary; ignored if --dir has data")
	flags.StringVar(&o.Wire.User, "user", "system", "the only user that may log in")
	flags.StringVar(&o.Wire.Password, "password", "system", "its password")
	flags.IntVar(&o.Wire.Slots, "slots", targetd.DefaultSlots, "statements at once")
	flags.IntVar(&o.Wire.Connections, "connections", targetd.DefaultConnections, "connections at once")
	flags.DurationVar(&o.Wire.AcceptDelay, "accept-delay", targetd.DefaultAcceptDelay, "time that opening a connection takes")
	flags.BoolVar(&o.Wire.Echo, "echo", false, "answer every statement from memory")
	flags.DurationVar(&o.Faults.ServiceTime, "service-time", 0, "time added to every statement")
	flags.DurationVar(&o.Faults.ReplicationLag, "lag", 0, "replication lag")
	_ = cmd.MarkFlagRequired("dir")
	return cmd
}
