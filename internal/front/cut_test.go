package front

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"crocusyoke/internal/request"
	"crocusyoke/internal/requestlog"
)

// testCaller is a caller whose session speaks the protocol of wordCodec.
type testCaller struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

// connectTo starts a session of s and logs in.
func connectTo(t *testing.T, s *Server) *testCaller {
	t.Helper()
	serverConn, callerConn := net.Pipe()
	s.startSession(serverConn)
	c := &testCaller{t: t, conn: callerConn, in: bufio.NewReader(callerConn)}
	c.write("startup")
	must.Eq(t, "welcome", c.readLine())
	return c
}

func (c *testCaller) write(text string) {
	c.t.Helper()
	_, err := io.WriteString(c.conn, text+"\n")
	must.NoError(c.t, err)
}

// readLine returns the next line, or "EOF" at the end of the connection.
func (c *testCaller) readLine() string {
	line, err := c.in.ReadString('\n')
	if err != nil {
		return "EOF"
	}
	return strings.TrimSpace(line)
}

func (c *testCaller) send(text string) string {
	c.t.Helper()
	c.write(text)
	return c.readLine()
}

// newLoggedServer returns a server whose callers speak the protocol of wordCodec, and what it logs.
func newLoggedServer(c *fakeChain) (*Server, *strings.Builder) {
	s, lines := newServer(c, nil), &strings.Builder{}
	s.options.NewCodec = newWordCodec
	s.options.MaxConnections = 10
	s.gate = s.newGate()
	s.options.Log = requestlog.New(log.NewLogfmtLogger(log.NewSyncWriter(lines)))
	return s, lines
}

// TestStopCutsASessionWithoutALine guards against a stop that ends a session under a statement without a
// line that says which request was lost, how old it was, where it was and why it was cut.
func TestStopCutsASessionWithoutALine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeChain{answer: func(*request.Request, *Call) (*request.Response, error) {
			time.Sleep(time.Hour)
			return nil, errors.New("too late")
		}}
		s, lines := newLoggedServer(c)
		connectTo(t, s)
		connectTo(t, s).write("r")
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		must.ErrorIs(t, s.Drain(ctx), context.DeadlineExceeded)
		s.options.Log.Flush()
		must.Eq(t, "event=request id=q session=n1.2 outcome=cut why=\"the stop's time is over\" step=serving verb=read age=3s "+
			"owner=n2 customer=maker service=orders stopping=true\n", lines.String())
		must.Eq(t, "1", s.Counts.Get("sessions_cut").String())
		time.Sleep(time.Hour)
	})
}

// TestCallerThatLeftCountsAsCut guards against lines about callers that had closed their connections before
// the answer, among which those about sessions that the node cut are lost.
func TestCallerThatLeftCountsAsCut(t *testing.T) {
	for _, cause := range []error{syscall.EPIPE, syscall.ECONNRESET, os.ErrDeadlineExceeded} {
		s, lines := newLoggedServer(&fakeChain{})
		serverConn, callerConn := net.Pipe()
		sess := newSession(s, serverConn, 1)
		sess.beginStatement(&read)
		sess.handleWriteError(&net.OpError{Op: "write", Err: cause})
		s.options.Log.Flush()
		must.Eq(t, errors.Is(cause, os.ErrDeadlineExceeded), strings.Contains(lines.String(), "outcome=cut"))
		_ = callerConn.Close()
	}
}
