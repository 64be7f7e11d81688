package quicpeer

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/peer"
)

// TestPanicInHandlerEndsOnlyItsCall checks that a handler that panics answers its call with an
// error, and that the next call over the same connection is served.
func TestPanicInHandlerEndsOnlyItsCall(t *testing.T) {
	a := newAuthority(t)
	address, _ := startServer(t, a, &stubOwner{}, func(s *Server) {
		s.Handle(peer.KindConfig, false, func(_ context.Context, _ string, payload []byte) (any, error) { return payload[100], nil })
	})
	c := newTestClient(t, a, "a", RoleNode)
	var reply any
	err := c.Call(t.Context(), address, peer.KindConfig, "x", &reply)
	must.ErrorContains(t, err, "index out of range")
	must.NoError(t, c.Call(t.Context(), address, peer.KindProbe, "x", &reply))
}

// TestSilentCallConnectionIsReplaced checks that after a call that got no answer in time, the next
// one uses a new connection, where calls have connections of their own.
func TestSilentCallConnectionIsReplaced(t *testing.T) {
	a := newAuthority(t)
	release := make(chan struct{})
	address, _ := startServer(t, a, &stubOwner{}, func(s *Server) {
		s.Handle(peer.KindConfig, false, func(context.Context, string, []byte) (any, error) {
			<-release
			return nil, nil
		})
	})
	defer close(release)
	c := newTestClient(t, a, "a", RoleNode)
	c.SeparateCalls = func() bool { return true }
	var reply any
	must.NoError(t, c.Call(t.Context(), address, peer.KindProbe, "x", &reply))
	first := c.openConn(linkKey{address, useCalls})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	must.Error(t, c.Call(ctx, address, peer.KindConfig, "x", &reply))
	must.Error(t, first.Context().Err(), must.Sprint("the connection must be closed at once, not by its idle timeout"))
	must.NoError(t, c.Call(t.Context(), address, peer.KindProbe, "x", &reply))
	must.Nil(t, c.openConn(linkKey{address, useSessions}))
}
