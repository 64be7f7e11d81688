package node

import (
	"context"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log"

	"crocusyoke/internal/cli"
	"crocusyoke/internal/clock"
	"crocusyoke/internal/logqueue"
	"crocusyoke/internal/peer"
	"crocusyoke/internal/peer/quicpeer"
	"crocusyoke/internal/platform"
	"crocusyoke/internal/platform/httpclient"
	"crocusyoke/internal/settings"
)

// Serve implements the serve command: it runs a node that logs to standard error.
func Serve(ctx context.Context, s *settings.Settings) error {
	logger, flush := NewLogger(os.Stderr)
	defer flush()
	return Run(ctx, s, log.With(logger, "ts", log.DefaultTimestampUTC, "node", s.Node.Name))
}

// flushTimeout is how long a process waits at its end for its last log lines to be written.
const flushTimeout = 100 * time.Millisecond

// NewLogger returns a logger for a node that writes logfmt lines to w. No line waits for w, and a
// reader of w that has gone does not end the process. flush writes what is queued, as far as w takes
// it.
func NewLogger(w io.Writer) (logger log.Logger, flush func()) {
	signal.Ignore(syscall.SIGPIPE)
	// quic-go would log a warning about small receive buffers. They only cost throughput, and
	// the node's log is for state changes.
	_ = os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true")
	queue := logqueue.New(w)
	return log.NewLogfmtLogger(queue), func() { queue.Close(flushTimeout) }
}

// OpenPlatform returns a client of the platform's services for an operator's command.
func OpenPlatform(o cli.Options) (platform.Platform, error) {
	return httpclient.New(o.Platform, nil), nil
}

// OpenPeers returns a client that calls nodes with the operator's certificate.
func OpenPeers(o cli.Options) (peer.Caller, error) {
	config, err := quicpeer.LoadTLS(o.Certificate, o.Key, o.Authority)
	if err != nil {
		return nil, err
	}
	packets, err := net.ListenPacket("udp", ":0")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return quicpeer.NewClient(config, packets, clock.Wall{}, nil), nil
}
