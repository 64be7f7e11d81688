package balance

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var start = time.Unix(1, 0)

// TestPickedTargetIsAboutAsGood checks the package's invariant for all draws.
func TestPickedTargetIsAboutAsGood(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 10).Draw(t, "targets")
		options := make([]Option, n)
		for i := range options {
			options[i] = Option{
				Target: i,
				Cost:   time.Duration(rapid.IntRange(0, 4000).Draw(t, "cost")) * time.Microsecond,
				Load: Load{
					Slots: rapid.IntRange(1, 8).Draw(t, "slots"), Own: rapid.IntRange(0, 12).Draw(t, "own"),
					Others: rapid.Float64Range(0, 12).Draw(t, "others"),
				},
			}
		}
		random := rapid.Uint64().Draw(t, "random")
		given := append([]Option(nil), options...)
		picked := given[Pick(random, options)]
		for _, o := range given {
			must.LessEq(t, o.Cost+Margin, picked.Cost)
			if o.Cost <= picked.Cost {
				must.Less(t, picked.Load.room()+1, o.Load.room())
			}
		}
		must.Eq(t, picked.Target, Pick(random, given))
	})
}

// TestNodesThatKnowTheSamePickDifferentTargets is the crowd that arrives at many nodes at once: all know that the same
// three targets are free.
func TestNodesThatKnowTheSamePickDifferentTargets(t *testing.T) {
	var picked [3]int
	for random := range uint64(300) {
		picked[Pick(random, []Option{{Target: 0}, {Target: 1}, {Target: 2}})]++
	}
	must.Eq(t, [3]int{100, 100, 100}, picked)
}

// TestOwnPlacementsCountAtOnce checks that a node's statements since the last report count against a target.
func TestOwnPlacementsCountAtOnce(t *testing.T) {
	full, free := Load{Slots: 4, Own: 3}, Load{Slots: 4, Own: 1}
	for random := range uint64(10) {
		must.Eq(t, 1, Pick(random, []Option{{Target: 0, Load: full}, {Target: 1, Load: free}}))
	}
}

// TestOldReportsCountLess checks what a report says of other nodes as it ages, and if it is missing.
func TestOldReportsCountLess(t *testing.T) {
	r := NewReport(start, 7, 3)
	must.Eq(t, 4, r.Others(start))
	must.Eq(t, 4, r.Others(start.Add(-time.Millisecond)))
	must.Eq(t, 2, r.Others(start.Add(ReportLifetime/2)))
	must.Eq(t, 0, r.Others(start.Add(ReportLifetime)))
	must.Eq(t, 0, NewReport(start, 2, 3).Others(start))
	must.Eq(t, 0, Report{}.Others(time.Time{}))
}

// TestOthersProlongTheWait checks that only statements beyond the slots prolong a wait, and this node's own not twice.
func TestOthersProlongTheWait(t *testing.T) {
	const slotTime = 8 * time.Millisecond
	must.Eq(t, 0, Load{Slots: 4, Own: 1, Others: 2, SlotTime: slotTime}.ExtraWait())
	must.Eq(t, slotTime/4, Load{Slots: 4, Own: 1, Others: 3, SlotTime: slotTime}.ExtraWait())
	must.Eq(t, slotTime/2, Load{Slots: 4, Own: 6, Others: 2, SlotTime: slotTime}.ExtraWait())
	must.Eq(t, 0, Load{Slots: 4, Own: 6, SlotTime: slotTime}.ExtraWait())
}

// TestFreeTime checks that a target's free time grows only while it has a free slot.
func TestFreeTime(t *testing.T) {
	var f FreeTime
	must.Eq(t, 0, f.Total(start))
	f.Set(start, true)
	f.Set(start.Add(2*time.Second), false)
	f.Set(start.Add(5*time.Second), true)
	must.Eq(t, 3*time.Second, f.Total(start.Add(6*time.Second)))
}
