package quicpeer

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/peer"
)

// deafConn loses all packets that arrive while isDeaf is true, like a node that is not back yet.
type deafConn struct {
	net.PacketConn
	isDeaf atomic.Bool
}

func (d *deafConn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, from, err := d.PacketConn.ReadFrom(p)
		if err != nil || !d.isDeaf.Load() {
			return n, from, err
		}
	}
}

// TestNodeSuspectedAfterItIsBack checks that a node is reached right after it is back, although an attempt
// to connect to it began before: that attempt waits longer and longer between its packets.
func TestNodeSuspectedAfterItIsBack(t *testing.T) {
	a := newAuthority(t)
	packets := &deafConn{PacketConn: listenUDP(t)}
	packets.isDeaf.Store(true)
	s := NewServer("b", a.config("b", RoleNode), clock.Wall{}, &stubOwner{})
	s.Handle(peer.KindProbe, false, func(_ context.Context, from string, _ []byte) (any, error) { return from, nil })
	serving, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(serving, packets) }()
	t.Cleanup(func() {
		stop()
		must.NoError(t, <-done)
	})
	c := newTestClient(t, a, "a", RoleNode)
	call := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		var from string
		return c.Call(ctx, packets.LocalAddr().String(), peer.KindProbe, 1, &from)
	}
	must.Error(t, call(700*time.Millisecond))
	packets.isDeaf.Store(false)
	must.NoError(t, call(600*time.Millisecond))
}
