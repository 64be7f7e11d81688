// Package latency is the outermost filter. It measures the time from a request's arrival to its
// answer, by kind of request; refused requests have a series of their own.
//
// Invariant: every request is counted exactly once, whatever its outcome. Measuring never waits
// for I/O and never changes an answer.
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

// Range and precision of the histograms. Times outside the range, in microseconds, count as its
// nearest bound.
const (
	minMicros = 1
	maxMicros = int64(time.Minute / time.Microsecond)
	// significantDigits is the precision of recorded values, in decimal digits.
	significantDigits = 2
)

// SeriesRefused is the name of the series of refused requests of all kinds.
const SeriesRefused = "refused"

// Filter records the latency of the requests that pass it.
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
	value := min(max(took.Microseconds(), minMicros), maxMicros)
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.series[series]
	if h == nil {
		h = hdrhistogram.New(minMicros, maxMicros, significantDigits)
		f.series[series] = h
	}
	// RecordValue fails only for values out of range, and value has been clamped.
	_ = h.RecordValue(value)
}

// Summary describes one series since the start of the process. Times are in milliseconds.
type Summary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Summaries returns a Summary for each series that has at least one request, by name.
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

// Vars returns the summaries as a variable to publish with expvar.
func (f *Filter) Vars() expvar.Var {
	return expvar.Func(func() any { return f.Summaries() })
}
