package bench

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/shoenig/test/must"
)

// callerCounts holds the numbers of concurrent connections to measure with.
var callerCounts = []int{1, 64}

// Range of the latency histograms, in nanoseconds, and their precision in decimal digits.
const (
	minNanos = 1
	maxNanos = int64(10 * time.Second)
	digits   = 3
)

// warmUpStatements is the number of statements that each connection sends before the
// measurement starts.
const warmUpStatements = 20

// BenchmarkRead measures a SELECT in a session.
func BenchmarkRead(b *testing.B) { runBenchmarks(b, "SELECT 1") }

// BenchmarkWrite measures an UPDATE, which is acknowledged once the primary's term is confirmed.
func BenchmarkWrite(b *testing.B) { runBenchmarks(b, "UPDATE accounts SET n = 1") }

func runBenchmarks(b *testing.B, statement string) {
	routes := []struct {
		name string
		url  func(*system) string
	}{
		{"Direct", func(s *system) string { return s.directURL }},
		{"OneNode", func(s *system) string { return s.ownerURL }},
		{"EntryOwner", func(s *system) string { return s.entryURL }},
	}
	for _, n := range callerCounts {
		for _, route := range routes {
			b.Run(fmt.Sprintf("%s/callers=%d", route.name, n), func(b *testing.B) {
				s := sharedSystem(b)
				measure(b, s, route.url(s), statement, n)
			})
		}
	}
}

// measure runs b.N statements over n concurrent connections and reports the metrics.
func measure(b *testing.B, s *system, url, statement string, n int) {
	clients := make([]*client, n)
	for i := range clients {
		clients[i] = connect(b, url, statement)
		defer clients[i].close()
	}
	before := s.usage(b)
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	var wg sync.WaitGroup
	b.ResetTimer()
	for _, c := range clients {
		wg.Go(func() { c.run(&remaining) })
	}
	profiling := s.startProfiles(b)
	wg.Wait()
	b.StopTimer()
	profiling.Wait()
	after := s.usage(b)
	report(b, clients, before, after)
}

func report(b *testing.B, clients []*client, before, after usage) {
	merged := newHistogram()
	for _, c := range clients {
		must.NoError(b, c.err)
		merged.Merge(c.latencies)
	}
	must.EqOp(b, int64(b.N), merged.TotalCount())
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "statements/s")
	b.ReportMetric(float64(merged.ValueAtQuantile(50))/1e3, "p50-us")
	b.ReportMetric(float64(merged.ValueAtQuantile(99))/1e3, "p99-us")
	b.ReportMetric(float64(after.nodeAllocations-before.nodeAllocations)/float64(b.N), "node-allocs/op")
	b.ReportMetric(microseconds(after.nodeCPU-before.nodeCPU)/float64(b.N), "node-cpu-us/op")
	b.ReportMetric(microseconds(after.totalCPU-before.totalCPU)/float64(b.N), "all-cpu-us/op")
}

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// client is one connection with its latencies. err is the error that ended its run.
type client struct {
	conn      *pgconn.PgConn
	latencies *hdrhistogram.Histogram
	err       error
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(minNanos, maxNanos, digits) }

// statementName is the name of the prepared statement on each connection.
const statementName = "s"

func connect(b *testing.B, url, statement string) *client {
	b.Helper()
	ctx := context.Background()
	conn, err := pgconn.Connect(ctx, url)
	must.NoError(b, err)
	c := &client{conn: conn, latencies: newHistogram()}
	_, err = conn.Prepare(ctx, statementName, statement, nil)
	must.NoError(b, err)
	for range warmUpStatements {
		must.NoError(b, c.execute(ctx))
	}
	return c
}

func (c *client) close() { _ = c.conn.Close(context.Background()) }

func (c *client) execute(ctx context.Context) error {
	_, err := c.conn.ExecPrepared(ctx, statementName, nil, nil, nil).Close()
	return err
}

// run sends statements one after another until remaining is used up or a statement fails.
func (c *client) run(remaining *atomic.Int64) {
	ctx := context.Background()
	for remaining.Add(-1) >= 0 {
		sentAt := time.Now()
		if c.err = c.execute(ctx); c.err != nil {
			return
		}
		_ = c.latencies.RecordValue(int64(time.Since(sentAt)))
	}
}
