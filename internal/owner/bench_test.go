package owner

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"crocusyoke/internal/request"
)

// benchmarkServe measures Manager.Serve with targets that answer without delay.
func benchmarkServe(b *testing.B, kind request.Kind, text string, callers int) {
	group := newFakeGroup(time.Millisecond)
	defer group.stop()
	for _, f := range group.targets {
		f.serviceTime, f.pollTime = 0, 0
	}
	m := New(Options{Self: "n1", Domain: "a", Dialer: pollableGroup{group}, Config: group})
	m.SetOwned("ledger", true)
	time.Sleep(200 * time.Millisecond)
	var sessions atomic.Uint64
	b.ReportAllocs()
	b.SetParallelism(max(1, callers/10))
	run := func(next func() bool) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
		defer cancel()
		req := &request.Request{
			ID:               request.ID{Session: fmt.Sprint(sessions.Add(1))},
			Customer:         "ravi",
			Group:            "ledger",
			Kind:             kind,
			Profile:          testProfile,
			MinPositionKnown: true,
			Messages:         simpleQuery(text),
		}
		for next() {
			req.Deadline = time.Now().Add(time.Second)
			if _, err := m.Serve(ctx, req); err != nil {
				b.Error(err)
				return
			}
		}
	}
	b.ResetTimer()
	if callers == 1 {
		run(b.Loop)
	} else {
		b.RunParallel(func(pb *testing.PB) { run(pb.Next) })
	}
	b.StopTimer()
	_ = m.Drain(context.Background())
}

func BenchmarkServeRead1(b *testing.B)   { benchmarkServe(b, request.KindRead, "SELECT 1", 1) }
func BenchmarkServeRead64(b *testing.B)  { benchmarkServe(b, request.KindRead, "SELECT 1", 64) }
func BenchmarkServeWrite1(b *testing.B)  { benchmarkServe(b, request.KindWrite, "UPDATE 1", 1) }
func BenchmarkServeWrite64(b *testing.B) { benchmarkServe(b, request.KindWrite, "UPDATE 1", 64) }
