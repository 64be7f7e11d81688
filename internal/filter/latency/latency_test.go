package latency

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/request"
)

// fakeClockHandler is both the clock and the handler behind the filter: Serve advances the clock
// by took.
type fakeClockHandler struct {
	now  time.Time
	took time.Duration
	fail bool
}

func (s *fakeClockHandler) Now() time.Time                             { return s.now }
func (s *fakeClockHandler) Sleep(context.Context, time.Duration) error { return nil }
func (s *fakeClockHandler) End(string)                                 {}

func (s *fakeClockHandler) Serve(context.Context, *request.Request) (*request.Response, error) {
	s.now = s.now.Add(s.took)
	if s.fail {
		return nil, request.Refuse(request.CodeOverRate, "limit", "", "over")
	}
	return &request.Response{}, nil
}

// TestRequestsAreCountedBySeries: each request is counted once with its duration, under its kind
// or as refused. Durations above the range count as one minute.
func TestRequestsAreCountedBySeries(t *testing.T) {
	s := &fakeClockHandler{now: time.Unix(1000, 0)}
	f := New(s, s)
	for i := range 100 {
		s.took = time.Duration(i+1) * time.Millisecond
		_, err := f.Serve(context.Background(), &request.Request{Kind: request.KindRead})
		must.NoError(t, err)
	}
	s.fail, s.took = true, 2*time.Hour
	_, err := f.Serve(context.Background(), &request.Request{Kind: request.KindWrite})
	must.Error(t, err)
	got := f.Summaries()
	must.MapLen(t, 2, got)
	must.Eq(t, 100, got["read"].Count)
	must.Between(t, 49, got["read"].P50, 51)
	must.Between(t, 98, got["read"].P99, 100)
	must.Eq(t, 1, got[SeriesRefused].Count)
	must.Between(t, 59_000, got[SeriesRefused].Max, 61_000)
	must.StrContains(t, f.Vars().String(), `"p99_ms"`)
}
