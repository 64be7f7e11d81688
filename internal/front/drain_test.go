package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/logpos"
	"crocusyoke/internal/request"
)

// wordCodec reads each line of its connection as a statement, and writes a line for each answer. A line
// that is no verb of wordVerbs is a READ.
type wordCodec struct {
	in  *bufio.Reader
	out io.Writer
	buf string
}

var wordVerbs = map[string]Verb{"begin": VerbBegin, "write": VerbWrite, "commit": VerbCommit, "rollback": VerbRollback, "set": VerbSet}

func newWordCodec(conn net.Conn) Codec { return &wordCodec{in: bufio.NewReader(conn), out: conn} }

func (c *wordCodec) Startup() (Startup, error) {
	_, err := c.in.ReadString('\n')
	return Startup{Service: "orders", Key: "k1"}, err
}

func (c *wordCodec) Next() (Statement, error) {
	line, err := c.in.ReadString('\n')
	text := strings.TrimSpace(line)
	if verb, ok := wordVerbs[text]; ok {
		return stmt(verb, text), err
	}
	return stmt(VerbRead, text), err
}

func (c *wordCodec) SessionOpened() { c.buf += "welcome\n" }

func (c *wordCodec) Answer(messages []byte, _ byte, _ logpos.Position) {
	c.buf += string(messages) + "\n"
}

func (c *wordCodec) Completed(byte) { c.buf += "done\n" }

func (c *wordCodec) Refuse(refusal *request.Refusal, _ byte) { c.Reject(refusal) }

func (c *wordCodec) Reject(refusal *request.Refusal) { c.buf += refusal.Code.Name + "\n" }

func (c *wordCodec) Flush() error {
	_, err := io.WriteString(c.out, c.buf)
	c.buf = ""
	return err
}

// TestStopDropsAStatementThatWasSent guards against a stop that closes an idle session on a statement
// that its caller has just sent, without an answer.
func TestStopDropsAStatementThatWasSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &fakeTarget{tx: txIdle}
		s := newServer(&fakeChain{answer: d.answer}, nil)
		s.options.NewCodec = newWordCodec
		serverConn, callerConn := net.Pipe()
		s.startSession(serverConn)
		caller := bufio.NewReader(callerConn)
		send := func(text string) string {
			_, err := io.WriteString(callerConn, text+"\n")
			must.NoError(t, err)
			line, err := caller.ReadString('\n')
			must.NoError(t, err)
			return strings.TrimSpace(line)
		}
		must.Eq(t, "welcome", send("startup"))
		must.Eq(t, "ok", send("r"))
		synctest.Wait()
		drained := make(chan error, 1)
		go func() { drained <- s.Drain(t.Context()) }()
		time.Sleep(idleReadTime / 2)
		must.Eq(t, "ok", send("r"))
		_, err := caller.ReadString('\n')
		must.ErrorIs(t, err, io.EOF)
		must.NoError(t, <-drained)
		must.Nil(t, s.Counts.Get("sessions_broken"))
	})
}

// hookedConfig is a source that calls a function before it returns its configuration.
type hookedConfig struct {
	config *fleet.Config
	hook   func()
}

func (s hookedConfig) Current() *fleet.Config {
	s.hook()
	return s.config
}

// TestStopDuringLoginDropsTheFirstStatement guards against a session that is opened to its caller while
// the node begins to stop, and then drops the first statement without an answer.
func TestStopDuringLoginDropsTheFirstStatement(t *testing.T) {
	d := &fakeTarget{tx: txIdle}
	c := &fakeChain{answer: d.answer}
	codec := &scriptedCodec{startup: Startup{Service: "orders", Key: "k1"}, statements: []Statement{read}}
	s := newServer(c, codec)
	ended, end := context.WithCancel(t.Context())
	end()
	s.options.Auth = newAuth(c, hookedConfig{testConfig(), func() { _ = s.Drain(ended) }})
	runCodec(s)
	must.Eq(t, "reject shutdown", strings.Join(codec.answers, "|"))
	must.SliceEmpty(t, c.seen)
}

// starvedCodec reports that the time to read is over before it looks at what has arrived.
type starvedCodec struct {
	scriptedCodec
	late bool
}

func (c *starvedCodec) Next() (Statement, error) {
	if !c.late {
		c.late = true
		return Statement{}, os.ErrDeadlineExceeded
	}
	return c.scriptedCodec.Next()
}

// TestStopMissesAStatementThatHadArrived guards against a session that a stop ends although a statement has
// arrived, because the process got no processor while there was time to read it.
func TestStopMissesAStatementThatHadArrived(t *testing.T) {
	c := &fakeChain{answer: (&fakeTarget{tx: txIdle}).answer}
	codec := &starvedCodec{scriptedCodec: scriptedCodec{startup: Startup{Service: "orders", Key: "k1"}, statements: []Statement{read}}}
	runCodec(newServer(c, codec))
	must.Eq(t, []string{"welcome", "ok I"}, codec.answers)
}
