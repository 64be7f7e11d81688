package catalog

import (
	"context"
	"time"
)

// awayRetry is the delay after a failed first read of a table if the store has answered nothing since, nor before.
const awayRetry = 2 * time.Second

// backOff waits for d after a call about t has failed that began at calledAt. As long as a table was never read, this
// ends as soon as the store has answered any call: without the lists of nodes and targets a node can do nothing. While
// the store answers nothing, only the calls about the configuration find out when it does again. Once these were
// answered, they are held and find out nothing.
func (r *Runner) backOff(ctx context.Context, t *table, calledAt time.Time, d time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.mu.Lock()
	if t != r.configuration && !t.isKnown() {
		r.wakeUnread[t] = cancel
		if !r.configuration.isKnown() && !r.answeredAt.After(calledAt) {
			d = max(d, awayRetry)
		}
	}
	r.mu.Unlock()
	_ = r.o.Clock.Sleep(ctx, d)
}

// endBackOffs ends the delays before the next attempts at first reads of tables. The caller holds r.mu.
func (r *Runner) endBackOffs() {
	for _, wake := range r.wakeUnread {
		wake()
	}
	clear(r.wakeUnread)
}

// ObserveStoreAnswer is called when the store has answered a call that this Runner did not make.
func (r *Runner) ObserveStoreAnswer() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endBackOffs()
}
