package catalog

import (
	"context"
	"time"
)

// backOff waits for d after a failed call about t. As long as the table of nodes was never read, this ends as soon as
// the store has answered any call: a node that knows no other one can do nothing, and gets nothing from
// peers.
func (r *Runner) backOff(ctx context.Context, t *table, d time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.mu.Lock()
	if t == r.nodes && !t.isKnown() {
		r.wakeNodes = cancel
	}
	r.mu.Unlock()
	_ = r.o.Clock.Sleep(ctx, d)
}

// wakeNodesRead ends the delay before the next attempt at the first read of the table of nodes. The caller holds r.mu.
func (r *Runner) wakeNodesRead() {
	if r.wakeNodes != nil {
		r.wakeNodes()
		r.wakeNodes = nil
	}
}

// ObserveStoreAnswer is called when the store has answered a call that this Runner did not make.
func (r *Runner) ObserveStoreAnswer() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wakeNodesRead()
}
