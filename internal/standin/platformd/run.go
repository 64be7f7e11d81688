package platformd

import (
	"context"
	"net"
	"net/http"
	"time"
)

// readHeaderTimeout bounds the time that a client may take to send a request's header.
const readHeaderTimeout = 5 * time.Second

// Run serves the platform on listener until ctx ends, and then closes all connections and
// returns nil.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: s, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}
