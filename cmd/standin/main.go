// Command standin runs stand-ins for the platform and for database targets, and experiments
// that put a deployment of real nodes under load. It is a development tool and is not shipped.
//
//	standin up --deployment trust          run a whole deployment until interrupted
//	standin run plans/demo.toml            run an experiment, check its rules and bounds, report to out/
//	standin soak --seed 1                  play faults drawn from a seed against hosted nodes, and judge
//	standin platform, standin target       run one stand-in process
//	standin certs DIRECTORY                write throwaway certificates
//	standin cost                           measure the control overhead of a node
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"crocusyoke/internal/standin/soak"
)

const (
	exitFailed = 1
	// exitNotPlayed means that a soak could not be played.
	exitNotPlayed = 2
)

func exitCode(err error) int {
	if soak.Error.Has(err) {
		return exitNotPlayed
	}
	return exitFailed
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newRootCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(exitCode(err))
	}
}
