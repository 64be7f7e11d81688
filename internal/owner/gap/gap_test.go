package gap

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// TestFailover replays requests of 1 s that arrive every 100 ms while a primary is lost for
// 2 s: the early ones are refused at once with the time to come back at, the late ones wait.
func TestFailover(t *testing.T) {
	g := New(start)
	g.Note(at(50*time.Millisecond), true)
	g.Note(at(time.Second), true)
	g.Note(at(1100*time.Millisecond), false)
	for arrival := 1100 * time.Millisecond; arrival < 3*time.Second; arrival += 100 * time.Millisecond {
		wait, retry := g.Wait(at(arrival), at(arrival+time.Second))
		if arrival < 2*time.Second {
			must.Eq(t, 0, wait)
			must.Eq(t, 3*time.Second-arrival, max(retry, 0))
			continue
		}
		must.Greater(t, 0, wait)
		must.LessEq(t, time.Second, wait)
	}
}

// TestUnknownEnd: once the gap lasts longer than expected nobody waits.
func TestUnknownEnd(t *testing.T) {
	g := New(start)
	g.Note(start, true)
	g.Note(at(time.Second), false)
	wait, retry := g.Wait(at(4*time.Second), at(30*time.Second))
	must.Eq(t, 0, wait)
	must.Eq(t, retryUnknown, retry)
}

// TestLearns: the next gap is expected to be as long as the last one; one that was only late
// evidence teaches nothing.
func TestLearns(t *testing.T) {
	g := New(start)
	g.Note(start, true)
	g.Note(at(100*time.Millisecond), false)
	g.Note(at(150*time.Millisecond), true)
	must.Eq(t, firstLength, g.expected)
	g.Note(at(time.Second), false)
	g.Note(at(3150*time.Millisecond), true)
	must.Eq(t, 3*time.Second, g.expected)
	_, retry := g.Wait(at(3200*time.Millisecond), at(4*time.Second))
	must.Eq(t, 2950*time.Millisecond, retry)
}
