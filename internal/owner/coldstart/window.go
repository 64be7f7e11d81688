package coldstart

import "time"

// Window counts the requests that this node sends to one target. A request counts from Take, which comes before it is
// sent, until Length after End, which comes once it is answered or given up. So of any requests that were sent
// within one second, the one that was taken last has found all others counted, however long each was on its way.
type Window struct {
	underWay int
	// ended holds the ends of the last Length, the oldest first.
	ended []time.Time
}

// Take counts one more request if fewer than share are counted, and reports whether it did.
func (w *Window) Take(now time.Time, share int) bool {
	if w.counted(now) >= share {
		return false
	}
	w.underWay++
	return true
}

// End ends a request that Take has counted. sent is false if it was provably not sent.
func (w *Window) End(now time.Time, sent bool) {
	w.underWay--
	if sent {
		w.ended = append(w.ended, now)
	}
}

// IsEmpty reports whether no request is counted.
func (w *Window) IsEmpty(now time.Time) bool { return w.counted(now) == 0 }

func (w *Window) counted(now time.Time) int {
	old := 0
	for old < len(w.ended) && now.Sub(w.ended[old]) >= Length {
		old++
	}
	w.ended = w.ended[:copy(w.ended, w.ended[old:])]
	return w.underWay + len(w.ended)
}

// Wait estimates how long a request waits until Take succeeds, behind the given number of others. Requests under way
// are taken to end at once.
func (w *Window) Wait(now time.Time, share, ahead int) time.Duration {
	if share <= 0 {
		return Length
	}
	counted := w.counted(now)
	behind := counted + ahead - share
	switch {
	case behind < 0:
		return 0
	case behind < len(w.ended):
		return w.ended[behind].Add(Length).Sub(now)
	case behind < counted:
		return Length
	default:
		return Length * time.Duration(2+(behind-counted)/share)
	}
}
