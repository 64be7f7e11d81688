package soak

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/standin/hosted"
)

// TestStatementsInAnEvacuatedZone checks which statements break the rule: those that a target of the zone received
// later than the bound and before the order was taken back, unless a fault excuses them.
func TestStatementsInAnEvacuatedZone(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		target string
		after  time.Duration
		broken int
	}{
		{"pages-1", 4 * time.Second, 0},
		{"pages-1", 6 * time.Second, 1},
		{"pages-1+2", 6 * time.Second, 1},
		{"pages-2", 6 * time.Second, 0},
		{"proofs-2", 6 * time.Second, 1},
		{"pages-1", 11 * time.Second, 0},
		{"stitch-3", 8 * time.Second, 0},
	} {
		v := &evacuations{judge: newJudge()}
		order := v.start("b")
		must.Eq(t, -1, v.start("b"))
		v.observe(hosted.Statement{Target: c.target, ReceivedAt: start.Add(c.after)})
		must.Zero(t, v.judge.rules[ruleEvacuated].Checked)
		v.acknowledge(order, start)
		v.end(order, start.Add(10*time.Second))
		if c.target == "stitch-3" {
			v.judge.noteFault(start.Add(5*time.Second), start.Add(6*time.Second))
		}
		v.observe(hosted.Statement{Target: c.target, ReceivedAt: start.Add(c.after)})
		must.Eq(t, c.broken, v.judge.rules[ruleEvacuated].Broken, must.Sprintf("%+v", c))
	}
}
