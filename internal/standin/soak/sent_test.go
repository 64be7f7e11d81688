package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/standin/hosted"
)

// newTestStatements returns a judge's statements, of which the targets' record is not kept.
func newTestStatements() (*statements, *judge) {
	j := newJudge()
	return newStatements(j, func(string) {}), j
}

// sentExec returns an EXEC that a caller has sent, and what a target that runs it rightly records.
func sentExec(tx *transaction) (*sent, hosted.Statement) {
	settings := map[string]string{"tz": " utc"}
	c := setup{settings: settings, prepared: map[string]hosted.Prepared{"s1": {Kind: hosted.KindWrite, Shape: "qb READ x"}}}
	q := c.execRequest("s1", "item1 some data")
	q.item = "item1"
	return &sent{request: q.in(tx, 1), id: "1", group: "pages", customer: "maker", settings: settings}, hosted.Statement{
		ID: "1", Text: "EXEC 7 item1 some data", Customer: "maker", Settings: map[string]string{"tz": " utc"}, Connection: 1,
		Prepared: &hosted.Prepared{Kind: hosted.KindWrite, Shape: "qb READ x"}, Arguments: "item1 some data",
	}
}

// TestStatementWithAnotherSetupIsFound checks which runs of an EXEC break the rules of set-up and of sent
// statements.
func TestStatementWithAnotherSetupIsFound(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*hosted.Statement)
		group  string
		want   []string
	}{
		"as set up":           {change: func(*hosted.Statement) {}},
		"after a position":    {change: func(ran *hosted.Statement) { ran.Text = "AFTER 1.7 " + ran.Text }},
		"refused":             {change: func(ran *hosted.Statement) { ran.Result = "BUSY" }},
		"unknown name":        {change: func(ran *hosted.Statement) { ran.Prepared, ran.Result = nil, "NOSTMT" }, want: []string{ruleSetup}},
		"another shape":       {change: func(ran *hosted.Statement) { ran.Prepared.Shape = "qb" }, want: []string{ruleSetup}},
		"another kind":        {change: func(ran *hosted.Statement) { ran.Prepared.Kind = hosted.KindRead }, want: []string{ruleSetup}},
		"nothing prepared":    {change: func(ran *hosted.Statement) { ran.Prepared = nil }, want: []string{ruleSetup}},
		"a value missing":     {change: func(ran *hosted.Statement) { clear(ran.Settings) }, want: []string{ruleSetup}},
		"another value":       {change: func(ran *hosted.Statement) { ran.Settings["tz"] = "utc" }, want: []string{ruleSetup}},
		"a value too much":    {change: func(ran *hosted.Statement) { ran.Settings["mode"] = "x" }, want: []string{ruleSetup}},
		"another customer":    {change: func(ran *hosted.Statement) { ran.Customer = "t1" }, want: []string{ruleSetup}},
		"another group":       {change: func(*hosted.Statement) {}, group: "stitch", want: []string{ruleSetup}},
		"in a transaction":    {change: func(ran *hosted.Statement) { ran.Transaction = 7 }, want: []string{ruleSetup}},
		"other arguments":     {change: func(ran *hosted.Statement) { ran.Arguments = "READ x item1 some data" }, want: []string{ruleSent}},
		"changed and refused": {change: func(ran *hosted.Statement) { ran.Arguments, ran.Result = "item1", "MALFORMED" }, want: []string{ruleSent}},
		"another statement":   {change: func(ran *hosted.Statement) { ran.Text = "WRITE item1 some data" }, want: []string{ruleSent}},
		"an unknown id":       {change: func(ran *hosted.Statement) { ran.ID = "2" }, want: []string{ruleSent}},
	} {
		s, j := newTestStatements()
		st, ran := sentExec(nil)
		s.note(st)
		c.change(&ran)
		if c.group == "" {
			c.group = "pages"
		}
		s.observe(c.group, ran)
		must.SliceContainsAll(t, c.want, j.broken(), must.Sprint(name))
		must.Eq(t, 1, j.rules[ruleSent].Checked, must.Sprint(name))
	}
}

// TestPlainStatementIsSentUnchanged checks that the text of a statement is compared as a whole.
func TestPlainStatementIsSentUnchanged(t *testing.T) {
	for text, want := range map[string]int{"WRITE i a  b ": 0, "WRITE i a  b": 1, "WRITE i a b ": 1, "WRITE i ": 1} {
		s, j := newTestStatements()
		s.note(&sent{request: request{text: "WRITE i a  b "}, id: "1", group: "pages"})
		s.observe("pages", hosted.Statement{ID: "1", Text: text})
		must.Eq(t, want, j.rules[ruleSent].Broken, must.Sprint(text))
	}
}

// TestStatementOutsideItsTransactionIsFound checks that the statements of a transaction run in one of its
// own.
func TestStatementOutsideItsTransactionIsFound(t *testing.T) {
	for name, c := range map[string]struct {
		begun      []uint64 // by the BEGINs of the transaction
		otherBegun uint64
		ran        []uint64
		broken     int
	}{
		"in its own":                   {begun: []uint64{1}, ran: []uint64{1, 1}},
		"BEGIN not sent on":            {ran: []uint64{1, 1}},
		"BEGIN sent again":             {begun: []uint64{1, 2}, ran: []uint64{2, 2}},
		"outside":                      {begun: []uint64{1}, ran: []uint64{0}, broken: 1},
		"in one that it did not begin": {begun: []uint64{1}, ran: []uint64{2}, broken: 1},
		"in another's":                 {otherBegun: 1, ran: []uint64{1}, broken: 1},
		"on another connection":        {begun: []uint64{1}, ran: []uint64{1, 2}, broken: 1},
		"on two that it began":         {begun: []uint64{1, 2}, ran: []uint64{1, 2}, broken: 1},
	} {
		s, j := newTestStatements()
		play := func(id string, tx *transaction, begins bool, number uint64) {
			s.note(&sent{request: request{text: "x", begins: begins, transaction: tx}, id: id, group: "pages"})
			s.observe("pages", hosted.Statement{ID: id, Text: "x", Transaction: number})
		}
		own, other := newTransaction(), newTransaction()
		if c.otherBegun > 0 {
			play("other", other, true, c.otherBegun)
		}
		for i, number := range c.begun {
			play(fmt.Sprint("begin", i), own, true, number)
		}
		for i, number := range c.ran {
			play(fmt.Sprint("ran", i), own, false, number)
		}
		must.Eq(t, c.broken, j.rules[ruleSetup].Broken, must.Sprint(name))
	}
}

// TestUntruePromiseIsFound checks which answers are untrue if a target ran the statement and its write is in
// the log in the end.
func TestUntruePromiseIsFound(t *testing.T) {
	for name, c := range map[string]struct {
		code          string
		ran, isInLog  bool
		commits       bool
		checked, want int
	}{
		"success":                {ran: true, isInLog: true},
		"outcome unknown":        {code: "INDOUBT", ran: true, isInLog: true},
		"not run":                {code: "BUSY", checked: 1},
		"run and rolled back":    {code: "ABORTED", ran: true, checked: 1},
		"run and kept":           {code: "BUSY", ran: true, isInLog: true, checked: 1, want: 1},
		"malformed, run":         {code: "MALFORMED", ran: true, isInLog: true, checked: 1, want: 1},
		"COMMIT aborted, kept":   {code: "ABORTED", ran: true, isInLog: true, commits: true, checked: 1, want: 1},
		"COMMIT aborted, undone": {code: "ABORTED", ran: true, commits: true, checked: 1},
	} {
		s, j := newTestStatements()
		tx := newTransaction()
		q := request{text: "WRITE item1 x", item: "item1"}
		if c.commits {
			s.note(&sent{request: q.in(tx, 2), id: "write", group: "pages"})
			q = request{text: "COMMIT", commits: true}
		}
		st := &sent{request: q.in(tx, 3), id: "1", group: "pages"}
		s.note(st)
		if c.ran {
			s.observe("pages", hosted.Statement{ID: "1", Text: q.text, Transaction: 1})
		}
		s.noteAnswer(st, &answer{code: c.code, endAt: time.Unix(1000, 0)})
		s.settle(time.Unix(1001, 0))
		writes := map[string]int{}
		if c.isInLog {
			writes["item1"] = 1
		}
		s.judgeLog("stitch", writes)
		s.judgeLog("pages", writes)
		must.Eq(t, c.checked, j.rules[ruleNotRun].Checked, must.Sprint(name))
		must.Eq(t, c.want, j.rules[ruleNotRun].Broken, must.Sprint(name))
	}
}

// TestUnknownNameIsFound checks that NOSTMT breaks a rule if the name was prepared, and a run if it was not.
func TestUnknownNameIsFound(t *testing.T) {
	s, j := newTestStatements()
	st, _ := sentExec(nil)
	s.noteAnswer(st, &answer{code: "BUSY"})
	must.SliceEmpty(t, j.broken())
	s.noteAnswer(st, &answer{code: "NOSTMT"})
	must.Eq(t, []string{ruleSetup}, j.broken())
	c := newSetup()
	s.noteAnswer(&sent{request: c.execRequest("s1", "x")}, &answer{code: "NOSTMT"})
	must.Eq(t, 2, j.rules[ruleSetup].Checked)
	_, ran := sentExec(nil)
	s.note(&sent{request: c.execRequest("s1", ran.Arguments), id: ran.ID, group: "pages", customer: ran.Customer, settings: ran.Settings})
	s.observe("pages", ran)
	must.Eq(t, 2, j.rules[ruleSetup].Broken)
}

// TestMalformedLineThatRanIsFound checks that a run of a statement that may not run is found, and a write of
// an item that nothing may write.
func TestMalformedLineThatRanIsFound(t *testing.T) {
	s, j := newTestStatements()
	s.note(&sent{request: request{text: "STEPDOWN 99", mayNotRun: true}, id: "1", group: "pages"})
	s.noteForbidden("pages", "item1")
	s.observe("pages", hosted.Statement{ID: "1", Text: "STEPDOWN 99", Result: "MALFORMED"})
	s.judgeLog("pages", map[string]int{"item2": 1})
	must.SliceEmpty(t, j.broken())
	s.observe("pages", hosted.Statement{ID: "1", Text: "STEPDOWN 99"})
	must.Eq(t, 1, j.rules[ruleSent].Broken)
	s.judgeLog("pages", map[string]int{"item1": 1})
	must.Eq(t, 2, j.rules[ruleSent].Broken)
}

// TestMalformedLines checks that every kind of line is drawn, and that what may run has an ID of its own.
func TestMalformedLines(t *testing.T) {
	r := &run{}
	random := rand.New(rand.NewPCG(1, 1))
	var half, loneLF, overlong, withoutID int
	for range 10000 {
		id := newStatementID()
		line := r.drawMalformed(random, id)
		body := strings.TrimSuffix(line.raw, "\r\n")
		switch {
		case line.isHalf:
			half++
			must.Eq(t, body, line.raw)
		case line.request == nil:
			withoutID++
		case len(line.raw) > maxLineBytes:
			overlong++
		case strings.Contains(body, "\n"):
			loneLF++
			must.Len(t, 1, line.forbidden)
		}
		must.StrNotContains(t, body, "\r\n")
		must.True(t, line.request != nil || len(line.forbidden) == 1)
		must.True(t, line.request == nil || body == "QUERY "+id+" "+line.request.text)
	}
	must.True(t, min(half, loneLF, overlong, withoutID) > 50)
}

// TestRecordsAreDropped checks that nothing is kept of statements that were answered long ago.
func TestRecordsAreDropped(t *testing.T) {
	var forgotten []string
	s := newStatements(newJudge(), func(id string) { forgotten = append(forgotten, id) })
	tx := newTransaction()
	for i, begins := range []bool{true, false, false} {
		id := fmt.Sprint(i)
		st := &sent{request: request{text: "x", begins: begins, transaction: tx}, id: id, group: "pages"}
		s.note(st)
		s.observe("pages", hosted.Statement{ID: id, Text: "x", Transaction: 9})
		s.noteAnswer(st, &answer{endAt: time.Unix(1000+int64(i), 0)})
	}
	s.settle(time.Unix(1002, 0))
	must.Eq(t, []string{"0", "1"}, forgotten)
	must.MapLen(t, 1, s.byID)
	must.MapLen(t, 1, s.owners)
	s.settle(time.Unix(1003, 0))
	must.MapEmpty(t, s.byID)
	must.MapEmpty(t, s.owners)
	must.SliceEmpty(t, s.answered)
}

// TestDrawnLinesAreAllowed checks that drawn texts have no line end, that items that are written have no
// blanks, and that the longest lines are as long as they may be.
func TestDrawnLinesAreAllowed(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	u := &user{run: &run{}, random: random, route: route{database: &database{}}}
	longest, withBlanks := 0, 0
	for i := range 40000 {
		c := &caller{setup: newSetup(), isPlain: i%2 == 0}
		for range 3 {
			q := u.drawSetup(c)
			q.apply(&c.setup)
			must.False(t, strings.ContainsAny(q.text, "\r\n"))
		}
		q := u.draw(c, i%3 > 0)
		line := "QUERY " + newStatementID() + " " + q.text + "\r\n"
		longest = max(longest, len(line))
		must.False(t, strings.ContainsAny(q.text, "\r\n"))
		must.False(t, strings.Contains(q.item, " "))
		if strings.Count(q.text, " ") > 3 {
			withBlanks++
		}
	}
	must.Eq(t, maxLineBytes, longest)
	must.Greater(t, 1000, withBlanks)
}
