// Package clock is the only way decision code learns the time. Everything that
// decides takes a Clock or a time.Time, so that a test or a bench can drive it.
package clock

import (
	"context"
	"time"
)

// Clock tells the time and waits.
type Clock interface {
	// Now returns the current time with a monotonic reading.
	Now() time.Time
	// Sleep waits for d or until ctx ends, and returns ctx's error in that case.
	Sleep(ctx context.Context, d time.Duration) error
}

// Wall is the machine's clock.
type Wall struct{}

// Now implements Clock.
func (Wall) Now() time.Time { return time.Now() }

// Sleep implements Clock.
func (Wall) Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
