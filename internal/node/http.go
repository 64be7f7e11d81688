package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// acceptRetryDelay is the pause after an accept error, such as a lack of memory, which an immediate
// retry would only repeat.
const acceptRetryDelay = 100 * time.Millisecond

// serveHTTP serves handler on listener until ctx ends. No accept error ends it, because the error of one
// task ends all sessions.
func (n *Node) serveHTTP(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: opsTimeout}
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	err := server.Serve(&retryingListener{listener, n, ctx})
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return Error.Wrap(err)
}

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
