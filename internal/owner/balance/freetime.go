package balance

import "time"

// FreeTime adds up the time for which a target had a free slot. The zero value is a target that has had none.
type FreeTime struct {
	total time.Duration
	since time.Time
	free  bool
}

// Set records whether the target has a free slot from now on.
func (f *FreeTime) Set(now time.Time, free bool) {
	f.total = f.Total(now)
	f.since, f.free = now, free
}

// Total returns the sum up to now.
func (f *FreeTime) Total(now time.Time) time.Duration {
	if !f.free {
		return f.total
	}
	return f.total + max(0, now.Sub(f.since))
}
