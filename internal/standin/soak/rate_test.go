package soak

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/standin/hosted"
)

// TestRateAboveItsBoundIsFound checks that a window with one operation more than allowed is found, and that
// operations that run later or were sent earlier don't count.
func TestRateAboveItsBoundIsFound(t *testing.T) {
	start := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		count    int
		last     admitted
		isBroken bool
	}{
		"as many as allowed": {count: maxInWindow - 1, last: admitted{start, start.Add(rateWindow)}},
		"one more":           {count: maxInWindow, last: admitted{start, start.Add(rateWindow)}, isBroken: true},
		"run later":          {count: maxInWindow, last: admitted{start, start.Add(rateWindow + 1)}},
		"sent later":         {count: maxInWindow, last: admitted{start.Add(rateWindow + 1), start.Add(rateWindow + 2)}},
	} {
		r := &rateJudge{judge: newJudge()}
		r.note(c.last)
		for range c.count {
			r.note(admitted{start, start.Add(time.Second)})
		}
		r.settle(start)
		must.Eq(t, 0, r.judge.rules[ruleRate].Checked)
		r.settle(start.Add(time.Hour))
		must.Eq(t, c.isBroken, r.judge.rules[ruleRate].Broken > 0, must.Sprint(name))
		must.SliceEmpty(t, r.ops)
	}
}

// TestOperationCountsOnce checks that the rate counts a single statement that ran twice, a transaction, and
// nothing that was refused or is of another customer.
func TestOperationCountsOnce(t *testing.T) {
	s, _ := newTestStatements()
	tx := newTransaction()
	play := func(id string, customer customer, tx *transaction, begins bool, results ...string) {
		st := &sent{request: request{text: "x", transaction: tx, begins: begins}, id: id, customer: customer.name, group: "pages"}
		s.note(st)
		for _, result := range results {
			s.observe("pages", hosted.Statement{ID: id, Text: "x", Customer: customer.name, Result: result})
		}
	}
	play("1", pressingCustomer, nil, false, "", "")
	play("2", pressingCustomer, nil, false, "READONLY")
	play("3", customers[0], nil, false, "")
	must.Len(t, 1, s.rate.ops)
	play("4", pressingCustomer, tx, true, "")
	play("5", pressingCustomer, tx, false, "")
	must.Len(t, 2, s.rate.ops)
}
