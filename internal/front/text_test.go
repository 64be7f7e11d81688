package front

import (
	"errors"
	"net"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"crocusyoke/internal/request"
	"crocusyoke/internal/requestlog"
)

// detailCodec is a scriptedCodec that records the detail of refusals.
type detailCodec struct{ scriptedCodec }

func (c *detailCodec) Refuse(refusal *request.Refusal, _ byte) { c.Reject(refusal) }

func (c *detailCodec) Reject(refusal *request.Refusal) {
	c.answers = append(c.answers, refusal.Detail)
}

// TestRefusalIsLongerThanAMessage guards against answers and log lines that repeat a caller's text of nearly
// 1 MiB, so that an answer is longer than a message may be.
func TestRefusalIsLongerThanAMessage(t *testing.T) {
	long := strings.Repeat("\xff", 1_000_000)
	c := &fakeChain{answer: func(*request.Request, *Call) (*request.Response, error) {
		return nil, request.Refuse(request.CodeOutcomeUnknown, "exchange", "t1", "odd answer %s", long).WithCause(errors.New(long))
	}}
	statements := []Statement{execute(long), deallocate(long), read}
	for i := range statements {
		statements[i].ID = long
	}
	codec := &detailCodec{scriptedCodec{startup: Startup{Service: "orders", Key: "k1"}, statements: statements}}
	s, lines := newServer(c, codec), &strings.Builder{}
	s.options.Log = requestlog.New(log.NewLogfmtLogger(log.NewSyncWriter(lines)))
	runCodec(s)
	stranger := &detailCodec{scriptedCodec{startup: Startup{Service: long, Key: "k1"}}}
	s.options.NewCodec = func(net.Conn) Codec { return stranger }
	runCodec(s)
	s.options.Log.Flush()
	answers := append(codec.answers, stranger.answers...)
	must.SliceLen(t, 5, answers)
	for _, answer := range answers {
		must.Less(t, 1<<10, len(answer))
	}
	must.Eq(t, 3, strings.Count(lines.String(), "\n"))
	must.Less(t, 32<<10, lines.Len())
}

// TestCutText checks that a text is cut between two runes and marked.
func TestCutText(t *testing.T) {
	must.Eq(t, `"\x00`+strings.Repeat("x", maxQuoted-1)+`..."`, quote("\x00"+strings.Repeat("x", 100)))
	must.Eq(t, "name", cutText("name", 4))
	must.Eq(t, "name...", cutText("names", 4))
	for limit := 4; limit < 10; limit++ {
		short := cutText("a\u00e9\u20ac\U0001f600z\u20ac", limit)
		must.True(t, utf8.ValidString(short))
		must.LessEq(t, limit+len(cutMark), len(short))
	}
	must.Eq(t, 8+len(cutMark), len(cutText(strings.Repeat("\x80", 20), 12)))
}
