package node

import (
	"context"
	"io"
	"net"
	"os"

	"github.com/go-kit/log"

	"crocusyoke/internal/cli"
	"crocusyoke/internal/clock"
	"crocusyoke/internal/peer"
	"crocusyoke/internal/peer/quicpeer"
	"crocusyoke/internal/platform"
	"crocusyoke/internal/platform/httpclient"
	"crocusyoke/internal/settings"
)

// Serve implements the serve command: it runs a node that logs to standard error.
func Serve(ctx context.Context, s *settings.Settings) error {
	logger := log.With(NewLogger(os.Stderr), "ts", log.DefaultTimestampUTC, "node", s.Node.Name)
	return Run(ctx, s, logger)
}

// NewLogger returns a logger for a node that writes logfmt lines to w.
func NewLogger(w io.Writer) log.Logger {
	// quic-go would log a warning about small receive buffers. They only cost throughput, and
	// the node's log is for state changes.
	_ = os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true")
	return log.NewLogfmtLogger(log.NewSyncWriter(w))
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
