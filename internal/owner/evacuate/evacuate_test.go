package evacuate

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"crocusyoke/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, proptest.Size{Checks: 1000}) }

// start is when the tests begin.
var start = time.Unix(1000, 0)

// TestTargetAlongRandomOrders checks, over random orders, that a target never has both a surcharge and an order,
// that the surcharge only shrinks until it is gone, and that transactions end in time but not at once.
func TestTargetAlongRandomOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var target Target
		now, changedAt, evacuated := start, time.Time{}, false
		surcharge := time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "pause")))
			next := rapid.Bool().Draw(t, "evacuated")
			if target.Set(now, next) != (next != evacuated) {
				t.Fatal("a change was not noticed")
			}
			if next != evacuated {
				evacuated, changedAt, surcharge = next, now, maxSurcharge
			}
			must.Eq(t, evacuated, target.IsEvacuated())
			must.Eq(t, evacuated && now.Sub(changedAt) >= 1500*time.Millisecond, target.EndsTransactions(now, DefaultBound))
			got := target.Surcharge(now)
			if evacuated || changedAt.IsZero() || now.Sub(changedAt) >= RampTime {
				surcharge = 0
			}
			must.LessEq(t, surcharge, got)
			must.GreaterEq(t, 0, got)
			surcharge = got
		}
	})
}

// TestWaitForAHandover checks who waits for the primary of an evacuated domain to hand over, and what those that
// are refused are told.
func TestWaitForAHandover(t *testing.T) {
	for _, c := range []struct {
		name         string
		after, left  time.Duration
		hasSuccessor bool
		wait, retry  time.Duration
	}{
		{"only evacuated targets", 0, time.Minute, false, 0, onlyRetryAfter},
		{"time enough", 0, time.Minute, true, maxHandover, 0},
		{"deadline behind the expected end", time.Second, time.Second, true, time.Second, 0},
		{"deadline before the expected end", 0, time.Second, true, 0, expectedHandover},
		{"overdue", maxHandover, time.Minute, true, 0, overdueRetryAfter},
	} {
		var h Handover
		h.Wait(start, start, true)
		now := start.Add(c.after)
		wait, retry := h.Wait(now, now.Add(c.left), c.hasSuccessor)
		must.Eq(t, c.wait, wait, must.Sprint(c.name))
		must.Eq(t, c.retry, retry, must.Sprint(c.name))
	}
	var h Handover
	h.Wait(start, start, true)
	h.End()
	wait, _ := h.Wait(start.Add(time.Hour), start.Add(2*time.Hour), true)
	must.Eq(t, maxHandover, wait)
}
