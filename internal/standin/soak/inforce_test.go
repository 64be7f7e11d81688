package soak

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestLateConfigurationIsFound checks, for a key that is withdrawn at 10 s and back at 20 s, at which times it may
// be accepted and refused.
func TestLateConfigurationIsFound(t *testing.T) {
	at := func(seconds float64) time.Time {
		return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
	}
	for _, c := range []struct {
		sentAt    float64
		isAllowed bool
		fault     bool
		broken    int
	}{
		{sentAt: 9, isAllowed: true},
		{sentAt: 9, isAllowed: false, broken: 1},
		{sentAt: 11, isAllowed: true},
		{sentAt: 11, isAllowed: false},
		{sentAt: 12.9, isAllowed: true},
		{sentAt: 13.2, isAllowed: true, broken: 1},
		{sentAt: 13.2, isAllowed: true, fault: true},
		{sentAt: 13.2, isAllowed: false},
		{sentAt: 22.9, isAllowed: false},
		{sentAt: 23.2, isAllowed: false, broken: 1},
		{sentAt: 23.2, isAllowed: true},
	} {
		j := newJudge()
		f := newInForce(j)
		for i, withoutKey := range []bool{false, true, false} {
			f.noteSent(configuration{withoutKey: withoutKey}, at(float64(10*i)))
			f.noteAck(at(float64(10*i) + 0.1))
		}
		if c.fault {
			j.noteFault(at(12), at(13))
		}
		f.observe(outcome{node: "a", boot: "a 1", subject: subjectKey, isAllowed: c.isAllowed, sentAt: at(c.sentAt), endAt: at(c.sentAt + 0.01)})
		must.Eq(t, c.broken, j.rules[ruleInForce].Broken, must.Sprintf("%+v", c))
	}
}

// TestReturnToOlderConfigurationIsFound checks that a process that has dropped a route may not take it up again,
// other than for requests that were sent before, and that another process may.
func TestReturnToOlderConfigurationIsFound(t *testing.T) {
	at := func(millis int) time.Time { return time.Unix(1000, 0).Add(time.Duration(millis) * time.Millisecond) }
	for name, c := range map[string]struct {
		boot             string
		sentAt, endAt    int
		isAllowed, later bool
		broken           int
	}{
		"still dropped":         {boot: "a 1", sentAt: 2000, endAt: 2010},
		"taken up again":        {boot: "a 1", sentAt: 2000, endAt: 2010, isAllowed: true, broken: 1},
		"back in the meantime":  {boot: "a 1", sentAt: 2000, endAt: 2010, isAllowed: true, later: true},
		"sent shortly after":    {boot: "a 1", sentAt: 1300, endAt: 2010, isAllowed: true},
		"another process":       {boot: "a 2", sentAt: 2000, endAt: 2010, isAllowed: true},
		"before it was written": {boot: "a 1", sentAt: 100, endAt: 200, isAllowed: true},
	} {
		j := newJudge()
		f := newInForce(j)
		f.noteSent(configuration{}, at(0))
		f.noteAck(at(1))
		f.noteSent(configuration{withoutJobs: true}, at(500))
		f.noteAck(at(501))
		f.observe(outcome{boot: "a 1", subject: subjectRoute, sentAt: at(600), endAt: at(610)})
		if c.later {
			f.noteSent(configuration{}, at(1500))
		}
		f.observe(outcome{boot: c.boot, subject: subjectRoute, isAllowed: c.isAllowed, sentAt: at(c.sentAt), endAt: at(c.endAt)})
		must.Eq(t, c.broken, j.rules[ruleNoReturn].Broken, must.Sprint(name))
	}
}

// TestReturnAmongManyConfigurationsIsFound checks that a process that has refused a withdrawn key and then accepted it
// again may not refuse it again.
func TestReturnAmongManyConfigurationsIsFound(t *testing.T) {
	at := func(seconds float64) time.Time {
		return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
	}
	j := newJudge()
	f := newInForce(j)
	for i, withoutKey := range []bool{false, false, true, false} {
		f.noteSent(configuration{withoutKey: withoutKey}, at(float64(10*i)))
		f.noteAck(at(float64(10*i) + 0.1))
	}
	for _, o := range []struct {
		sentAt    float64
		isAllowed bool
	}{{9, true}, {20.5, false}, {20.9, true}, {22, false}, {30.2, true}, {30.4, false}, {30.6, true}, {33, false}} {
		must.Zero(t, j.rules[ruleNoReturn].Broken, must.Sprintf("%+v", o))
		f.observe(outcome{boot: "a 1", subject: subjectKey, isAllowed: o.isAllowed, sentAt: at(o.sentAt), endAt: at(o.sentAt + 0.01)})
	}
	must.Eq(t, 1, j.rules[ruleNoReturn].Broken)
}
