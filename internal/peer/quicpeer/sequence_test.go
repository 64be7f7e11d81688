package quicpeer

import (
	"bytes"
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/region"
	"crocusyoke/internal/request"
)

// serveRequest sends one request of the session s.
func serveRequest(h request.Handler, sequence uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, err := h.Serve(ctx, newRequest("s", sequence, "x"))
	return err
}

// strictOwner refuses what is canceled, and its first requests.
type strictOwner struct {
	stubOwner
	refusals atomic.Int64
}

func (o *strictOwner) Serve(ctx context.Context, req *request.Request) (*request.Response, error) {
	if ctx.Err() != nil || o.refusals.Add(-1) >= 0 {
		return nil, request.Refuse(request.CodeTimeout, "owner", "", "canceled")
	}
	return o.stubOwner.Serve(ctx, req)
}

// TestLateStreamEndsNewerOne guards against a request that arrives on an older stream of its session after newer ones
// on another stream, that is run, and that ends the newer stream with its transaction.
func TestLateStreamEndsNewerOne(t *testing.T) {
	a := newAuthority(t)
	o := &strictOwner{}
	address, _ := startServer(t, a, o)
	c := newTestClient(t, a, "a", RoleNode)
	older, newer := c.Open(address), c.Open(address)
	must.NoError(t, serveRequest(newer, 5))
	must.Error(t, serveRequest(older, 4))
	must.NoError(t, serveRequest(newer, 6))
	must.Zero(t, o.endedSessions())
}

// TestRequestRunsAgainOnItsStream guards against a request that is served although a later one, or the same one, has
// been answered on its stream. A refused request may come again.
func TestRequestRunsAgainOnItsStream(t *testing.T) {
	for _, again := range []uint64{5, 4} {
		a := newAuthority(t)
		o := &strictOwner{}
		o.refusals.Store(1)
		address, _ := startServer(t, a, o)
		h := newTestClient(t, a, "a", RoleNode).Open(address)
		must.Error(t, serveRequest(h, 5))
		must.NoError(t, serveRequest(h, 5))
		must.Error(t, serveRequest(h, again), must.Sprint(again))
	}
}

// TestSessionWaitsForItsSilentStream guards against a session whose new stream is not served until the connection of
// its former one, whose end has not arrived, is found silent.
func TestSessionWaitsForItsSilentStream(t *testing.T) {
	a := newAuthority(t)
	address, _ := startServer(t, a, &stubOwner{})
	must.NoError(t, serveRequest(newTestClient(t, a, "a", RoleNode).Open(address), 1))
	must.NoError(t, serveRequest(newTestClient(t, a, "a", RoleNode).Open(address), 2))
}

// TestHomesCrossTheLink guards against an owner that does not know the homes of a request, or those of an earlier one.
func TestHomesCrossTheLink(t *testing.T) {
	first := newRequest("s", 1, "x")
	moved := *first
	moved.HomeRegions = region.NewSet([]string{"east"})
	must.NotEq(t, newSessionContext(first), newSessionContext(&moved))
	var wire bytes.Buffer
	frame, context := newRequestFrame(&moved), newSessionContext(&moved)
	frame.Context = &context
	must.NoError(t, writeFrame(&wire, &frame))
	var got requestFrame
	must.NoError(t, newFrameReader(&wire).read(&got))
	must.Eq(t, moved.HomeRegions, got.toRequest(got.Context, time.Now()).HomeRegions)
}
