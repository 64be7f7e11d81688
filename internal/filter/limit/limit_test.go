package limit

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/request"
)

// fakeQuota admits as many requests as are left.
type fakeQuota struct{ left int }

func (b *fakeQuota) Admit(context.Context, string, int) (bool, time.Duration) {
	b.left--
	return b.left >= 0, time.Second
}

func (b *fakeQuota) Settle(_ string, ran bool) {
	if !ran {
		b.left++
	}
}

// fakeHandler answers every request, or refuses every request if refuse is set.
type fakeHandler struct {
	served int
	refuse *request.Refusal
}

func (s *fakeHandler) Serve(_ context.Context, req *request.Request) (*request.Response, error) {
	s.served++
	if s.refuse != nil {
		return nil, s.refuse
	}
	return &request.Response{ID: req.ID}, nil
}

func (s *fakeHandler) End(string) {}

func TestTransactionIsChargedOnce(t *testing.T) {
	b, next := &fakeQuota{left: 2}, &fakeHandler{}
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
	b, next := &fakeQuota{left: 1}, &fakeHandler{}
	f := New(next, b)
	_, err := f.Serve(context.Background(), &request.Request{Customer: "c", Kind: request.KindRead, PrepareOnly: true})
	must.NoError(t, err)
	must.Eq(t, 1, b.left)
}

// TestWhatDidNotRunIsNotCharged: refusals of a group without a primary must not use up the rate
// that the customer needs for its other groups. A request that may have run is charged.
func TestWhatDidNotRunIsNotCharged(t *testing.T) {
	b, next := &fakeQuota{left: 2}, &fakeHandler{refuse: request.Refuse(request.CodeNoTarget, "choose", "", "no primary")}
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

// TestLostBeginGivesItsTokenBack guards against a customer that goes over its rate by the transactions
// whose beginning a target has run, but whose answer was lost.
func TestLostBeginGivesItsTokenBack(t *testing.T) {
	lost := request.Refuse(request.CodeOutcomeUnknown, "exchange", "t1", "no answer")
	b := &fakeQuota{left: 1}
	next := &fakeHandler{refuse: request.Refuse(request.CodeTransactionLost, "route", "", "rolled back").WithCause(lost)}
	_, err := New(next, b).Serve(context.Background(), &request.Request{Customer: "c", Kind: request.KindBegin})
	must.Error(t, err)
	must.Eq(t, 0, b.left)
}

// TestCountersOfCustomersAreBounded guards against a node whose counters grow with every customer that was
// ever in the configuration. Names of any form are keys of their own.
func TestCountersOfCustomersAreBounded(t *testing.T) {
	f := New(&fakeHandler{}, &fakeQuota{})
	refuse := func(customer string) {
		_, err := f.Serve(context.Background(), &request.Request{Customer: customer, Kind: request.KindRead})
		must.Error(t, err)
	}
	for i := range maxCountedCustomers + 5 {
		refuse(fmt.Sprintf("\"c\n%d", i))
	}
	refuse("\"c\n0")
	var counts map[string]int
	must.NoError(t, json.Unmarshal([]byte(f.Refused.String()), &counts))
	must.MapLen(t, maxCountedCustomers+1, counts)
	must.Eq(t, 5, counts[otherCustomers])
	must.Eq(t, 2, counts["\"c\n0"])
}
