package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// limitedFront is a server that records until when it may drain.
type limitedFront struct {
	callerServer
	until chan time.Time
}

func (f limitedFront) Drain(ctx context.Context) error {
	end, _ := ctx.Deadline()
	f.until <- end
	return nil
}

// TestDrainOutlastsFinish guards against a drain that believes that it may take longer than the step that
// waits for it: the process then ends under statements that the drain has taken.
func TestDrainOutlastsFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 5600 * time.Millisecond
		n := newStoppableNode(limit, time.Second)
		f := limitedFront{until: make(chan time.Time, 1)}
		n.front = f
		time.Sleep(time.Second)
		began := time.Now()
		n.stop(t.Context())
		must.Eq(t, limit-450*time.Millisecond, (<-f.until).Sub(began))
		time.Sleep(5 * time.Second)
	})
}
