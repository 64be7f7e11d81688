package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/clock"
)

// TestStopCountsFromASignalNoticedLate checks from when the limit of a stop counts: from the signal, unless
// the process had not run right before, whether its pulse beats again before the signal is noticed or not.
func TestStopCountsFromASignalNoticedLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPulse(clock.Wall{})
		start := time.Now()
		at := func(d time.Duration) time.Time { return start.Add(d) }
		p.beat(at(100 * time.Millisecond))
		must.Eq(t, at(150*time.Millisecond), p.sentAfter(at(150*time.Millisecond)))
		must.Eq(t, at(600*time.Millisecond), p.sentAfter(at(600*time.Millisecond)))
		must.Eq(t, at(100*time.Millisecond), p.sentAfter(at(1660*time.Millisecond)))
		p.beat(at(1660 * time.Millisecond))
		must.Eq(t, at(100*time.Millisecond), p.sentAfter(at(1670*time.Millisecond)))
		must.Eq(t, at(1800*time.Millisecond), p.sentAfter(at(1800*time.Millisecond)))
	})
}

// TestStopNoticedLateEndsInTime checks that the limit of a stop is shortened by the time in which the
// process did not run before it, but never below a second.
func TestStopNoticedLateEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &Node{clock: clock.Wall{}, pulse: newPulse(clock.Wall{})}
		must.Eq(t, 6*time.Second, n.remainingStop(6*time.Second))
		time.Sleep(1560 * time.Millisecond)
		must.Eq(t, 6*time.Second-1560*time.Millisecond, n.remainingStop(6*time.Second))
		time.Sleep(time.Minute)
		must.Eq(t, minStop, n.remainingStop(6*time.Second))
	})
}
