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

// add records that slot time was used up to now.
func (u *use) add(now time.Time, used time.Duration) {
	u.time = u.decayed(now) + used.Seconds()
	u.at = now
}

// decayed returns the use in seconds as it counts at now.
func (u *use) decayed(now time.Time) float64 {
	if u.time == 0 {
		return 0
	}
	x := max(0, now.Sub(u.at)).Seconds() / useWindow.Seconds()
	return u.time / (1 + x + x*x/2)
}
