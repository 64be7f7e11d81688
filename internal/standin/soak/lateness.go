package soak

import (
	"sync"
	"time"
)

const (
	// latenessInterval is how long the meter sleeps, latenessWindow the span of which it keeps the worst value.
	latenessInterval = 5 * time.Millisecond
	latenessWindow   = 100 * time.Millisecond
)

// lateness measures by how much this process wakes late: its times are no more exact than that.
type lateness struct {
	mu    sync.Mutex
	worst map[int64]time.Duration
}

func windowOf(at time.Time) int64 { return at.UnixNano() / int64(latenessWindow) }

// measure runs until hasEnded reports true.
func (l *lateness) measure(hasEnded func() bool) {
	for !hasEnded() {
		began := time.Now()
		time.Sleep(latenessInterval)
		l.note(began, time.Now())
	}
}

// note records a sleep of latenessInterval, in all windows that it touched.
func (l *lateness) note(began, ended time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.worst == nil {
		l.worst = make(map[int64]time.Duration)
	}
	for window := windowOf(began); window <= windowOf(ended); window++ {
		l.worst[window] = max(l.worst[window], ended.Sub(began)-latenessInterval)
	}
}

// during returns the worst lateness from from until to.
func (l *lateness) during(from, to time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	var worst time.Duration
	for window := windowOf(from); window <= windowOf(to); window++ {
		worst = max(worst, l.worst[window])
	}
	return worst
}
