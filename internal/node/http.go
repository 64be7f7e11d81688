package node

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"time"

	"crocusyoke/internal/admission"
	"crocusyoke/internal/run/gate"
)

// acceptRetryDelay is the pause after an accept error, such as a lack of memory, which an immediate
// retry would only repeat.
const acceptRetryDelay = 100 * time.Millisecond

// Limits of the ports that serve HTTP to operators and to the platform.
const (
	// maxHTTPConnections bounds the connections to a port.
	maxHTTPConnections = 64
	// httpReadTimeout bounds the reading of a request, httpIdleTimeout the wait for the next one.
	httpReadTimeout = 5 * time.Second
	httpIdleTimeout = 60 * time.Second
	// httpWriteTimeout bounds a whole answer, which for a profile takes as long as that.
	httpWriteTimeout = 2 * time.Minute
	// maxHTTPHeader bounds the header of a request in bytes.
	maxHTTPHeader = 16 << 10
)

// serveHTTP serves handler on listener until ctx ends. No accept error ends it, because the error of one
// task ends all sessions. port is the port's name in log lines and counters.
func (n *Node) serveHTTP(ctx context.Context, port string, listener net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: httpReadTimeout, ReadTimeout: httpReadTimeout, WriteTimeout: httpWriteTimeout,
		IdleTimeout: httpIdleTimeout, MaxHeaderBytes: maxHTTPHeader,
	}
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	entrance := gate.New(port, admission.Limits{Connections: maxHTTPConnections}, n.clock, n.logger)
	httpGates.Set(port, entrance.Vars())
	err := server.Serve(&gate.Listener{Listener: &retryingListener{listener, n, ctx}, Gate: entrance})
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return Error.Wrap(err)
}

// httpGates holds the counters of the ports that serve HTTP, by their names.
var httpGates = new(expvar.Map)

// retryingListener is a listener whose Accept fails only once it is closed or ctx has ended.
type retryingListener struct {
	net.Listener
	node *Node
	ctx  context.Context
}

// Accept implements net.Listener.
func (l *retryingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		_ = l.node.logger.Log("event", "accept failed", "address", l.Addr(), "err", err)
		if l.node.clock.Sleep(l.ctx, acceptRetryDelay) != nil {
			return nil, net.ErrClosed
		}
	}
}
