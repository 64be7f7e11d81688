package retry

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/request"
)

// fakeClock is a clock that advances only in Sleep.
type fakeClock struct{ now time.Time }

func (m *fakeClock) Now() time.Time { return m.now }

func (m *fakeClock) Sleep(ctx context.Context, d time.Duration) error {
	m.now = m.now.Add(d)
	return ctx.Err()
}

// scriptedHandler refuses attempt i with codes[i]. It succeeds if that is nil or the list has
// ended.
type scriptedHandler struct {
	codes []*request.Code
	kinds []request.Kind
}

func (n *scriptedHandler) Serve(_ context.Context, req *request.Request) (*request.Response, error) {
	attempt := len(n.kinds)
	n.kinds = append(n.kinds, req.Kind)
	if attempt >= len(n.codes) || n.codes[attempt] == nil {
		return &request.Response{ID: req.ID}, nil
	}
	return nil, request.Refuse(*n.codes[attempt], "test", "", "refused")
}

func (n *scriptedHandler) End(string) {}

func newFilter(n *scriptedHandler) (*Filter, *fakeClock) {
	clock := &fakeClock{now: time.Unix(1000, 0)}
	return New(n, clock, rand.New(rand.NewPCG(1, 2))), clock
}

func newRequest(kind request.Kind, clock *fakeClock, budget float64) *request.Request {
	return &request.Request{
		Kind: kind, Deadline: clock.now.Add(time.Second),
		Profile: fleet.Profile{Name: "p", RetryBudget: budget},
	}
}

// TestNothingOfUnknownFateIsSentTwice answers requests of every kind with random sequences of
// refusals. Only refusals that allow it, and reads of unknown outcome, may be sent again.
func TestNothingOfUnknownFateIsSentTwice(t *testing.T) {
	codes := []*request.Code{
		nil, &request.CodeOutcomeUnknown, &request.CodeOverloaded, &request.CodeNoTarget, &request.CodeNoOwner,
		&request.CodeReplicaWrite, &request.CodeOverRate, &request.CodeTransactionLost, &request.CodeShutdown,
	}
	rapid.Check(t, func(t *rapid.T) {
		n := &scriptedHandler{codes: rapid.SliceOfN(rapid.SampledFrom(codes), 0, 8).Draw(t, "codes")}
		f, clock := newFilter(n)
		kind := rapid.SampledFrom([]request.Kind{
			request.KindWrite, request.KindRead, request.KindBegin, request.KindBeginRead,
			request.KindInTransaction, request.KindCommit, request.KindRollback,
		}).Draw(t, "kind")
		_, err := f.Serve(context.Background(), newRequest(kind, clock, 0.5))
		for i, sentKind := range n.kinds[:len(n.kinds)-1] {
			code := n.codes[i]
			if code.Fate == request.Unknown && sentKind != request.KindRead {
				t.Fatalf("kind %d sent again after %s", sentKind, code.Name)
			}
			if code.Fate == request.NotRun && !code.Retryable {
				t.Fatalf("sent again after %s", code.Name)
			}
			if *code == request.CodeReplicaWrite && n.kinds[i+1] == request.KindRead {
				t.Fatal("a request that a replica refused to write counts as a read")
			}
		}
		last := len(n.kinds) - 1
		if succeeded := last >= len(n.codes) || n.codes[last] == nil; succeeded != (err == nil) {
			t.Fatalf("last try succeeded: %v, answered %v", succeeded, err)
		}
	})
}

func TestBudgetIsAShareOfRequests(t *testing.T) {
	n := &scriptedHandler{}
	f, clock := newFilter(n)
	for range 1000 {
		n.codes, n.kinds = []*request.Code{&request.CodeOverloaded, &request.CodeOverloaded}, nil
		_, _ = f.Serve(context.Background(), newRequest(request.KindRead, clock, 0.1))
	}
	must.StrContains(t, f.Retried.String(), "overloaded")
	spent := f.Retried.Get("overloaded").String()
	must.Eq(t, "109", spent, must.Sprint("the initial budget and a tenth of the requests"))
	must.Positive(t, len(f.Exhausted.String()))
}

func TestDeadlineEndsRetries(t *testing.T) {
	n := &scriptedHandler{}
	for range 100 {
		n.codes = append(n.codes, &request.CodeNoTarget)
	}
	f, clock := newFilter(n)
	req := newRequest(request.KindWrite, clock, 1)
	req.Deadline = clock.now.Add(20 * time.Millisecond)
	_, err := f.Serve(context.Background(), req)
	must.ErrorContains(t, err, "no_target")
	must.False(t, clock.now.After(req.Deadline))
	must.Positive(t, len(n.kinds)-1)
}

// TestFateOfAllTries: if the first attempt of a read may have run and a later attempt is refused,
// the refusal must not say that the read did not run. If no attempt ran, it must say so.
func TestFateOfAllTries(t *testing.T) {
	for first, want := range map[*request.Code]request.Fate{
		&request.CodeOutcomeUnknown: request.Unknown, &request.CodeNoOwner: request.NotRun,
	} {
		n := &scriptedHandler{codes: []*request.Code{first, &request.CodeOverRate}}
		f, clock := newFilter(n)
		_, err := f.Serve(context.Background(), newRequest(request.KindRead, clock, 1))
		must.Len(t, 2, n.kinds)
		must.Eq(t, want, request.AsRefusal(err).Code.Fate)
	}
}

// TestRetryKeepsTimeToComeBack: a retry after a refusal for lack of room comes no earlier than the refusal says, since that
// orders those that return.
func TestRetryKeepsTimeToComeBack(t *testing.T) {
	f, _ := newFilter(&scriptedHandler{})
	wait := MaxBackoff / 2
	must.GreaterEq(t, wait, f.delay(request.Refuse(request.CodeOverloaded, "schedule", "", "").WithRetryAfter(wait), InitialBackoff))
	must.Less(t, wait, f.delay(request.Refuse(request.CodeNoOwner, "owner", "", "").WithRetryAfter(wait), InitialBackoff))
}
