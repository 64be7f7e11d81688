package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/standin/hosted"
)

// TestColdTargetsGetFew checks which requests break the rule: those beyond the bound within a second that one process
// gets while it is cold. Set-ups and polls do not count.
func TestColdTargetsGetFew(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		count       int
		every, from time.Duration
		text        string
		restarts    bool
		isBroken    bool
	}{
		{count: coldBound, every: time.Millisecond, text: "READ i"},
		{count: coldBound + 1, every: time.Millisecond, text: "READ i", isBroken: true},
		{count: coldBound + 1, every: time.Millisecond, text: "AFTER 1.1 READ i", isBroken: true},
		{count: coldBound + 1, every: time.Second/coldBound + time.Millisecond, text: "READ i"},
		{count: coldBound + 1, every: time.Millisecond, text: "ROLLBACK", from: coldStart - time.Second, isBroken: true},
		{count: coldBound + 1, every: time.Millisecond, text: "READ i", from: coldStart},
		{count: coldBound + 1, every: time.Millisecond, text: "READ i", restarts: true},
		{count: 99, every: time.Millisecond, text: "SET a b"},
		{count: 99, every: time.Millisecond, text: "STATUS"},
	} {
		cold := newColdTargets(newJudge())
		for i := range c.count {
			st := hosted.Statement{ID: "-", Target: "pages-1", Text: c.text, StartedAt: start, ReceivedAt: start.Add(c.from + time.Duration(i)*c.every)}
			if c.restarts && i > 0 {
				st.StartedAt = start.Add(time.Nanosecond)
			}
			cold.observe(st)
		}
		must.Eq(t, c.isBroken, cold.judge.rules[ruleCold].Broken > 0, must.Sprintf("%+v", c))
	}
}

// TestHomesBind checks which arrivals break the rule: those outside the homes of the route or of the customer.
func TestHomesBind(t *testing.T) {
	for i, c := range []struct {
		group, kind, customer, target string
		isBroken                      bool
	}{
		{"proofs", kindProofs, "maker", "proofs-1", false},
		{"proofs", kindProofs, "maker", "proofs-3", true},
		{"proofs", kindOrders, "maker", "proofs-3", false},
		{"proofs", kindOrders, "maker-b", "proofs-3", true},
		{"proofs", kindOrders, "maker-b", "proofs-2+1", false},
		{"pages", kindProofs, "maker-b", "pages-2", true},
		{"pages", kindProofs, "maker-b", "pages-1", true},
	} {
		s, j := newTestStatements()
		st := &sent{id: fmt.Sprint(i), group: c.group, kind: c.kind, customer: c.customer}
		s.note(st)
		s.observeArrival(hosted.Statement{ID: st.id, Target: c.target})
		s.observeArrival(hosted.Statement{ID: "-", Target: c.target})
		must.Eq(t, c.isBroken, j.rules[ruleHome].Broken == 1, must.Sprintf("%+v", c))
	}
}
