// Command crocusyoke is the database proxy and its operators' command line.
//
//	crocusyoke serve --settings node.toml  run a node until SIGTERM
//	crocusyoke help                        the operators' commands; docs/operators/cli.md
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"crocusyoke/internal/cli"
	"crocusyoke/internal/clock"
	"crocusyoke/internal/node"
	"crocusyoke/platform"
)

// release is set by the build.
var release = "devel"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	hooks := cli.Hooks{
		Serve: node.Serve,
		ServeHosted: func(ctx context.Context, file string) error {
			return platform.Serve(ctx, file, node.NewLogger(os.Stdout))
		},
		Hosted:      platform.OpenFleet,
		CheckHosted: platform.CheckConfiguration,
		Platform:    node.OpenPlatform,
		Peers:       node.OpenPeers,
		Clock:       clock.Wall{},
		Getenv:      os.Getenv,
		Release:     release,
	}
	os.Exit(cli.Main(ctx, os.Args[1:], os.Stdout, os.Stderr, hooks))
}
