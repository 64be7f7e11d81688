package quicpeer

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/budget"
	"crocusyoke/internal/request"
)

// chargingOwner answers each request with its own messages, whose size it charges to the account of the request.
type chargingOwner struct{ stubOwner }

func (o *chargingOwner) Serve(ctx context.Context, req *request.Request) (*request.Response, error) {
	if !budget.FromContext(ctx).Resize(len(req.Messages)) {
		return nil, request.Refuse(request.CodeOverloaded, "owner", "", "no room")
	}
	return o.stubOwner.Serve(ctx, req)
}

// TestLargeAnswersFillTheEntryNode guards against answers of other nodes that fill the memory of the node whose callers
// read them slowly. The request of an answer that has no room is refused truthfully, and its stream goes on.
func TestLargeAnswersFillTheEntryNode(t *testing.T) {
	for _, kind := range []request.Kind{request.KindRead, request.KindWrite, request.KindInTransaction} {
		a := newAuthority(t)
		address, server := startServer(t, a, &chargingOwner{})
		c := newTestClient(t, a, "a", RoleNode)
		answers := budget.New(budget.Limits{Share: 1 << 10, Common: 1 << 20})
		other, mine := answers.Account(), answers.Account()
		must.True(t, other.Resize(1<<20))
		ctx := budget.NewContext(t.Context(), mine)
		h := c.Open(address)
		large := newRequest("s", 1, string(make([]byte, 100<<10)))
		large.Kind = kind
		_, err := h.Serve(ctx, large)
		want := request.CodeOutcomeUnknown
		if kind == request.KindRead {
			want = request.CodeOverloaded
		}
		must.Eq(t, want, request.AsRefusal(err).Code, must.Sprint(kind))
		for range 2 {
			large = newRequest("s", large.ID.Sequence+1, "x")
			resp, err := h.Serve(ctx, large)
			must.NoError(t, err)
			must.Eq(t, "x", string(resp.Messages))
		}
		other.Release()
		large = newRequest("s", large.ID.Sequence+1, string(make([]byte, 100<<10)))
		_, err = h.Serve(ctx, large)
		must.NoError(t, err)
		must.LessEq(t, mine.Held(), 100<<10, must.Sprint("the answer is held until it is sent"))
		h.End("s")
		must.Eq(t, 0, heldAtEnd(server))
	}
}

// TestReadWithEffectsIsNotRefusedAsNotRun guards against a read that the target has run, with what it changes there, and
// that is reported as not run for want of room for its answer.
func TestReadWithEffectsIsNotRefusedAsNotRun(t *testing.T) {
	a := newAuthority(t)
	address, _ := startServer(t, a, &chargingOwner{})
	c := newTestClient(t, a, "a", RoleNode)
	c.ReadsHaveEffects = true
	answers := budget.New(budget.Limits{Share: 1 << 10})
	read := newRequest("s", 1, string(make([]byte, 100<<10)))
	read.Kind = request.KindRead
	_, err := c.Open(address).Serve(budget.NewContext(t.Context(), answers.Account()), read)
	must.Eq(t, request.CodeOutcomeUnknown, request.AsRefusal(err).Code)
}

// TestLargeAnswersFillTheOwner guards against answers to other nodes that fill the memory of their owner.
func TestLargeAnswersFillTheOwner(t *testing.T) {
	a := newAuthority(t)
	address, server := startServer(t, a, &chargingOwner{})
	must.True(t, server.answers.Account().Resize(answerLimits.Common))
	h := newTestClient(t, a, "a", RoleNode).Open(address)
	_, err := h.Serve(t.Context(), newRequest("s", 1, string(make([]byte, answerLimits.Share*3))))
	must.Eq(t, request.CodeOverloaded, request.AsRefusal(err).Code)
	_, err = h.Serve(t.Context(), newRequest("s", 2, "x"))
	must.NoError(t, err)
}

// TestLargestAnswerPassesInCalm guards against an owner that has less room for its answers to other nodes than the
// settings give, so that a large one fails although no other is under way.
func TestLargestAnswerPassesInCalm(t *testing.T) {
	a := newAuthority(t)
	address, _ := startServer(t, a, &chargingOwner{}, func(s *Server) { s.LimitAnswers(2 * answerLimits.Common) })
	h := newTestClient(t, a, "a", RoleNode).Open(address)
	_, err := h.Serve(t.Context(), newRequest("s", 1, string(make([]byte, 2*answerLimits.Common))))
	must.NoError(t, err)
}

// heldAtEnd returns what the answers of server's sessions hold once the sessions have ended.
func heldAtEnd(server *Server) int {
	server.mu.Lock()
	sessions := make([]*session, 0, len(server.activeSessions))
	for _, s := range server.activeSessions {
		sessions = append(sessions, s)
	}
	server.mu.Unlock()
	for _, s := range sessions {
		<-s.ended
	}
	return server.answers.Held()
}
