package change

import (
	"context"
	"sync"
	"time"

	"crocusyoke/internal/peer"
)

// serialCaller forwards calls to caller one at a time.
type serialCaller struct {
	mu     sync.Mutex
	caller peer.Caller
}

func (s *serialCaller) Call(ctx context.Context, address string, kind peer.Kind, request, reply any) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.caller.Call(ctx, address, kind, request, reply)
}

// sleepHookClock calls onSleep before each sleep.
type sleepHookClock struct {
	*stepClock
	onSleep func()
}

func (c *sleepHookClock) Sleep(ctx context.Context, d time.Duration) error {
	c.onSleep()
	return c.stepClock.Sleep(ctx, d)
}
