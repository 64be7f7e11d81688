package soak

import (
	"testing"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/standin/hosted"
)

// TestAnswerOfAnotherIsFound checks which successes are not what a target answered.
func TestAnswerOfAnotherIsFound(t *testing.T) {
	ran := []hosted.Statement{{ID: "1", Target: "pages-1", Rows: []string{" a "}}, {ID: "1", Target: "pages-2"}}
	for name, c := range map[string]struct {
		text     string
		ran      []hosted.Statement
		answer   answer
		isBroken bool
	}{
		"the target's":           {text: "READ x", ran: ran[:1], answer: answer{digest: "pages-1.1", rows: []string{" a "}}},
		"that of the second run": {text: "READ x", ran: ran, answer: answer{digest: "pages-2.1"}},
		"rows of the other run":  {text: "READ x", ran: ran, answer: answer{digest: "pages-2.1", rows: []string{" a "}}, isBroken: true},
		"a row without a blank":  {text: "READ x", ran: ran, answer: answer{digest: "pages-1.1", rows: []string{" a"}}, isBroken: true},
		"another's digest":       {text: "READ x", ran: ran, answer: answer{digest: "pages-1.2", rows: []string{" a "}}, isBroken: true},
		"run by nothing":         {text: "COMMIT", answer: answer{digest: noDigest}, isBroken: true},
		"refused by the target":  {text: "COMMIT", ran: []hosted.Statement{{ID: "1", Target: "pages-1", Result: "READONLY"}}, answer: answer{digest: "pages-1.1"}, isBroken: true},
		"a refusal":              {text: "READ x", answer: answer{code: "BUSY"}},
		"an end of the node's":   {text: "ROLLBACK", answer: answer{digest: noDigest}},
		"a BEGIN of a target":    {text: "BEGIN", answer: answer{digest: "pages-1.1"}, isBroken: true},
	} {
		s, j := newTestStatements()
		st := &sent{request: request{text: c.text, begins: c.text == "BEGIN"}, id: "1", group: "pages"}
		s.note(st)
		for _, statement := range c.ran {
			statement.Text = c.text
			s.observe("pages", statement)
		}
		s.noteAnswer(st, &c.answer)
		must.Eq(t, c.isBroken, j.rules[ruleAnswer].Broken > 0, must.Sprint(name))
	}
}

// TestRecentItemsAreFew checks that a database keeps the newest items only.
func TestRecentItemsAreFew(t *testing.T) {
	d := &database{}
	must.Eq(t, "", d.recentItem(0))
	for range maxRecentItems {
		d.noteRecent("old")
	}
	d.noteRecent("new")
	must.Len(t, maxRecentItems, d.recent)
	must.Eq(t, "new", d.recentItem(maxRecentItems-1))
}

// TestAnswerIsReadUnchanged checks that the blanks of rows and digests are kept.
func TestAnswerIsReadUnchanged(t *testing.T) {
	var a answer
	for _, line := range []string{"ROW  a\t \r\n", "ROW \r\n", "COMPLETE t1.1\r\n", "READY T 1.7\r\n"} {
		a.take(line)
	}
	must.Eq(t, []string{" a\t ", ""}, a.rows)
	must.Eq(t, "t1.1", a.digest)
	must.Eq(t, "T", a.state)
	must.True(t, a.acknowledged())
}
