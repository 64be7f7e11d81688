package membership

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// traffic counts the messages that a fleet sends and their encoded size. It also decodes
// them, so that benchmarks include this cost.
type traffic struct{ messages, bytes int }

func (c *traffic) add(b *testing.B, message any) {
	encoded, err := cbor.Marshal(message)
	if err != nil {
		b.Fatal(err)
	}
	c.messages++
	c.bytes += len(encoded)
	switch message.(type) {
	case Probe:
		var p Probe
		err = cbor.Unmarshal(encoded, &p)
	case Reply:
		var r Reply
		err = cbor.Unmarshal(encoded, &r)
	}
	if err != nil {
		b.Fatal(err)
	}
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkControlCost runs the membership controllers of a whole fleet in one process on
// logical time. It reports the messages that one node sends, its processor time including
// encoding and decoding, and its heap. During the run, one in 1000 nodes, but at least one,
// crashes, and one new configuration version appears. spread-s is the time until 99.9% of the
// nodes have that version. %heard is the lowest share of nodes that any node had heard from,
// individually or by digest, within the last 4 s.
//
//	go test -run - -bench ControlCost -benchtime 1x ./internal/controller/membership
func BenchmarkControlCost(b *testing.B) {
	for _, count := range []int{6, 12, 24, 100, 500, 1000, 2100} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				measure(b, count)
			}
		})
	}
}

const measuredTime = 10 * time.Second

func measure(b *testing.B, count int) {
	before := heapBytes()
	s := newSimulation(count)
	s.run(6 * time.Second)
	sent := &traffic{}
	s.onMessage = func(_, _ string, message any) { sent.add(b, message) }
	for i := range max(1, count/1000) {
		delete(s.cores, s.vms[i].Name)
	}
	began := time.Now()
	lowest := count
	s.cores[s.vms[count-1].Name].SetVersion(2)
	spread := time.Duration(0)
	for at := time.Duration(0); at < measuredTime; at += ProbeInterval {
		s.run(ProbeInterval)
		if spread == 0 && s.adoptNewest(2) >= count-max(1, count/1000)-count/1000 {
			spread = at + ProbeInterval
		}
	}
	cpu := time.Since(began)
	for _, c := range s.cores {
		lowest = min(lowest, c.CountHeard(0, 4*time.Second, s.now))
	}
	nodeSeconds := float64(count) * measuredTime.Seconds()
	b.ReportMetric(float64(sent.messages)/nodeSeconds, "messages/s")
	b.ReportMetric(float64(sent.bytes)/nodeSeconds, "bytes/s")
	b.ReportMetric(100*cpu.Seconds()/nodeSeconds, "%core")
	b.ReportMetric((heapBytes()-before)/float64(count)/1024, "heapKB")
	b.ReportMetric(spread.Seconds(), "spread-s")
	b.ReportMetric(100*float64(lowest)/float64(len(s.cores)), "%heard")
	runtime.KeepAlive(s)
}

// adoptNewest lets each node put the highest version that it has heard of in force. It
// returns how many nodes have at least version in force.
func (s *simulation) adoptNewest(version uint64) int {
	count := 0
	for _, c := range s.cores {
		c.SetVersion(c.MaxVersion())
		if c.version >= version {
			count++
		}
	}
	return count
}
