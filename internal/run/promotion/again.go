package promotion

import (
	"context"
	"time"
)

const (
	// restoreHorizon is how far back a restore of the store can lose what was written.
	restoreHorizon = time.Minute
	// maxRecentRecords bounds the records that are kept to be written again.
	maxRecentRecords = 16
)

// recentRecord is a promotion that this node has recorded.
type recentRecord struct {
	writer *recorder
	at     time.Time
}

// remember keeps a record that a restore of the store may lose.
func (r *Runner) remember(w *recorder) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recentRecords = append(r.recentRecords, recentRecord{writer: w, at: r.options.Clock.Now()})
	if excess := len(r.recentRecords) - maxRecentRecords; excess > 0 {
		r.recentRecords = r.recentRecords[excess:]
	}
}

// ObserveEra is called with each new era of the store, which begins when the store is restored from
// a copy. Run then records again what this node has recorded within restoreHorizon and the restore
// has lost.
func (r *Runner) ObserveEra(uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock.Now()
	for _, recent := range r.recentRecords {
		if now.Sub(recent.at) < restoreHorizon {
			r.lostRecords = append(r.lostRecords, recent.writer)
		}
	}
	r.recentRecords = nil
}

// recordAgain records the promotions that a restore may have lost, unless the trail has them.
func (r *Runner) recordAgain(ctx context.Context) {
	r.mu.Lock()
	lost := r.lostRecords
	r.lostRecords = nil
	r.mu.Unlock()
	for _, w := range lost {
		w.outcomeUnknown = true
		r.wait.Go(func() { r.write(ctx, w) })
	}
}
