package comeback

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestCallersComeBackInOrder plays random refusals. Each caller comes back within its bounds, and within the spread
// one pace behind the one before of its priority, and after those that are more urgent.
func TestCallersComeBackInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Plan
		now := time.Unix(0, 0)
		last := map[int]time.Time{}
		for range rapid.IntRange(1, 200).Draw(t, "refusals") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "pause")) * time.Millisecond)
			priority := rapid.IntRange(0, 3).Draw(t, "priority")
			earliest := time.Duration(rapid.IntRange(0, 500).Draw(t, "earliest")) * time.Millisecond
			pace := time.Duration(rapid.IntRange(1, 30).Draw(t, "pace")) * time.Millisecond
			wait := p.Next(now, priority, earliest, pace)
			first := max(MinWait, earliest)
			must.GreaterEq(t, first, wait)
			must.LessEq(t, first+MaxSpread, wait)
			at := now.Add(wait)
			for other, before := range last {
				if other <= priority && before.After(now) && !before.After(now.Add(first+MaxSpread)) {
					must.True(t, !at.Before(before), must.Sprint("comes back before one that goes ahead"))
				}
			}
			last[priority] = at.Add(pace)
		}
	})
}

// TestSpreadStartsAgain: callers for which the spread has no room left share it with those before them.
func TestSpreadStartsAgain(t *testing.T) {
	var p Plan
	now := time.Unix(0, 0)
	seen := map[time.Duration]int{}
	for range 250 {
		seen[p.Next(now, 0, 0, MaxSpread/100)]++
	}
	for _, n := range seen {
		must.LessEq(t, 3, n)
	}
}

// TestSpreadStartsAgainBehindUrgentCallers: bulk callers for which the spread has no room left come back no earlier
// than the more urgent callers that were refused before.
func TestSpreadStartsAgainBehindUrgentCallers(t *testing.T) {
	var p Plan
	now := time.Unix(0, 0)
	urgent := time.Duration(0)
	for range 30 {
		urgent = p.Next(now, 0, 0, 10*time.Millisecond)
	}
	for range 500 {
		must.Greater(t, urgent, p.Next(now, 1, 0, 10*time.Millisecond))
	}
}
