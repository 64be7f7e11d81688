package quicpeer

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/request"
)

// endingOwner answers each request and ends its server in the same moment, as a stop does that has waited
// for its last request.
type endingOwner struct{ end context.CancelFunc }

func (o *endingOwner) Serve(_ context.Context, req *request.Request) (*request.Response, error) {
	o.end()
	return &request.Response{ID: req.ID, Messages: req.Messages, TxStatus: 'I'}, nil
}

func (o *endingOwner) End(string) {}

// TestServerEndsBeforeItsLastAnswerArrives guards against an owner that stops right behind the last request
// that it has waited for, and whose answer then doesn't leave: the caller is told that the outcome of a
// write that was confirmed is unknown.
func TestServerEndsBeforeItsLastAnswerArrives(t *testing.T) {
	a := newAuthority(t)
	packets := listenUDP(t)
	ctx, end := context.WithCancel(context.Background())
	s := NewServer("b", a.config("b", RoleNode), clock.Wall{}, &endingOwner{end})
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, packets) }()
	c := newTestClient(t, a, "a", RoleNode)
	resp, err := c.Open(packets.LocalAddr().String()).Serve(context.Background(), newRequest("s", 1, "write"))
	must.NoError(t, <-done)
	must.NoError(t, err)
	must.Eq(t, "write", string(resp.Messages))
}
