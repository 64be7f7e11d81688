package node

import (
	"context"
	"sync"
	"time"

	"crocusyoke/internal/clock"
)

const (
	// pulseInterval is the time between two beats of a pulse.
	pulseInterval = 100 * time.Millisecond
	// pulseGap is the shortest time without a beat after which the process counts as not having run.
	pulseGap = 500 * time.Millisecond
)

// pulse notices when this process does not run for a while, for lack of processor time or because it was
// stopped. A signal that was sent meanwhile is noticed only afterwards.
type pulse struct {
	clock clock.Clock

	mu     sync.Mutex
	beatAt time.Time
	// gapFrom and gapUntil are the beginning and the end of the last time in which the process did not run.
	gapFrom, gapUntil time.Time
}

func newPulse(c clock.Clock) *pulse { return &pulse{clock: c, beatAt: c.Now()} }

// run beats until ctx ends.
func (p *pulse) run(ctx context.Context) error {
	for p.clock.Sleep(ctx, pulseInterval) == nil {
		p.beat(p.clock.Now())
	}
	return nil
}

func (p *pulse) beat(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.beatAt) > pulseGap {
		p.gapFrom, p.gapUntil = p.beatAt, now
	}
	p.beatAt = now
}

// sentAfter returns the earliest time at which a signal may have been sent that is noticed at now.
func (p *pulse) sentAfter(now time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case now.Sub(p.beatAt) > pulseGap:
		return p.beatAt
	case now.Sub(p.gapUntil) < pulseInterval:
		return p.gapFrom
	default:
		return now
	}
}
