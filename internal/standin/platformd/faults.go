package platformd

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// faultState holds the faults in force. Every change closes the channel changed, which wakes
// the calls that hang, and replaces it.
type faultState struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
	random  *rand.Rand
}

func newFaultState() *faultState {
	return &faultState{changed: make(chan struct{}), random: newRandom(1)}
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

func (s *faultState) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Seed != 0 {
		s.random = newRandom(f.Seed)
	}
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *faultState) get() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.changed
}

// waitUntilAllowed waits as long as Hang and Slow require and reports whether the call may
// proceed. A call delayed by Slow proceeds even if its caller has given up, so that it may
// take effect after the caller's timeout.
func (s *faultState) waitUntilAllowed(ctx context.Context) bool {
	for {
		f, changed := s.get()
		if f.Outage {
			return false
		}
		if !f.Hang {
			time.Sleep(f.Slow.Std())
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// decideResponseLoss reports whether to drop the response to a write that has taken effect. It
// uses up one of LoseCount, or draws a random number for LoseShare.
func (s *faultState) decideResponseLoss() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseCount > 0 {
		s.faults.LoseCount--
		return true
	}
	return s.faults.LoseShare > 0 && s.random.Float64() < s.faults.LoseShare
}
