package front

import (
	"net"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/request"
)

// heldChain is a chain that serves a statement with the text "held" only when it is let go.
type heldChain struct {
	fakeChain
	release chan struct{}
}

func newHeldChain() *heldChain {
	d, c := &fakeTarget{tx: txIdle}, &heldChain{release: make(chan struct{})}
	c.answer = func(req *request.Request, call *Call) (*request.Response, error) {
		if strings.HasPrefix(call.Text, "held") {
			<-c.release
		}
		return d.answer(req, call)
	}
	return c
}

// fillingStatement is a held statement that leaves no room beyond the sessions' shares.
func fillingStatement() Statement {
	held := stmt(VerbWrite, "held")
	held.Text += strings.Repeat("x", servingLimits.Common+servingLimits.Share-len(held.ID)-len(held.Text))
	return held
}

// startScript runs a session of s that sends the given statements, in a goroutine. The result is valid when the
// session has ended.
func startScript(s *Server, number uint64, statements ...Statement) *scriptedCodec {
	codec := &scriptedCodec{startup: Startup{Service: "orders", Key: "k1"}, statements: statements}
	s.options.NewCodec = func(net.Conn) Codec { return codec }
	conn, _ := net.Pipe()
	sess := newSession(s, conn, number)
	s.wg.Go(func() { sess.runContained(s.ctx) })
	return codec
}

// TestLargeStatementsAtOnceFillTheNode guards against callers that fill the node's memory with large statements
// at the same time. What has no room is refused at once and does not run; small statements and the ends of
// transactions are served.
func TestLargeStatementsAtOnceFillTheNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newHeldChain()
		s := newServer(&c.fakeChain, nil)
		holder := startScript(s, 1, fillingStatement())
		synctest.Wait()
		large := stmt(VerbWrite, strings.Repeat("y", servingLimits.Share+100))
		small := stmt(VerbWrite, strings.Repeat("y", servingLimits.Share/2))
		other := startScript(s, 2, large, small, begin, small, large, small, commit, read)
		synctest.Wait()
		must.Eq(t, "welcome|overloaded I|ok I|ok T|ok T|overloaded E|protocol E|transaction_lost I|ok I",
			strings.Join(other.answers, "|"))
		must.StrNotContains(t, strings.Join(c.seen, "|"), large.Text)
		close(c.release)
		synctest.Wait()
		must.Eq(t, "welcome|ok I", strings.Join(holder.answers, "|"))
		must.Eq(t, 0, s.servingBudget.Held())
		must.Eq(t, "welcome|ok I", strings.Join(runScript(s, large), "|"))
	})
}

// runScript is startScript, and waits for the end of the session.
func runScript(s *Server, statements ...Statement) []string {
	codec := startScript(s, 9, statements...)
	s.wg.Wait()
	return codec.answers
}

// TestSettingsMakeCommitTooLarge guards against a COMMIT that is refused for want of room, since it carries the
// session's settings.
func TestSettingsMakeCommitTooLarge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newHeldChain()
		s := newServer(&c.fakeChain, nil)
		startScript(s, 1, fillingStatement())
		synctest.Wait()
		value := strings.Repeat("v", servingLimits.Share)
		other := startScript(s, 2, begin, set("v", value), commit, begin, write, rollback)
		synctest.Wait()
		must.Eq(t, "welcome|ok T|done T|ok I|overloaded I|overloaded I|protocol I", strings.Join(other.answers, "|"))
		close(c.release)
		synctest.Wait()
	})
}
