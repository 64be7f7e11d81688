package node

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"crocusyoke/internal/clock"
)

// failingListener is a listener whose first calls of Accept fail for lack of memory.
type failingListener struct {
	net.Listener
	left *atomic.Int32
}

func (l failingListener) Accept() (net.Conn, error) {
	if l.left.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.ENOBUFS}
	}
	return l.Listener.Accept()
}

// impatientClock does not sleep.
type impatientClock struct{ clock.Wall }

func (impatientClock) Sleep(ctx context.Context, _ time.Duration) error { return ctx.Err() }

// TestAcceptErrorEndsAllSessions guards against an accept error of the readiness port that ends its task,
// and with it all tasks and sessions of the node.
func TestAcceptErrorEndsAllSessions(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	var left atomic.Int32
	left.Store(2)
	n := &Node{logger: log.NewNopLogger(), clock: impatientClock{}, drainStarted: make(chan struct{})}
	close(n.drainStarted)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- n.serveReadiness(ctx, failingListener{tcp, &left}, "/ready") }()
	response, err := http.Get("http://" + tcp.Addr().String() + "/ready")
	if err != nil {
		must.NoError(t, <-ended)
	}
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
	stop()
	must.NoError(t, <-ended)
}
