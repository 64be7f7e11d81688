package pgtarget_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/target"
)

// BenchmarkExchange measures the throughput of statements on connections that are constantly in
// use. The target runs in the same process and answers from memory.
func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{1, 64} {
		b.Run(fmt.Sprintf("connections=%d", n), func(b *testing.B) { benchmarkExchange(b, n) })
	}
}

func benchmarkExchange(b *testing.B, connections int) {
	_, address := startTarget(b, true)
	conns := make([]target.Conn, connections)
	for i := range conns {
		conns[i] = dial(b, address)
	}
	message := query("SELECT n FROM t WHERE id = 1")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	var workers sync.WaitGroup
	b.ReportAllocs()
	b.ResetTimer()
	for _, conn := range conns {
		workers.Go(func() {
			for remaining.Add(-1) >= 0 {
				_, _, err := conn.Exchange(ctx, message)
				must.NoError(b, err)
			}
		})
	}
	workers.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "statements/s")
}
