package owner

import (
	"expvar"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"crocusyoke/internal/request"
)

const (
	// errorLinesPerSecond and errorLineBurst bound the log lines about answers with one error code.
	errorLinesPerSecond = 5
	errorLineBurst      = 10
	// maxCodeBytes bounds what is kept of an error code, in bytes.
	maxCodeBytes = 32
	// maxErrorCodes bounds the error codes that are told apart. Further ones count as otherCode.
	maxErrorCodes = 32
	otherCode     = "other"
)

// errorAnswers counts what targets answered with an error, by the target's code. refused are the answers to
// callers' statements, setUp those to statements that set up a connection for a caller's session.
type errorAnswers struct {
	refused, setUp *expvar.Map

	mu       sync.Mutex
	limiters map[string]*lineLimiter
}

// lineLimiter bounds the log lines about one error code, and counts those left out since the last one.
type lineLimiter struct {
	limiter *rate.Limiter
	leftOut int
}

func newErrorAnswers() *errorAnswers {
	return &errorAnswers{refused: new(expvar.Map), setUp: new(expvar.Map), limiters: make(map[string]*lineLimiter)}
}

// record counts one answer, and reports whether it may be logged and how many lines were left out before it.
func (a *errorAnswers) record(now time.Time, code string, setUp bool) (allowed bool, leftOut int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.limiters[code]; !known && len(a.limiters) >= maxErrorCodes {
		code = otherCode
	}
	l, known := a.limiters[code]
	if !known {
		l = &lineLimiter{limiter: rate.NewLimiter(errorLinesPerSecond, errorLineBurst)}
		a.limiters[code] = l
	}
	if setUp {
		a.setUp.Add(code, 1)
	} else {
		a.refused.Add(code, 1)
	}
	if !l.limiter.AllowN(now, 1) {
		l.leftOut++
		return false, 0
	}
	leftOut, l.leftOut = l.leftOut, 0
	return true, leftOut
}

// recordErrorAnswer counts and logs the exchange of req if a target answered it, or the set-up before it, with
// an error.
func (g *group) recordErrorAnswer(peer string, req *request.Request, o *exchangeResult) {
	code, step := o.reply.Code, "statement"
	refused := o.setUpRefused()
	if refused != nil {
		code, step = refused.Code, "set up"
	}
	if code == "" {
		return
	}
	code = code[:min(len(code), maxCodeBytes)]
	allowed, leftOut := g.manager.counts.errorAnswers.record(o.answeredAt, code, refused != nil)
	if !allowed {
		return
	}
	_ = g.options.Logger.Log("event", "error answer", "code", code, "step", step, "target", peer, "group", g.name,
		"kind", req.Kind, "customer", req.Customer, "session", req.ID.Session, "left_out", leftOut)
}
