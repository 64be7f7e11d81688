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

// manual is a clock that moves only when somebody sleeps.
type manual struct{ now time.Time }

func (m *manual) Now() time.Time { return m.now }

func (m *manual) Sleep(ctx context.Context, d time.Duration) error {
	m.now = m.now.Add(d)
	return ctx.Err()
}

// next answers each try from a list of codes; nil is success, and so is the list's end.
type next struct {
	codes []*request.Code
	kinds []request.Kind
}

func (n *next) Serve(_ context.Context, req *request.Request) (*request.Response, error) {
	try := len(n.kinds)
	n.kinds = append(n.kinds, req.Kind)
	if try >= len(n.codes) || n.codes[try] == nil {
		return &request.Response{ID: req.ID}, nil
	}
	return nil, request.Refuse(*n.codes[try], "test", "", "refused")
}

func (n *next) End(string) {}

func filter(n *next) (*Filter, *manual) {
	clock := &manual{now: time.Unix(1000, 0)}
	return New(n, clock, rand.New(rand.NewPCG(1, 2))), clock
}

func ask(kind request.Kind, clock *manual, budget float64) *request.Request {
	return &request.Request{
		Kind: kind, Deadline: clock.now.Add(time.Second),
		Profile: fleet.Profile{Name: "p", RetryBudget: budget},
	}
}

// TestNothingOfUnknownFateIsSentTwice gives any sequence of refusals to any kind.
func TestNothingOfUnknownFateIsSentTwice(t *testing.T) {
	codes := []*request.Code{
		nil, &request.CodeOutcomeUnknown, &request.CodeOverloaded, &request.CodeNoTarget, &request.CodeNoOwner,
		&request.CodeReplicaWrite, &request.CodeOverRate, &request.CodeTransactionLost, &request.CodeShutdown,
	}
	rapid.Check(t, func(t *rapid.T) {
		n := &next{codes: rapid.SliceOfN(rapid.SampledFrom(codes), 0, 8).Draw(t, "codes")}
		f, clock := filter(n)
		kind := rapid.SampledFrom([]request.Kind{
			request.KindWrite, request.KindRead, request.KindBegin, request.KindBeginRead,
			request.KindInTransaction, request.KindCommit, request.KindRollback,
		}).Draw(t, "kind")
		_, err := f.Serve(context.Background(), ask(kind, clock, 0.5))
		for i, sent := range n.kinds[:len(n.kinds)-1] {
			code := n.codes[i]
			if code.Fate == request.Unknown && sent != request.KindRead {
				t.Fatalf("kind %d sent again after %s", sent, code.Name)
			}
			if code.Fate == request.NotRun && !code.Retry {
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
	n := &next{}
	f, clock := filter(n)
	for range 1000 {
		n.codes, n.kinds = []*request.Code{&request.CodeOverloaded, &request.CodeOverloaded}, nil
		_, _ = f.Serve(context.Background(), ask(request.KindRead, clock, 0.1))
	}
	must.StrContains(t, f.Retried.String(), "overloaded")
	spent := f.Retried.Get("overloaded").String()
	must.Eq(t, "109", spent, must.Sprint("the reserve and a tenth of the requests"))
	must.Positive(t, len(f.Exhausted.String()))
}

func TestDeadlineEndsRetries(t *testing.T) {
	n := &next{}
	for range 100 {
		n.codes = append(n.codes, &request.CodeNoTarget)
	}
	f, clock := filter(n)
	req := ask(request.KindWrite, clock, 1)
	req.Deadline = clock.now.Add(20 * time.Millisecond)
	_, err := f.Serve(context.Background(), req)
	must.ErrorContains(t, err, "no_target")
	must.False(t, clock.now.After(req.Deadline))
	must.Positive(t, len(n.kinds)-1)
}

// TestFateOfAllTries: a read whose first try may have run is not refused as not run when a later
// one finds no target; one of which nothing ran is.
func TestFateOfAllTries(t *testing.T) {
	for first, want := range map[*request.Code]request.Fate{
		&request.CodeOutcomeUnknown: request.Unknown, &request.CodeNoOwner: request.NotRun,
	} {
		n := &next{codes: []*request.Code{first, &request.CodeOverRate}}
		f, clock := filter(n)
		_, err := f.Serve(context.Background(), ask(request.KindRead, clock, 1))
		must.Len(t, 2, n.kinds)
		must.Eq(t, want, request.AsRefusal(err).Code.Fate)
	}
}
