package pgfront

import (
	"context"
	"math/rand/v2"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/shoenig/test/must"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/filter"
	"crocusyoke/internal/request"
)

// instant answers at once with a prepared answer.
type instant struct{ response request.Response }

func (i *instant) Serve(_ context.Context, req *request.Request) (*request.Response, error) {
	response := i.response
	response.ID = req.ID
	return &response, nil
}

func (i *instant) End(string)                                          {}
func (i *instant) Owner(string) (string, bool, bool)                   { return "", true, true }
func (i *instant) Open(string) request.Handler                         { return i }
func (i *instant) Admit(context.Context, string) (bool, time.Duration) { return true, 0 }
func (i *instant) Settle(string, bool)                                 {}

// bench is one caller's connection through the callers' port and all filters.
type bench struct {
	b      testing.TB
	owner  *instant
	socket net.Conn
	frames *frames
	buffer []byte
}

func newBench(b testing.TB) *bench {
	owner := &instant{}
	return connectBench(b, owner, newBenchFront(b, owner))
}

func newBenchFront(b testing.TB, owner *instant) *front {
	return newFront(b, func(o *Options) {
		chain := filter.New(filter.Options{
			Config: o.Config, Quota: owner, Clock: clock.Wall{}, Random: rand.New(rand.NewPCG(1, 1)),
			Local: owner, Sessions: owner, Owners: owner,
		})
		o.Chain, o.Auth, o.Session = chain, chain.Auth, chain.Session
	})
}

func connectBench(b testing.TB, owner *instant, f *front) *bench {
	socket, err := net.Dial("tcp", f.address)
	must.NoError(b, err)
	b.Cleanup(func() { socket.Close() })
	c := &bench{b: b, owner: owner, socket: socket, frames: newFrames(socket)}
	c.send(startup(b, testKey))
	return c
}

// send writes input and reads until ReadyForQuery.
func (c *bench) send(input []byte) {
	if _, err := c.socket.Write(input); err != nil {
		c.b.Fatal(err)
	}
	for {
		var kind byte
		var err error
		c.buffer, kind, err = c.frames.next(c.buffer[:0], 1<<20)
		if err != nil || kind == 'E' {
			c.b.Fatalf("answer %q, error %v", c.buffer, err)
		}
		if kind == 'Z' {
			return
		}
	}
}

// answer makes the owner answer what it will be sent for messages.
func (c *bench) answer(messages []byte) {
	c.owner.response = request.Response{
		TxStatus: txIdle,
		Messages: local{column: "v", value: "1", tag: "SELECT 1"}.answer(nil, messages, txIdle),
	}
}

func (c *bench) encode(messages ...pgproto3.FrontendMessage) []byte {
	var out []byte
	for _, m := range messages {
		var err error
		out, err = m.Encode(out)
		must.NoError(c.b, err)
	}
	return out
}

func (c *bench) run(b *testing.B, input []byte) {
	b.ReportAllocs()
	for b.Loop() {
		c.send(input)
	}
}

func BenchmarkSimple(b *testing.B) {
	c := newBench(b)
	input := c.encode(&pgproto3.Query{String: "select v from orders where id = 17"})
	c.answer(input)
	c.run(b, input)
}

func BenchmarkPrepared(b *testing.B) {
	c := newBench(b)
	parse := &pgproto3.Parse{Name: "s1", Query: "select v from orders where id = $1"}
	prepare := c.encode(parse, &pgproto3.Sync{})
	c.answer(prepare)
	c.send(prepare)
	input := c.encode(
		&pgproto3.Bind{PreparedStatement: "s1", Parameters: [][]byte{[]byte("17")}},
		&pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Sync{})
	c.answer(append(c.encode(parse), input...))
	c.run(b, input)
}

// BenchmarkCallers is BenchmarkSimple by many callers at once.
func BenchmarkCallers(b *testing.B) {
	const callers = 64
	owner := &instant{}
	f := newBenchFront(b, owner)
	var all [callers]*bench
	for i := range all {
		all[i] = connectBench(b, owner, f)
	}
	input := all[0].encode(&pgproto3.Query{String: "select v from orders where id = 17"})
	all[0].answer(input)
	b.ReportAllocs()
	b.ResetTimer()
	var left atomic.Int64
	left.Store(int64(b.N))
	var group sync.WaitGroup
	for _, c := range all {
		group.Go(func() {
			for left.Add(-1) >= 0 {
				c.send(input)
			}
		})
	}
	group.Wait()
}

func BenchmarkLocal(b *testing.B) {
	c := newBench(b)
	c.run(b, c.encode(&pgproto3.Query{String: "set crocusyoke.request_id = 'order-17'"}))
}

// BenchmarkLoopback is the same exchange with a bare server, for comparison.
func BenchmarkLoopback(b *testing.B) {
	near, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(b, err)
	defer near.Close()
	go func() {
		socket, err := near.Accept()
		if err != nil {
			return
		}
		defer socket.Close()
		answer := local{column: "v", value: "1", tag: "SELECT 1"}.answer(nil, rollback, txIdle)
		in, buffer := newFrames(socket), []byte(nil)
		for err == nil {
			if buffer, _, err = in.next(buffer[:0], 1<<20); err == nil {
				_, err = socket.Write(answer)
			}
		}
	}()
	socket, err := net.Dial("tcp", near.Addr().String())
	must.NoError(b, err)
	defer socket.Close()
	c := &bench{b: b, socket: socket, frames: newFrames(socket)}
	c.run(b, c.encode(&pgproto3.Query{String: "select v from orders where id = 17"}))
}

// BenchmarkIdleCallers reports what an idle caller without TLS holds: heap and stacks, and
// with them the 4 KiB read buffer of the benchmark's own end.
func BenchmarkIdleCallers(b *testing.B) {
	const callers = 500
	owner := &instant{}
	f := newBenchFront(b, owner)
	owner.response = request.Response{TxStatus: txIdle, Messages: ready(nil, txIdle)}
	for b.Loop() {
		before := memory()
		for range callers {
			c := connectBench(b, owner, f)
			c.send(c.encode(&pgproto3.Query{String: "select 1"}))
		}
		b.ReportMetric(float64(memory()-before)/callers, "B/caller")
	}
}

func memory() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}
