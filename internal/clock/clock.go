// Package clock is the only source of time for code that makes decisions. Such code takes a
// Clock or a time.Time, so that tests and benchmarks can control the time.
package clock

import (
	"context"
	"time"
)

// Clock reports the current time and sleeps.
type Clock interface {
	// Now returns the current time with a monotonic reading.
	Now() time.Time
	// Sleep waits for d. If ctx ends earlier, it returns ctx's error at once.
	Sleep(ctx context.Context, d time.Duration) error
}

// Wall is the Clock of the operating system.
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
