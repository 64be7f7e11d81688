package limit

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/request"
)

// budget admits as many requests as it holds.
type budget struct{ left int }

func (b *budget) Admit(context.Context, string) (bool, time.Duration) {
	b.left--
	return b.left >= 0, time.Second
}

func (b *budget) Settle(_ string, ran bool) {
	if !ran {
		b.left++
	}
}

// sink answers everything, or refuses it.
type sink struct {
	served int
	refuse *request.Refusal
}

func (s *sink) Serve(_ context.Context, req *request.Request) (*request.Response, error) {
	s.served++
	if s.refuse != nil {
		return nil, s.refuse
	}
	return &request.Response{ID: req.ID}, nil
}

func (s *sink) End(string) {}

func TestTransactionIsChargedOnce(t *testing.T) {
	b, next := &budget{left: 2}, &sink{}
	f := New(next, b)
	for _, kind := range []request.Kind{
		request.KindBegin, request.KindInTransaction, request.KindInTransaction, request.KindCommit,
		request.KindWrite,
	} {
		_, err := f.Serve(context.Background(), &request.Request{Customer: "c", Kind: kind})
		must.NoError(t, err)
	}
	must.Eq(t, 0, b.left)
	_, err := f.Serve(context.Background(), &request.Request{Customer: "c", Kind: request.KindRead})
	must.Eq(t, request.CodeOverRate, request.AsRefusal(err).Code)
	must.Eq(t, 5, next.served)
}

func TestPreparationIsNotCharged(t *testing.T) {
	b, next := &budget{left: 1}, &sink{}
	f := New(next, b)
	_, err := f.Serve(context.Background(), &request.Request{Customer: "c", Kind: request.KindRead, Preparation: true})
	must.NoError(t, err)
	must.Eq(t, 1, b.left)
}

// TestWhatDidNotRunIsNotCharged replays a group without a primary: its refusals leave the rate
// to the customer's other groups. What may have run is charged.
func TestWhatDidNotRunIsNotCharged(t *testing.T) {
	b, next := &budget{left: 2}, &sink{refuse: request.Refuse(request.CodeNoTarget, "choose", "", "no primary")}
	f := New(next, b)
	for range 20 {
		_, err := f.Serve(context.Background(), &request.Request{Customer: "c", Kind: request.KindWrite})
		must.Eq(t, request.CodeNoTarget, request.AsRefusal(err).Code)
	}
	must.Eq(t, 2, b.left)
	next.refuse = request.Refuse(request.CodeOutcomeUnknown, "exchange", "", "no answer")
	_, err := f.Serve(context.Background(), &request.Request{Customer: "c", Kind: request.KindWrite})
	must.Eq(t, request.CodeOutcomeUnknown, request.AsRefusal(err).Code)
	must.Eq(t, 1, b.left)
}
