package soak

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/standin/hosted"
)

// TestNameUnknownAtTargetIsFound guards against an EXEC that a target got under a name that is not prepared there,
// though its caller's PREPARE was acknowledged, and that the proxy then answers with another code.
func TestNameUnknownAtTargetIsFound(t *testing.T) {
	s, j := newTestStatements()
	st, ran := sentExec(nil)
	s.note(st)
	ran.Prepared, ran.Result = nil, "NOSTMT"
	s.observe("pages", ran)
	s.noteAnswer(st, &answer{code: "BUSY", endAt: time.Unix(1000, 0)})
	s.settle(time.Unix(1001, 0))
	must.Eq(t, []string{ruleSetup}, j.broken())
}

// TestRefusalOfWellFormedStatementIsFound guards against a proxy that answers with MALFORMED what the wire's page
// allows, such as shapes and values with blanks.
func TestRefusalOfWellFormedStatementIsFound(t *testing.T) {
	s, j := newTestStatements()
	c := newSetup()
	for _, q := range []request{setRequest("tz", "a b"), prepareRequest("s", hosted.Prepared{Kind: hosted.KindRead, Shape: "q READ w"}), c.execRequest("s1", "i x")} {
		st := &sent{request: q, id: q.text, group: "pages"}
		s.note(st)
		s.noteAnswer(st, &answer{code: "MALFORMED", endAt: time.Unix(1000, 0)})
	}
	s.settle(time.Unix(1001, 0))
	must.SliceNotEmpty(t, j.broken())
}
