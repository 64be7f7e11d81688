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
		whole, asks, atOnce := r.inFlight(p)
		isDue := atOnce || !now.Before(p.dueAt)
		if p.coordinator == "" || whole || isDue && asks > 0 {
			continue
		}
		if isDue {
			p.dueAt = now.Add(reportInterval)
			r.clearDueAtOnce(p)
			clear(p.low)
			changed += p.countShareChanges(now)
			r.report(ctx, p, p.customers, true, now)
			continue
		}
		r.reportLow(ctx, p, now)
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

// reportLow asks for tokens for those customers of p that are low on them: at once where requests wait for
// tokens that are granted on demand, otherwise at most every urgentReportInterval.
func (r *Runner) reportLow(ctx context.Context, p *partition, now time.Time) {
	isSpaced := !now.Before(p.urgentDueAt)
	if batch := p.takeLow(isSpaced, now); len(batch) > 0 {
		if isSpaced {
			p.urgentDueAt = now.Add(urgentReportInterval)
		}
		r.report(ctx, p, batch, false, now)
	}
	if len(p.low) > 0 && p.wakeAt != p.urgentDueAt {
		p.wakeAt = p.urgentDueAt
		time.AfterFunc(p.urgentDueAt.Sub(now), r.Wake)
	}
}

// inFlight reports whether a message about all customers of p is in flight, how many others are, and whether
// the next one should be sent at once.
func (r *Runner) inFlight(p *partition) (whole bool, asks int, atOnce bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return p.isWholeInFlight, p.asksInFlight, p.isDueAtOnce
}

func (r *Runner) clearDueAtOnce(p *partition) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.isDueAtOnce = false
}

// takeLow returns the customers of p that need tokens now; if isSpaced is false, only those that need them
// at once. Those that may not ask yet stay in p.low, as do those of which a message is in flight.
func (p *partition) takeLow(isSpaced bool, now time.Time) []*customerQuota {
	var batch []*customerQuota
	for s := range p.low {
		d := s.demand(now)
		if d.inFlight {
			continue
		}
		asks := d.atOnce || isSpaced && (d.needsTokens || d.hasSpent)
		if asks {
			batch = append(batch, s)
		}
		if asks || !d.needsTokens && !d.waits && !d.hasSpent {
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

// demand states whether a customer needs tokens, now or at once, whether requests of it wait for some,
// whether the coordinator should hear that tokens were spent, and whether a message about it is in flight.
type demand struct{ needsTokens, atOnce, waits, hasSpent, inFlight bool }

func (s *customerQuota) demand(now time.Time) demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return demand{
		needsTokens: s.account.NeedsTokens(now), atOnce: s.account.NeedsTokensAtOnce(now),
		waits: s.account.Waiting() > 0, hasSpent: s.account.HasSpent(now), inFlight: s.inFlight,
	}
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
