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

const (
	// maxConnectionBytes is the most that opening a connection and the first calls over it may send in
	// both directions together: the traffic for control of a node in a second, of which a new connection
	// a second then uses no more than all.
	maxConnectionBytes = 6000
	// firstCalls is the number of these calls, firstCallsPause the pause after each.
	firstCalls      = 4
	firstCallsPause = 20 * time.Millisecond
)

// countingConn counts the bytes of the datagrams that are sent from it.
type countingConn struct {
	*net.UDPConn
	sent *atomic.Int64
}

func (c countingConn) WriteTo(p []byte, to net.Addr) (int, error) {
	c.sent.Add(int64(len(p)))
	return c.UDPConn.WriteTo(p, to)
}

func (c countingConn) WriteMsgUDP(p, oob []byte, to *net.UDPAddr) (int, int, error) {
	c.sent.Add(int64(len(p)))
	return c.UDPConn.WriteMsgUDP(p, oob, to)
}

// TestNewConnectionFillsTheLink guards against a handshake and path MTU probes of 18 KB for each
// connection: a restarted fleet opens so many at once that small links are full for seconds.
func TestNewConnectionFillsTheLink(t *testing.T) {
	var sent atomic.Int64
	count := func() net.PacketConn { return countingConn{listenUDP(t).(*net.UDPConn), &sent} }
	serverTLS, err := EphemeralTLS("node-with-a-long-name-1", RoleNode)
	must.NoError(t, err)
	s := NewServer("node-with-a-long-name-1", serverTLS, clock.Wall{}, nil)
	s.Handle(peer.KindProbe, false, func(context.Context, string, []byte) (any, error) { return "", nil })
	packets := count()
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- s.Serve(ctx, packets) }()
	smallest := int64(1 << 20)
	// A packet that is sent again on a busy machine says nothing about the size, hence several attempts.
	for range 5 {
		smallest = min(smallest, connectionBytes(ctx, t, packets.LocalAddr().String(), count(), &sent))
	}
	must.LessEq(t, maxConnectionBytes, smallest)
	cancel()
	must.NoError(t, <-served)
}

// connectionBytes returns how much sent grows while a client that sends from packets makes its first calls to
// address.
func connectionBytes(ctx context.Context, t *testing.T, address string, packets net.PacketConn, sent *atomic.Int64) int64 {
	clientTLS, err := EphemeralTLS("node-with-a-long-name-2", RoleNode)
	must.NoError(t, err)
	c := NewClient(clientTLS, packets, clock.Wall{}, nil)
	c.SeparateCalls = func() bool { return true }
	defer c.Close()
	before := sent.Load()
	for range firstCalls {
		var reply string
		must.NoError(t, c.Call(ctx, address, peer.KindProbe, "", &reply))
		time.Sleep(firstCallsPause)
	}
	return sent.Load() - before
}
