// Package latency is the outermost filter: it measures how long requests take from entry to
// answer, by what they do, and those that were refused apart.
//
// Invariant: a request is counted once, whatever became of it. Measuring never blocks and never
// changes an answer.
package latency

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/request"
)

// What the histograms hold, in microseconds: times beyond the longest count as that.
const (
	shortest = 1
	longest  = int64(time.Minute / time.Microsecond)
	// digits is the number of significant digits that are kept.
	digits = 2
)

// SeriesRefused holds refused requests, of all kinds.
const SeriesRefused = "refused"

// Filter measures what passes it.
type Filter struct {
	next  request.Handler
	clock clock.Clock

	mu     sync.Mutex
	series map[string]*hdrhistogram.Histogram
}

// New returns a Filter in front of next.
func New(next request.Handler, c clock.Clock) *Filter {
	return &Filter{next: next, clock: c, series: make(map[string]*hdrhistogram.Histogram)}
}

// Serve implements request.Handler.
func (f *Filter) Serve(ctx context.Context, req *request.Request) (*request.Response, error) {
	series, began := req.Kind.String(), f.clock.Now()
	response, err := f.next.Serve(ctx, req)
	if err != nil {
		series = SeriesRefused
	}
	f.record(series, f.clock.Now().Sub(began))
	return response, err
}

// End implements request.Handler.
func (f *Filter) End(session string) { f.next.End(session) }

func (f *Filter) record(series string, took time.Duration) {
	value := min(max(took.Microseconds(), shortest), longest)
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.series[series]
	if h == nil {
		h = hdrhistogram.New(shortest, longest, digits)
		f.series[series] = h
	}
	// The value is within the histogram's bounds.
	_ = h.RecordValue(value)
}

// Summary is one series since the start of the process; times are in milliseconds.
type Summary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Summaries returns each series with at least one request.
func (f *Filter) Summaries() map[string]Summary {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]Summary, len(f.series))
	for name, h := range f.series {
		out[name] = Summary{
			Count: h.TotalCount(),
			P50:   milliseconds(h.ValueAtQuantile(50)),
			P90:   milliseconds(h.ValueAtQuantile(90)),
			P99:   milliseconds(h.ValueAtQuantile(99)),
			Max:   milliseconds(h.Max()),
		}
	}
	return out
}

func milliseconds(micros int64) float64 {
	return float64(micros) / float64(time.Millisecond/time.Microsecond)
}

// Vars returns the summaries, to be published.
func (f *Filter) Vars() expvar.Var {
	return expvar.Func(func() any { return f.Summaries() })
}
