package front

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/request"
)

// largeText is a part of a large statement.
var largeText = strings.Repeat("x", 10*largeRead)

// startLargeRead sends a part of a large statement, in a goroutine.
func (c *testCaller) startLargeRead() {
	go func() { _, _ = io.WriteString(c.conn, largeText) }()
}

// statusCodec is a wordCodec that writes the transaction status behind a refusal.
type statusCodec struct{ *wordCodec }

func (c *statusCodec) Refuse(refusal *request.Refusal, tx byte) {
	c.buf += refusal.Code.Name + " " + string(tx) + "\n"
}

// TestHalfSentStatementsFillTheNode guards against callers that fill the node's memory with statements that they
// do not send to the end. Others wait in sending, are refused in the end, and get their turn later; small
// statements are served.
func TestHalfSentStatementsFillTheNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeChain{answer: (&fakeTarget{tx: txIdle}).answer}
		s, lines := newLoggedServer(c)
		s.options.NewCodec = func(conn net.Conn) Codec { return &statusCodec{newWordCodec(conn).(*wordCodec)} }
		s.options.MaxConnections = 2 * maxLargeReads
		s.gate = s.newGate()
		var callers []*testCaller
		for range maxLargeReads + 2 {
			callers = append(callers, connectTo(t, s))
		}
		for _, holder := range callers[2:] {
			holder.startLargeRead()
		}
		synctest.Wait()
		waiting, small := callers[0], callers[1]
		must.Eq(t, "ok", waiting.send("begin"))
		waiting.startLargeRead()
		must.Eq(t, "ok", small.send("r"))
		began := time.Now()
		must.Eq(t, "overloaded E", waiting.readLine())
		must.Eq(t, "EOF", waiting.readLine())
		must.Eq(t, largeReadWait, time.Since(began))
		must.Eq(t, "ok", callers[2].send("end"))
		small.startLargeRead()
		synctest.Wait()
		must.Eq(t, "ok", small.send("end"))
		for _, holder := range callers[3:] {
			must.Eq(t, "timeout I", holder.readLine())
			must.Eq(t, "EOF", holder.readLine())
		}
		must.Eq(t, "ok", callers[2].send("r"))
		must.Eq(t, 0, len(s.largeReads))
		closeAll(callers)
		s.wg.Wait()
		s.options.Log.Flush()
		must.StrContains(t, lines.String(), "outcome=overloaded")
	})
}

// TestLongServiceEndsTheReadOfTheNextStatement guards against a large statement whose time to read ends the
// session after it has been read.
func TestLongServiceEndsTheReadOfTheNextStatement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeChain{answer: (&fakeTarget{tx: txIdle}).answer}
		s, _ := newLoggedServer(c)
		caller := connectTo(t, s)
		must.Eq(t, "ok", caller.send(largeText))
		time.Sleep(2 * largeReadTime)
		must.Eq(t, "ok", caller.send(largeText))
		closeAll([]*testCaller{caller})
		s.wg.Wait()
	})
}

// largeSetCodec is a wordCodec whose statements all set a session setting.
type largeSetCodec struct{ *wordCodec }

func (c *largeSetCodec) Next() (Statement, error) {
	st, err := c.wordCodec.Next()
	return set("v", st.Text), err
}

// TestTurnOutlastsTheRead guards against a session that keeps its turn to read while its statement is served, or
// after an answer of the node itself.
func TestTurnOutlastsTheRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newHeldChain()
		s, _ := newLoggedServer(&c.fakeChain)
		served := connectTo(t, s)
		served.write("held" + largeText)
		synctest.Wait()
		must.Eq(t, 0, len(s.largeReads))
		close(c.release)
		must.Eq(t, "ok", served.readLine())

		s.options.NewCodec = func(conn net.Conn) Codec { return &largeSetCodec{newWordCodec(conn).(*wordCodec)} }
		serverConn, callerConn := net.Pipe()
		s.startSession(serverConn)
		caller := &testCaller{t: t, conn: callerConn, in: bufio.NewReader(callerConn)}
		must.Eq(t, "welcome", caller.send(largeText))
		must.Eq(t, 0, len(s.largeReads))
		must.Eq(t, "done", caller.send(largeText))
		must.Eq(t, 0, len(s.largeReads))
		closeAll([]*testCaller{served, caller})
		s.wg.Wait()
	})
}

// TestStopWaitsForATurn guards against a stop that waits for a session that waits for its turn to read.
func TestStopWaitsForATurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newLoggedServer(&fakeChain{})
		for range maxLargeReads {
			s.largeReads <- struct{}{}
		}
		caller := connectTo(t, s)
		caller.startLargeRead()
		synctest.Wait()
		began := time.Now()
		s.cancel()
		must.Eq(t, "overloaded", caller.readLine())
		must.Eq(t, 0, time.Since(began))
		closeAll([]*testCaller{caller})
		s.wg.Wait()
	})
}

func closeAll(callers []*testCaller) {
	for _, c := range callers {
		_ = c.conn.Close()
	}
}

// TestLateStallEndsTheNextRead guards against a session whose large statement was read just as its time to read was
// over, and whose caller is later refused something although it has sent nothing.
func TestLateStallEndsTheNextRead(t *testing.T) {
	ours, theirs := net.Pipe()
	c := &statementConn{Conn: ours, turns: make(chan struct{}, 1), stopped: t.Context()}
	must.True(t, c.beginTurn())
	c.endStalledRead()
	c.endTurn()
	must.NoError(t, ours.SetReadDeadline(time.Time{}))
	must.NoError(t, theirs.Close())
	_, err := c.Read(make([]byte, 1))
	must.ErrorIs(t, err, io.EOF)
}
