// Command crocusyoke runs a node of the database proxy and is the operators' command line.
//
//	crocusyoke serve --settings node.toml  run a node until SIGTERM
//	crocusyoke help                        list the commands; see docs/operators/cli.md
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

// release is the program's version. A build can set it with -ldflags "-X main.release=VERSION".
var release = "devel"

func main() {
	// A node reads its settings again at SIGHUP, once it runs. Until then it reads them anyway.
	signal.Ignore(syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	hooks := cli.Hooks{
		Serve: node.Serve,
		ServeHosted: func(ctx context.Context, file string) error {
			logger, flush := node.NewLogger(os.Stdout)
			defer flush()
			return platform.Serve(ctx, file, logger)
		},
		OpenHosted:        platform.OpenFleet,
		CheckHostedConfig: platform.CheckConfiguration,
		PlatformClient:    node.OpenPlatform,
		PeerClient:        node.OpenPeers,
		Clock:             clock.Wall{},
		Getenv:            os.Getenv,
		Release:           release,
	}
	os.Exit(cli.Main(ctx, os.Args[1:], os.Stdout, os.Stderr, hooks))
}
