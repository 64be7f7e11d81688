package quota_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/peer"
)

var cost = flag.Bool("cost", false, "measure the control cost of membership and quota")

const (
	costWarmUp   = 30 * time.Second
	costMeasured = 10 * time.Second
	// costRequests is each node's load in requests per second, summed over all customers.
	costRequests = 20
)

// TestControlCost runs whole fleets in one process on fake time. It logs, per node and
// second, the messages and encoded bytes that membership and quota send, and their
// processor time, which includes that of the codec, the load and the fakes. It also logs
// the heap per node.
//
//	go test ./internal/run/quota -run ControlCost -v -cost
func TestControlCost(t *testing.T) {
	if !*cost {
		t.Skip("run with -cost")
	}
	t.Log("nodes customers  probe-msg/s probe-B/s  share-msg/s share-B/s  core(percent) heapKB platform-reads/s(all)")
	for _, size := range []struct{ nodes, customers int }{
		{6, 8},
		{12, 8},
		{24, 8},
		{100, 8},
		{500, 8},
		{24, 80},
	} {
		measureCost(t, size.nodes, size.customers)
	}
}

func measureCost(t *testing.T, nodes, customers int) {
	heap := heapAlloc()
	synctest.Test(t, func(t *testing.T) {
		rate := float64(2*costRequests*nodes) / float64(customers)
		all := make([]fleet.Customer, customers)
		for i := range all {
			all[i] = fleet.Customer{Name: fmt.Sprintf("customer-%d", i), Rate: rate, Burst: rate}
		}
		f := newFleet(all...)
		running := f.startAll(nodes)
		defer stopAll(running)
		run := func(d time.Duration) {
			rng := rand.New(rand.NewPCG(1, 2))
			for range int(d / (time.Second / costRequests)) {
				for _, n := range running {
					name := all[rng.IntN(customers)].Name
					if ok, _ := n.quota.Take(name); ok {
						n.quota.Settle(name, true)
					}
				}
				time.Sleep(time.Second / costRequests)
			}
		}
		run(costWarmUp)
		f.network.reset()
		f.platform.set(func() { f.platform.reads = 0 })
		cpu := cpuTime()
		run(costMeasured)
		cpu = cpuTime() - cpu
		per := float64(nodes) * costMeasured.Seconds()
		probe, share := f.network.sent(peer.KindProbe), f.network.sent(peer.KindQuotaReport)
		t.Logf("%5d %5d  %8.2f %8.0f  %8.2f %8.0f  %8.4f %6.0f %6.1f", nodes, customers,
			float64(probe.messages)/per, float64(probe.bytes)/per,
			float64(share.messages)/per, float64(share.bytes)/per,
			100*cpu.Seconds()/per, (heapAlloc()-heap)/1024/float64(nodes),
			float64(f.platform.reads)/costMeasured.Seconds())
	})
}

func heapAlloc() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
