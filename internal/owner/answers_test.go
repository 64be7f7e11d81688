package owner

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"crocusyoke/internal/request"
	"crocusyoke/internal/target"
)

// TestErrorAnswersAreToldApart checks that an answer with an error is counted and logged by its code and by
// whether it was to a statement or to the set-up before it, and that the lines and the codes are bounded.
func TestErrorAnswersAreToldApart(t *testing.T) {
	var out bytes.Buffer
	g := &group{name: "ledger", options: &Options{Logger: log.NewLogfmtLogger(&out)}, manager: &Manager{counts: newCounters(false)}}
	req := &request.Request{ID: request.ID{Session: "n1.7"}, Customer: "maker", Kind: request.KindRead}
	answered := &exchangeResult{reply: target.Reply{Code: "MALFORMED"}, answeredAt: time.Unix(1, 0)}
	refused := &exchangeResult{err: Error.Wrap(&target.SetUpRefused{Code: "BUSY"}), answeredAt: time.Unix(1, 0)}
	g.recordErrorAnswer("db1", req, &exchangeResult{answeredAt: time.Unix(1, 0)})
	must.Eq(t, "", out.String())
	g.recordErrorAnswer("db1", req, answered)
	g.recordErrorAnswer("db1", req, refused)
	must.Eq(t, `event="error answer" code=MALFORMED step=statement target=db1 group=ledger kind=read customer=maker session=n1.7 left_out=0
event="error answer" code=BUSY step="set up" target=db1 group=ledger kind=read customer=maker session=n1.7 left_out=0
`, out.String())
	for range 3 * errorLineBurst {
		g.recordErrorAnswer("db1", req, refused)
	}
	must.Eq(t, errorLineBurst+1, strings.Count(out.String(), "\n"))
	for i := range 2 * maxErrorCodes {
		g.recordErrorAnswer("db1", req, &exchangeResult{reply: target.Reply{Code: fmt.Sprint("x", i, strings.Repeat("x", 100))}, answeredAt: time.Unix(2, 0)})
	}
	answers := g.manager.counts.errorAnswers
	must.NotNil(t, answers.refused.Get("x0"+strings.Repeat("x", maxCodeBytes-2)))
	must.Eq(t, "1", answers.refused.Get("MALFORMED").String())
	must.Eq(t, "31", answers.setUp.Get("BUSY").String())
	must.Eq(t, "34", answers.refused.Get(otherCode).String())
}
