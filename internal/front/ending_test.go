package front

import (
	"bufio"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/controller/drain"
)

// TestStopCutsAnIdleTransaction guards against a stop that closes the connection of an open transaction at
// its limit, at whatever moment that is, instead of ending its session in the time for answers.
func TestStopCutsAnIdleTransaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newSlowTarget(nil)
		s, _ := newLoggedServer(d.chain)
		s.options.Chain = d
		caller := connectTo(t, s)
		must.Eq(t, "ok", caller.send("begin"))
		drained := startDrain(t, s)
		must.NoError(t, <-drained)
	})
}

// starvedConn delivers what has arrived only after lag, as in a process that gets no processor.
type starvedConn struct {
	net.Conn
	lag atomic.Int64
}

func (c *starvedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	time.Sleep(time.Duration(c.lag.Load()))
	return n, err
}

// TestStopCutsAStatementThatWasJustRead guards against a connection that is closed between the arrival of a
// statement of an open transaction and its refusal.
func TestStopCutsAStatementThatWasJustRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newSlowTarget(nil)
		s, _ := newLoggedServer(d.chain)
		s.options.Chain = d
		serverConn, callerConn := net.Pipe()
		starved := &starvedConn{Conn: serverConn}
		s.startSession(starved)
		caller := &testCaller{t: t, conn: callerConn, in: bufio.NewReader(callerConn)}
		must.Eq(t, "welcome", caller.send("startup"))
		must.Eq(t, "ok", caller.send("begin"))
		drained := startDrain(t, s)
		const lag = 20 * time.Millisecond
		starved.lag.Store(int64(lag))
		time.Sleep(stopTime - answerTime/2 - lag/2)
		must.Eq(t, "transaction_lost", caller.send("write"))
		must.NoError(t, <-drained)
	})
}

// TestTransactionHasLessThanHalfOfTheGracePeriod guards against a drain that refuses statements of an open
// transaction within the half of the grace period that it has to end: the drain begins after Settle, at once
// if the announcement takes no time.
func TestTransactionHasLessThanHalfOfTheGracePeriod(t *testing.T) {
	const gracePeriod = 6 * time.Second
	begins := time.Duration(0)
	for _, stage := range drain.BalancerPlan {
		if stage.Step == drain.Settle {
			begins = stage.MaxDuration
		}
	}
	must.GreaterEq(t, gracePeriod/2, begins+transactionTime)
}

// TestCutIsNotLoggedAfterAnIdleOne guards against a cut that leaves no line because the limit was reached
// in the moment before the statement was read.
func TestCutIsNotLoggedAfterAnIdleOne(t *testing.T) {
	s, _ := newLoggedServer(&fakeChain{})
	serverConn, callerConn := net.Pipe()
	defer callerConn.Close()
	sess := newSession(s, serverConn, 1)
	must.True(t, sess.open())
	sess.cut(cutAtLimit)
	sess.beginStatement(&read)
	sess.logCut(cutByWrite, errors.New("closed"))
	must.NotNil(t, s.Counts.Get("sessions_cut"))
}

// halfCloser is a connection with a sending side of its own.
type halfCloser struct{ net.Conn }

func (halfCloser) CloseWrite() error { return nil }

// TestRejectedCallerHoldsAConnection guards against a caller that was turned away and takes the place of
// another one until it closes.
func TestRejectedCallerHoldsAConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newLoggedServer(&fakeChain{})
		s.options.MaxConnections = 1
		s.options.NewCodec = func(conn net.Conn) Codec { return &deniedCodec{newWordCodec(conn)} }
		serverConn, callerConn := net.Pipe()
		s.startSession(halfCloser{serverConn})
		caller := &testCaller{t: t, conn: callerConn, in: bufio.NewReader(callerConn)}
		must.StrContains(t, caller.send("startup"), "bad_key")
		synctest.Wait()
		s.options.NewCodec = newWordCodec
		otherConn, secondConn := net.Pipe()
		s.startSession(otherConn)
		second := &testCaller{t: t, conn: secondConn, in: bufio.NewReader(secondConn)}
		_, _ = secondConn.Write([]byte("startup\n"))
		got := second.readLine()
		_ = callerConn.Close()
		_ = secondConn.Close()
		must.Eq(t, "welcome", got)
	})
}

// deniedCodec is a codec whose caller presents a wrong key.
type deniedCodec struct{ Codec }

func (c *deniedCodec) Startup() (Startup, error) {
	startup, err := c.Codec.Startup()
	startup.Key = "wrong"
	return startup, err
}

// TestStopTakesAStatementWithoutTimeToAnswerIt guards against a single statement that is taken in the time
// that a drain has reserved for answers.
func TestStopTakesAStatementWithoutTimeToAnswerIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newSlowTarget(map[string]time.Duration{"rollback": stopTime - answerTime})
		s, _ := newLoggedServer(d.chain)
		s.options.Chain = d
		caller := connectTo(t, s)
		drained := startDrain(t, s)
		for range (stopTime - answerTime) / idleReadTime * 2 {
			must.Eq(t, "done", caller.send("set"))
			time.Sleep(idleReadTime / 2)
		}
		must.Eq(t, "shutdown", caller.send("r"))
		must.NoError(t, <-drained)
		must.SliceEmpty(t, d.chain.seen)
	})
}
