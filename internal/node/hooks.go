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

// Serve runs a node with logs on standard error; it is the serve command.
func Serve(ctx context.Context, s *settings.Settings) error {
	logger := log.With(NewLogger(os.Stderr), "ts", log.DefaultTimestampUTC, "node", s.Node.Name)
	return Run(ctx, s, logger)
}

// NewLogger returns the logger of a node.
func NewLogger(w io.Writer) log.Logger {
	// Small receive buffers cost throughput only; the log is for changes of state.
	_ = os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true")
	return log.NewLogfmtLogger(log.NewSyncWriter(w))
}

// OpenPlatform opens the platform's services for an operator's command.
func OpenPlatform(o cli.Options) (platform.Platform, error) {
	return httpclient.New(o.Platform, nil), nil
}

// OpenPeers opens the way to the nodes with the operator's certificate.
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
