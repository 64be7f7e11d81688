package front

import (
	"net"
	"testing"

	"github.com/shoenig/test/must"
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
