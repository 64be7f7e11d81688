package quota

import (
	"context"
	"time"

	"crocusyoke/internal/contain"
)

const (
	// tickInterval is the delay between two checks for due reports.
	tickInterval = 50 * time.Millisecond
	// reportInterval is the time between two reports about all customers of a partition;
	// urgentReportInterval is the time between reports of customers that are low on tokens.
	reportInterval       = 150 * time.Millisecond
	urgentReportInterval = 20 * time.Millisecond
	// callTimeout bounds one report. It must be below quota.MaxReportDelay, the longest time
	// for which the lending protocol lets a report be in transit.
	callTimeout = 150 * time.Millisecond
)

// Run maintains the node's tokens until ctx ends and returns after its last call has ended.
func (r *Runner) Run(ctx context.Context) error {
	defer r.wait.Wait()
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	var tickAt time.Time
	for ctx.Err() == nil {
		if now := r.now(); !now.Before(tickAt) {
			tickAt = now.Add(tickInterval)
		}
		contain.Step(r.o.Logger, "quota tick", func() {
			r.refresh(r.o.View())
			r.sendDueReports(ctx)
		})
		r.awaitWake(ctx, timer, tickAt.Sub(r.now()))
	}
	return nil
}

// awaitWake waits until Wake is called or ctx ends, but at most for d. It uses timer, which is never due
// when the wait begins: Go's race detector ends a test binary in which channels of due timers are received
// from by several goroutines of a synctest bubble at once.
func (r *Runner) awaitWake(ctx context.Context, timer *time.Timer, d time.Duration) {
	if d <= 0 {
		return
	}
	timer.Reset(d)
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-r.wake:
	}
}

// sendDueReports sends the reports that are due. It reports all customers of a partition every
// reportInterval; in between, it reports only customers that are low on tokens.
func (r *Runner) sendDueReports(ctx context.Context) {
	now := r.now()
	r.collectLow()
	changed := 0
	for _, p := range r.partitions {
		if !r.canReport(p) {
			continue
		}
		switch {
		case !now.Before(p.dueAt):
			p.dueAt = now.Add(reportInterval)
			clear(p.low)
			changed += p.countShareChanges(now)
			r.report(ctx, p, p.customers, true, now)
		case len(p.low) > 0 && !now.Before(p.urgentDueAt):
			r.report(ctx, p, p.takeLow(now), false, now)
		case len(p.low) > 0 && p.wakeAt != p.urgentDueAt:
			p.wakeAt = p.urgentDueAt
			time.AfterFunc(p.urgentDueAt.Sub(now), r.Wake)
		}
	}
	r.logOwnShare(changed)
}

// collectLow distributes the customers that markLow has collected to their partitions.
func (r *Runner) collectLow() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for s := range r.low {
		if p := r.partitionOf(s); p != nil {
			p.low[s] = true
		}
	}
	clear(r.low)
}

// canReport reports whether a message about p may be sent now.
func (r *Runner) canReport(p *partition) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return p.coordinator != "" && !p.inFlight
}

// takeLow returns the customers of p that need tokens now. Those that may not ask yet stay in
// p.low.
func (p *partition) takeLow(now time.Time) []*customerQuota {
	var batch []*customerQuota
	for s := range p.low {
		needsTokens, waits := s.demand(now)
		if needsTokens {
			batch = append(batch, s)
		}
		if needsTokens || !waits {
			delete(p.low, s)
		}
	}
	return batch
}

// countShareChanges returns for how many customers the node has begun or stopped using its own
// share.
func (p *partition) countShareChanges(now time.Time) int {
	changed := 0
	for _, s := range p.customers {
		if s.updateOwnShare(now) {
			changed++
		}
	}
	return changed
}

// demand reports whether the customer needs tokens now, and whether requests of it wait for some.
func (s *customerQuota) demand(now time.Time) (needsTokens, waits bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.account.NeedsTokens(now), s.account.Waiting() > 0
}

// updateOwnShare records whether the node uses its own share of the customer's rate, and reports
// whether that has changed.
func (s *customerQuota) updateOwnShare(now time.Time) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.account.UsesOwnShare(now)
	changed = own != s.usesOwnShare
	s.usesOwnShare = own
	return changed
}

// logOwnShare logs that this node has begun or stopped using its own share of some
// customers' rates, which it otherwise lends to the coordinators. changed is the number of
// these customers; nothing is logged if it is 0.
func (r *Runner) logOwnShare(changed int) {
	if changed == 0 {
		return
	}
	own := 0
	for _, s := range *r.customers.Load() {
		s.mu.Lock()
		if s.usesOwnShare {
			own++
		}
		s.mu.Unlock()
	}
	Counters.Add("own_share", int64(changed))
	_ = r.o.Logger.Log("event", "quota", "changed", changed, "own_share", own, "coordinators", len(r.partitions))
}
