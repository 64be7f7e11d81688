package gap

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// TestWaitDependsOnDeadline sends a request with a 1 s deadline every 100 ms during a gap of
// 2 s: the early ones are refused at once with a retry delay, the late ones wait.
func TestWaitDependsOnDeadline(t *testing.T) {
	g := New(start)
	g.Observe(at(50*time.Millisecond), true)
	g.Observe(at(time.Second), true)
	g.Observe(at(1100*time.Millisecond), false)
	for arrival := 1100 * time.Millisecond; arrival < 3*time.Second; arrival += 100 * time.Millisecond {
		wait, retry := g.MaxWait(at(arrival), at(arrival+time.Second))
		if arrival < 2*time.Second {
			must.Eq(t, 0, wait)
			must.Eq(t, 3*time.Second-arrival, max(retry, 0))
			continue
		}
		must.Greater(t, 0, wait)
		must.LessEq(t, time.Second, wait)
	}
}

// TestOverdueGapIsRefused checks that no request waits once a gap has lasted longer than
// expected.
func TestOverdueGapIsRefused(t *testing.T) {
	g := New(start)
	g.Observe(start, true)
	g.Observe(at(time.Second), false)
	wait, retry := g.MaxWait(at(4*time.Second), at(30*time.Second))
	must.Eq(t, 0, wait)
	must.Eq(t, defaultRetryAfter, retry)
}

// TestEstimateFollowsLastGap checks that the next gap is expected to last as long as the
// previous one, and that a gap short enough to be a late poll leaves the estimate unchanged.
func TestEstimateFollowsLastGap(t *testing.T) {
	g := New(start)
	g.Observe(start, true)
	g.Observe(at(100*time.Millisecond), false)
	g.Observe(at(150*time.Millisecond), true)
	must.Eq(t, initialEstimate, g.expectedLength)
	g.Observe(at(time.Second), false)
	g.Observe(at(3150*time.Millisecond), true)
	must.Eq(t, 3*time.Second, g.expectedLength)
	_, retry := g.MaxWait(at(3200*time.Millisecond), at(4*time.Second))
	must.Eq(t, 2950*time.Millisecond, retry)
}
