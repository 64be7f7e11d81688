package quicpeer

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/peer"
	"crocusyoke/internal/request"
)

// panickingOwner panics over requests whose messages are "boom", and over the end of the session of that name.
type panickingOwner struct{ stubOwner }

func (o *panickingOwner) Serve(ctx context.Context, req *request.Request) (*request.Response, error) {
	if string(req.Messages) == "boom" {
		panic("unexpected value")
	}
	return o.stubOwner.Serve(ctx, req)
}

func (o *panickingOwner) End(session string) {
	o.stubOwner.End(session)
	if session == "boom" {
		panic("unexpected value")
	}
}

// TestPanicOverARequestEndsTheOwner guards against an owner whose process ends because it panics over a
// request from another node. The caller is told that the outcome is unknown, its session ends, and other
// sessions go on.
func TestPanicOverARequestEndsTheOwner(t *testing.T) {
	a := newAuthority(t)
	o := &panickingOwner{}
	address, _ := startServer(t, a, o)
	c := newTestClient(t, a, "a", RoleNode)
	other := c.Open(address)
	_, err := other.Serve(t.Context(), newRequest("other", 1, "x"))
	must.NoError(t, err)
	h := c.Open(address)
	_, err = h.Serve(t.Context(), newRequest("s", 1, "boom"))
	must.Eq(t, request.CodeOutcomeUnknown, request.AsRefusal(err).Code)
	must.ErrorContains(t, err, "panicked")
	_, err = other.Serve(t.Context(), newRequest("other", 2, "y"))
	must.NoError(t, err)
	h.End("s")
	_, err = c.Open(address).Serve(t.Context(), newRequest("s", 2, "x"))
	must.NoError(t, err)
	must.Eq(t, 1, o.endedSessions())
}

// TestPanicOverTheEndOfASessionEndsTheOwner guards against an owner whose process ends because it panics
// over the end of another node's session, and against a session that can't be resumed after that.
func TestPanicOverTheEndOfASessionEndsTheOwner(t *testing.T) {
	a := newAuthority(t)
	address, _ := startServer(t, a, &panickingOwner{})
	c := newTestClient(t, a, "a", RoleNode)
	for range uint64(3) {
		h := c.Open(address)
		_, err := h.Serve(t.Context(), newRequest("boom", 1, "x"))
		must.NoError(t, err)
		h.End("boom")
	}
}

// TestPanicOverAPeerEndsTheServer guards against a node whose process ends because it panics over the
// question whether a peer may connect.
func TestPanicOverAPeerEndsTheServer(t *testing.T) {
	a := newAuthority(t)
	address, _ := startServer(t, a, &stubOwner{}, func(s *Server) {
		s.Allow = func(_ context.Context, p Peer) bool {
			if p.Name == "boom" {
				panic("unexpected name")
			}
			return true
		}
	})
	var reply any
	must.Error(t, newTestClient(t, a, "boom", RoleNode).Call(t.Context(), address, peer.KindProbe, "x", &reply))
	must.NoError(t, newTestClient(t, a, "a", RoleNode).Call(t.Context(), address, peer.KindProbe, "x", &reply))
}

// TestPanicOverAnAcceptedPeerEndsTheCaller guards against a node whose process ends because it panics over
// the name of the node that it has called.
func TestPanicOverAnAcceptedPeerEndsTheCaller(t *testing.T) {
	a := newAuthority(t)
	address, _ := startServer(t, a, &stubOwner{})
	c := newTestClient(t, a, "a", RoleNode)
	panics := true
	c.Accept = func(string, string) bool {
		if panics {
			panic("unexpected name")
		}
		return true
	}
	var reply any
	must.ErrorContains(t, c.Call(t.Context(), address, peer.KindProbe, "x", &reply), "unexpected name")
	panics = false
	must.NoError(t, c.Call(t.Context(), address, peer.KindProbe, "x", &reply))
}

// TestPanicOverALostPeerEndsTheCaller guards against a node whose process ends because it panics when it
// has lost a connection to another one.
func TestPanicOverALostPeerEndsTheCaller(t *testing.T) {
	a := newAuthority(t)
	address, _ := startServer(t, a, &stubOwner{})
	c := newTestClient(t, a, "a", RoleNode)
	lost := make(chan struct{})
	c.OnConnectionLost(func(string) {
		close(lost)
		panic("unexpected address")
	})
	var reply any
	must.NoError(t, c.Call(t.Context(), address, peer.KindProbe, "x", &reply))
	must.NoError(t, c.openConn(linkKey{address, useSessions}).CloseWithError(0, "lost"))
	<-lost
	c.OnConnectionLost(nil)
	must.NoError(t, c.Call(t.Context(), address, peer.KindProbe, "x", &reply))
}

// panickingClock panics once it is armed.
type panickingClock struct {
	clock.Wall
	armed atomic.Bool
}

func (c *panickingClock) Now() time.Time {
	if c.armed.Load() {
		panic("unexpected time")
	}
	return c.Wall.Now()
}

// TestPanicOverACancellationEndsTheCaller guards against a node whose process ends because it panics when it
// cancels a request at the owner.
func TestPanicOverACancellationEndsTheCaller(t *testing.T) {
	a := newAuthority(t)
	o := &stubOwner{block: make(chan struct{}), arrived: make(chan struct{}, 2)}
	address, _ := startServer(t, a, o)
	c := newTestClient(t, a, "a", RoleNode)
	faulty := &panickingClock{}
	c.clock = faulty
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-o.arrived
		faulty.armed.Store(true)
		cancel()
		close(o.block)
	}()
	h := c.Open(address)
	resp, err := h.Serve(ctx, newRequest("s", 1, "x"))
	must.NoError(t, err)
	must.Eq(t, "x", string(resp.Messages))
	faulty.armed.Store(false)
	_, err = h.Serve(t.Context(), newRequest("s", 2, "y"))
	must.NoError(t, err)
}
