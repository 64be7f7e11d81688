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
		"as many as allowed": {count: maxInWindow(pressingRate) - 1, last: admitted{start, start.Add(rateWindow)}},
		"one more":           {count: maxInWindow(pressingRate), last: admitted{start, start.Add(rateWindow)}, isBroken: true},
		"run later":          {count: maxInWindow(pressingRate), last: admitted{start, start.Add(rateWindow + 1)}},
		"sent later":         {count: maxInWindow(pressingRate), last: admitted{start.Add(rateWindow + 1), start.Add(rateWindow + 2)}},
	} {
		s, _ := newTestStatements()
		r := &s.rate
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

// TestLoweredRateBindsInTime checks from which window on a lower rate binds, that a fault puts that off, and that the
// higher rate binds again as soon as it is sent.
func TestLoweredRateBindsInTime(t *testing.T) {
	at := func(seconds float64) time.Time {
		return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
	}
	for _, c := range []struct {
		from  float64
		fault bool
		want  int
	}{
		{from: 0, want: pressingRate},
		{from: 17.9, want: pressingRate},
		{from: 18.2, want: loweredPressingRate},
		{from: 18.2, fault: true, want: pressingRate},
		{from: 34.9, want: loweredPressingRate},
		{from: 35.1, want: pressingRate},
	} {
		j := newJudge()
		f := newInForce(j)
		for i, lowered := range []bool{false, true, false} {
			f.noteSent(configuration{loweredRate: lowered}, at([]float64{0, 10, 40}[i]))
			f.noteAck(at([]float64{0, 10, 40}[i] + 0.1))
		}
		if c.fault {
			j.noteFault(at(15), at(16))
		}
		must.Eq(t, c.want, f.maxRate(at(c.from), at(c.from).Add(rateWindow)), must.Sprintf("%+v", c))
	}
}
