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
	"crocusyoke/internal/region"
	"crocusyoke/internal/request"
)

// instantOwner is a fake owner that answers every request at once with the same response.
// It also stands in for the quota, the sessions and the table of owners.
type instantOwner struct{ response request.Response }

func (i *instantOwner) Serve(_ context.Context, req *request.Request) (*request.Response, error) {
	response := i.response
	response.ID = req.ID
	return &response, nil
}

func (i *instantOwner) End(string)                                    {}
func (i *instantOwner) Owner(string, region.Set) (string, bool, bool) { return "", true, true }

func (i *instantOwner) Allows(string, region.Set) bool { return true }

func (i *instantOwner) Doubt(string)                                             {}
func (i *instantOwner) Open(string) request.Handler                              { return i }
func (i *instantOwner) Admit(context.Context, string, int) (bool, time.Duration) { return true, 0 }
func (i *instantOwner) Settle(string, bool)                                      {}

// benchClient is a caller connected to a Server with the whole filter chain.
type benchClient struct {
	b      testing.TB
	owner  *instantOwner
	socket net.Conn
	reader *messageReader
	buffer []byte
}

func newBenchClient(b testing.TB) *benchClient {
	owner := &instantOwner{}
	return connectBenchClient(b, owner, newBenchServer(b, owner))
}

func newBenchServer(b testing.TB, owner *instantOwner) *testServer {
	return newTestServer(b, func(o *Options) {
		chain := filter.New(filter.Options{
			Config: o.Config, Quota: owner, Clock: clock.Wall{}, Random: rand.New(rand.NewPCG(1, 1)),
			Local: owner, Sessions: owner, Owners: owner,
		})
		o.Chain, o.Auth, o.Session = chain, chain.Auth, chain.Session
	})
}

func connectBenchClient(b testing.TB, owner *instantOwner, f *testServer) *benchClient {
	socket, err := net.Dial("tcp", f.address)
	must.NoError(b, err)
	b.Cleanup(func() { socket.Close() })
	c := &benchClient{b: b, owner: owner, socket: socket, reader: newMessageReader(socket, nil)}
	c.send(startupMessages(b, testKey))
	return c
}

// send writes input and reads until ReadyForQuery. It fails the benchmark on an error.
func (c *benchClient) send(input []byte) {
	if _, err := c.socket.Write(input); err != nil {
		c.b.Fatal(err)
	}
	for {
		var kind byte
		var err error
		c.buffer, kind, err = c.reader.readMessage(c.buffer[:0], 1<<20)
		if err != nil || kind == 'E' {
			c.b.Fatalf("answer %q, error %v", c.buffer, err)
		}
		if kind == 'Z' {
			return
		}
	}
}

// setAnswerTo sets the owner's response to the answer to messages, which must be those that
// reach the owner.
func (c *benchClient) setAnswerTo(messages []byte) {
	c.owner.response = request.Response{
		TxStatus: txIdle,
		Messages: localAnswer{column: "v", value: "1", tag: "SELECT 1"}.appendAnswer(nil, messages, txIdle),
	}
}

func (c *benchClient) encode(messages ...pgproto3.FrontendMessage) []byte {
	var out []byte
	for _, m := range messages {
		var err error
		out, err = m.Encode(out)
		must.NoError(c.b, err)
	}
	return out
}

func (c *benchClient) run(b *testing.B, input []byte) {
	b.ReportAllocs()
	for b.Loop() {
		c.send(input)
	}
}

func BenchmarkSimple(b *testing.B) {
	c := newBenchClient(b)
	input := c.encode(&pgproto3.Query{String: "select v from orders where id = 17"})
	c.setAnswerTo(input)
	c.run(b, input)
}

func BenchmarkPrepared(b *testing.B) {
	c := newBenchClient(b)
	parse := &pgproto3.Parse{Name: "s1", Query: "select v from orders where id = $1"}
	prepare := c.encode(parse, &pgproto3.Sync{})
	c.setAnswerTo(prepare)
	c.send(prepare)
	input := c.encode(
		&pgproto3.Bind{PreparedStatement: "s1", Parameters: [][]byte{[]byte("17")}},
		&pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Sync{})
	c.setAnswerTo(append(c.encode(parse), input...))
	c.run(b, input)
}

// BenchmarkCallers runs the query of BenchmarkSimple from many concurrent callers.
func BenchmarkCallers(b *testing.B) {
	const callers = 64
	owner := &instantOwner{}
	f := newBenchServer(b, owner)
	var all [callers]*benchClient
	for i := range all {
		all[i] = connectBenchClient(b, owner, f)
	}
	input := all[0].encode(&pgproto3.Query{String: "select v from orders where id = 17"})
	all[0].setAnswerTo(input)
	b.ReportAllocs()
	b.ResetTimer()
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	var group sync.WaitGroup
	for _, c := range all {
		group.Go(func() {
			for remaining.Add(-1) >= 0 {
				c.send(input)
			}
		})
	}
	group.Wait()
}

func BenchmarkLocal(b *testing.B) {
	c := newBenchClient(b)
	c.run(b, c.encode(&pgproto3.Query{String: "set crocusyoke.request_id = 'order-17'"}))
}

// BenchmarkLoopback is the baseline: the exchange of BenchmarkSimple with a server that does
// nothing but read messages and write a constant answer.
func BenchmarkLoopback(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(b, err)
	defer listener.Close()
	go func() {
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		defer socket.Close()
		answer := localAnswer{column: "v", value: "1", tag: "SELECT 1"}.appendAnswer(nil, rollbackMessage, txIdle)
		in, buffer := newMessageReader(socket, nil), []byte(nil)
		for err == nil {
			if buffer, _, err = in.readMessage(buffer[:0], 1<<20); err == nil {
				_, err = socket.Write(answer)
			}
		}
	}()
	socket, err := net.Dial("tcp", listener.Addr().String())
	must.NoError(b, err)
	defer socket.Close()
	c := &benchClient{b: b, socket: socket, reader: newMessageReader(socket, nil)}
	c.run(b, c.encode(&pgproto3.Query{String: "select v from orders where id = 17"}))
}

// BenchmarkIdleCallers reports the memory in heap and stacks per idle caller without TLS. The
// figure includes the 4 KiB read buffer of the benchmark's own end of the connection.
func BenchmarkIdleCallers(b *testing.B) {
	const callers = 500
	owner := &instantOwner{}
	f := newBenchServer(b, owner)
	owner.response = request.Response{TxStatus: txIdle, Messages: appendReadyForQuery(nil, txIdle)}
	for b.Loop() {
		before := memoryInUse()
		for range callers {
			c := connectBenchClient(b, owner, f)
			c.send(c.encode(&pgproto3.Query{String: "select 1"}))
		}
		b.ReportMetric(float64(memoryInUse()-before)/callers, "B/caller")
	}
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage collection.
func memoryInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}
