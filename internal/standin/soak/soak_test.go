package soak

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestScheduleIsRepeatable checks that a seed gives the same schedule, another seed another one, and that
// every kind of event comes in a few of them, faults in the mixed phases only.
func TestScheduleIsRepeatable(t *testing.T) {
	const length = 2 * time.Minute
	must.Eq(t, Draw(ScheduleAll, 7, length), Draw(ScheduleAll, 7, length))
	must.NotEq(t, Draw(ScheduleAll, 7, length), Draw(ScheduleAll, 8, length))
	seen := map[Kind]bool{}
	for seed := range uint64(5) {
		for _, event := range Draw(ScheduleAll, seed, length) {
			seen[event.Kind] = true
			must.False(t, event.Kind.IsFault() && (event.At/phaseLength)%2 == 0, must.Sprintf("%+v", event))
		}
	}
	for _, kind := range append(slices.Clone(morePlanned), faultKinds...) {
		must.True(t, seen[kind], must.Sprint(kind))
	}
}

// TestWideScheduleHasAllKinds checks that the wide schedule has every kind of event, faults in the mixed phases
// only, and that the schedules that are noted with seeds have none of the kinds that came later.
func TestWideScheduleHasAllKinds(t *testing.T) {
	const length = 2 * time.Minute
	later := []Kind{KindRate, KindGrow, KindShrink, KindSettings, KindRestore, KindLag}
	seen := map[Kind]bool{}
	for seed := range uint64(5) {
		for _, event := range Draw(ScheduleWide, seed, length) {
			seen[event.Kind] = true
			must.False(t, event.Kind.IsFault() && (event.At/phaseLength)%2 == 0, must.Sprintf("%+v", event))
		}
		for _, event := range Draw(ScheduleAll, seed, length) {
			must.False(t, slices.Contains(later, event.Kind))
		}
	}
	for seed := range uint64(5) {
		for _, event := range Draw(SchedulePlanned, seed, length) {
			seen[event.Kind] = true
			must.False(t, event.Kind.IsFault(), must.Sprintf("%+v", event))
		}
	}
	for _, kind := range slices.Concat(morePlanned, faultKinds, later) {
		must.True(t, seen[kind], must.Sprint(kind))
	}
}

// TestRecordIsPlannedWork checks that the schedule of the record has no faults, and that its events come
// both within and after the time that one of them takes.
func TestRecordIsPlannedWork(t *testing.T) {
	var overlapping, inSeries bool
	events := Draw(ScheduleRecord, 7, 5*time.Minute)
	for i, event := range events {
		must.False(t, event.Kind.IsFault())
		if i > 0 {
			gap := event.At - events[i-1].At
			overlapping = overlapping || gap < leadTime
			inSeries = inSeries || gap > leadTime
		}
	}
	must.True(t, overlapping && inSeries)
}

// TestFaultsExcuse checks which requests a fault excuses: those that it overlaps, and those that were sent
// within stableTime after it.
func TestFaultsExcuse(t *testing.T) {
	at := func(seconds int) time.Time { return time.Unix(1000+int64(seconds), 0) }
	j := newJudge()
	j.noteFault(at(10), at(12))
	for _, c := range []struct {
		from, to int
		want     bool
	}{{8, 9, false}, {8, 11, true}, {11, 12, true}, {13, 14, true}, {15, 16, true}, {17, 18, false}} {
		must.Eq(t, c.want, j.isExcused(at(c.from), at(c.to)), must.Sprintf("%+v", c))
	}
}

// TestViolationsAreCounted checks that a violation breaks its rule, and that reports stay bounded.
func TestViolationsAreCounted(t *testing.T) {
	j := newJudge()
	j.check(ruleKept, true, "")
	must.SliceEmpty(t, j.broken())
	for i := range 2 * maxViolations {
		j.check(ruleKept, false, "item %d is missing", i)
	}
	j.check(ruleOnce, false, "item 1 is there twice")
	j.check(ruleOnce, false, "item 1 is there twice")
	must.Eq(t, []string{ruleKept, ruleOnce}, slices.Sorted(slices.Values(j.broken())))
	must.Eq(t, 2, j.rules[ruleOnce].Broken)
	must.Len(t, 1, j.rules[ruleOnce].Violations)
	must.Eq(t, 1+2*maxViolations, j.rules[ruleKept].Checked)
	must.Len(t, maxViolations, j.rules[ruleKept].Violations)
}
