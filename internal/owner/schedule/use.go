package schedule

import "time"

// useWindow is the time constant of use.
const useWindow = 500 * time.Millisecond

// maxAheadShare bounds the share of the slots that is taken to go to more urgent work. It is what
// passedOver leaves to it at most.
const maxAheadShare = float64(passedOverGrants) / (passedOverGrants + 1)

// use is the slot time used lately, with older use counted less.
type use struct {
	at   time.Time
	time float64
}

// add records that a slot was used up to now. Of a long use the older part counts less, so that one statement never
// counts for more than its slot.
func (u *use) add(now time.Time, used time.Duration) {
	u.time = u.decayed(now) + (1-decay(used))*useWindow.Seconds()
	u.at = now
}

// decayed returns the use in seconds as it counts at now.
func (u *use) decayed(now time.Time) float64 {
	if u.time == 0 {
		return 0
	}
	return u.time * decay(now.Sub(u.at))
}

// decay returns the factor by which use counts less after a time, which is close to that of exponential decay.
func decay(after time.Duration) float64 {
	x := max(0, after).Seconds() / useWindow.Seconds()
	return 1 / (1 + x + x*x/2)
}
