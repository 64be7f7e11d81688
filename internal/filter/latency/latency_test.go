package latency

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/request"
)

// steps is a clock that the handler behind the filter moves.
type steps struct {
	now  time.Time
	took time.Duration
	fail bool
}

func (s *steps) Now() time.Time                             { return s.now }
func (s *steps) Sleep(context.Context, time.Duration) error { return nil }
func (s *steps) End(string)                                 {}

func (s *steps) Serve(context.Context, *request.Request) (*request.Response, error) {
	s.now = s.now.Add(s.took)
	if s.fail {
		return nil, request.Refuse(request.CodeOverRate, "limit", "", "over")
	}
	return &request.Response{}, nil
}

// TestSeries: each request counts once, by its kind or as refused, with its time.
func TestSeries(t *testing.T) {
	s := &steps{now: time.Unix(1000, 0)}
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
