package front

import (
	"net"
	"testing"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/request"
)

// panickingCodec panics over the caller's second statement.
type panickingCodec struct {
	scriptedCodec
	read int
}

func (c *panickingCodec) Next() (Statement, error) {
	c.read++
	if c.read == 2 {
		panic("malformed statement")
	}
	return c.scriptedCodec.Next()
}

// TestPanicOverInputEndsOnlyItsSession checks that a statement that makes the codec panic ends its
// session, and that the server goes on to serve others.
func TestPanicOverInputEndsOnlyItsSession(t *testing.T) {
	c := &fakeChain{answer: (&fakeTarget{tx: txIdle}).answer}
	codec := &panickingCodec{scriptedCodec: scriptedCodec{
		startup: Startup{Service: "orders", Key: "k1"}, statements: []Statement{read, read, read},
	}}
	s := newServer(c, codec)
	for range 2 {
		serverConn, callerConn := net.Pipe()
		s.startSession(serverConn)
		s.wg.Wait()
		_ = callerConn.Close()
		codec.read = 0
	}
	must.Eq(t, []string{"welcome", "ok I", "welcome", "ok I"}, codec.answers)
	must.Eq(t, "2", s.Counts.Get("sessions_broken").String())
}

// TestPanicInTheChainEndsTheProcess guards against a panic over one request that ends the process, and
// with it what all other sessions have under way.
func TestPanicInTheChainEndsTheProcess(t *testing.T) {
	c := &fakeChain{answer: func(*request.Request, *Call) (*request.Response, error) { panic("unexpected value") }}
	must.Eq(t, []string{"welcome"}, runSession(t, c, "k1", read, read))
	must.Eq(t, 1, c.ended)
}
