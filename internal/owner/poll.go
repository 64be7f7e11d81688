package owner

import (
	"context"
	"time"

	"crocusyoke/internal/contain"
	"crocusyoke/internal/owner/evidence"
	"crocusyoke/internal/request"
	"crocusyoke/internal/target"
)

// sweepInterval is the minimum interval between two sweeps for what has timed out.
const sweepInterval = 250 * time.Millisecond

// pollLoop polls m's status until ctx ends, one poll at a time.
func (m *member) pollLoop(ctx context.Context, login target.Login) {
	g := m.group
	var control target.Control
	defer func() { closeControl(control) }()
	for m.awaitPoll(ctx) {
		panicked := contain.Step(g.options.Logger, "poll", func() {
			last := control
			control = nil
			control = m.poll(ctx, login, last)
			g.sweep()
		})
		if panicked {
			_ = g.options.Clock.Sleep(ctx, contain.PauseAfterPanic)
		}
	}
}

func closeControl(control target.Control) {
	if control != nil {
		_ = control.Close()
	}
}

// awaitPoll waits until the next poll is due. It reports false if ctx has ended.
func (m *member) awaitPoll(ctx context.Context) bool {
	for {
		now := m.group.now()
		due := m.nextPoll()
		if !due.After(now) {
			return ctx.Err() == nil
		}
		timer := time.NewTimer(due.Sub(now))
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-m.wake:
			timer.Stop()
		case <-timer.C:
		}
	}
}

func (m *member) nextPoll() time.Time {
	g := m.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.lastPollAt.IsZero() {
		return time.Time{}
	}
	if m.isUnreachable() {
		return evidence.NextRetry(m.pollFailedAt, m.pollFailures)
	}
	if m.pollDeclines > 0 {
		return evidence.NextRetry(m.lastPollAt, m.pollDeclines)
	}
	demand := g.demand()
	demand.HeldTerms = g.options.HeldTerms
	demand.OnHold = m.status.Term > m.status.OwnTerm
	demand.Primary = m.status.Role == target.RolePrimary
	return evidence.NextPoll(m.lastPollAt, demand)
}

// idleAfter is how long after its last request a group is still polled as often as one that
// receives requests.
const idleAfter = 5 * time.Second

// demand returns what the interval of the next poll depends on. g.mu is held.
func (g *group) demand() evidence.Demand {
	demand := evidence.Demand{
		Waiting: len(g.claims) > 0 || g.waitingForTarget > 0,
		Idle:    g.activeRequests == 0 && len(g.transactions) == 0 && g.now().Sub(g.lastUsed) > idleAfter,
	}
	for _, c := range g.claims {
		if c.claim.Since.After(demand.Since) {
			demand.Since = c.claim.Since
		}
	}
	return demand
}

// poll polls m once on control, or on a new control connection if control is nil. It returns
// the control connection for the next poll, nil after a failure. It closes control unless it returns it.
func (m *member) poll(ctx context.Context, login target.Login, control target.Control) (next target.Control) {
	g := m.group
	defer func() {
		if next == nil {
			closeControl(control)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, g.controlTimeout())
	defer cancel()
	var err error
	sentAt := g.now()
	if control == nil {
		control, err = g.options.Dialer.Control(ctx, login)
		m.recordControl(err)
	}
	var status target.Status
	if err == nil {
		before := g.options.Suspended()
		sentAt = g.now()
		m.recordPollSent(sentAt)
		status, err = contain.Call("poll", func() (target.Status, error) { return control.Status(ctx) })
		if err == nil && g.options.Suspended()-before > suspensionTolerance {
			err = Error.New("poll of %s: VM was suspended before the answer arrived", m.name)
		}
	}
	g.manager.counts.polls.Add(1)
	if target.ErrDeclined.Has(err) {
		m.recordPollDeclined(sentAt)
		return nil
	}
	if err != nil {
		m.recordPollFailure(sentAt)
		return nil
	}
	m.recordAnswer(sentAt)
	if g.options.Observe != nil {
		g.options.Observe(g.name, sentAt, status)
	}
	g.observe(m, sentAt, status)
	return control
}

// controlTimeout returns the timeout of one poll.
func (g *group) controlTimeout() time.Duration {
	if g.options.HeldTerms {
		return target.HeldControlTimeout
	}
	return target.ControlTimeout
}

func (m *member) recordPollSent(sentAt time.Time) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.lastPollAt = sentAt
	m.load.ownAtPoll = m.schedule.InFlight()
}

func (m *member) recordPollFailure(sentAt time.Time) {
	g := m.group
	g.manager.counts.pollsFailed.Add(1)
	g.mu.Lock()
	m.lastPollAt = sentAt
	m.pollFailures++
	m.link.Break()
	m.pollFailedAt = g.now()
	if !m.pollFailedAt.After(sentAt) {
		m.pollFailedAt = sentAt.Add(1)
	}
	m.noteSlots(m.pollFailedAt)
	g.mu.Unlock()
	if g.options.Unreachable != nil {
		g.options.Unreachable(g.name, m.name, sentAt)
	}
}

// recordPollDeclined records that the target answered a poll without its status. It is not unreachable.
func (m *member) recordPollDeclined(sentAt time.Time) {
	g := m.group
	g.manager.counts.pollsFailed.Add(1)
	g.mu.Lock()
	m.lastPollAt = sentAt
	m.pollDeclines++
	g.mu.Unlock()
	if g.options.Declined != nil {
		g.options.Declined(g.name, m.name, sentAt)
	}
}

// wakePollers makes every poller check whether a poll is due. g.mu is held.
func (g *group) wakePollers() {
	for _, m := range g.members {
		select {
		case m.wake <- struct{}{}:
		default:
		}
	}
}

// claimWaiter is an answer that waits for its claim to be confirmed. decided is signalled when
// the claim can be decided; confirm then evaluates the claim again.
type claimWaiter struct {
	claim   evidence.Claim
	decided chan struct{}
}

// settleClaims signals and removes the waiters whose claims can be decided. g.mu is held.
func (g *group) settleClaims(now time.Time) {
	kept := g.claims[:0]
	for _, c := range g.claims {
		if g.evidence.Confirm(now, c.claim) == evidence.Wait {
			kept = append(kept, c)
			continue
		}
		c.decided <- struct{}{}
	}
	clear(g.claims[len(kept):])
	g.claims = kept
}

// confirm waits until claim is decided, and returns evidence.Wait if ctx ends first. It
// evaluates the claim again after every wake-up, so that a process that was paused meanwhile
// does not rely on old evidence.
func (g *group) confirm(ctx context.Context, claim evidence.Claim) evidence.Verdict {
	c := &claimWaiter{claim: claim, decided: make(chan struct{}, 1)}
	for {
		if verdict := g.tryConfirm(c); verdict != evidence.Wait {
			return verdict
		}
		select {
		case <-c.decided:
		case <-ctx.Done():
			g.dropClaim(c)
			return evidence.Wait
		}
	}
}

// tryConfirm returns the verdict on c's claim. If that is evidence.Wait, c now waits for a decision.
func (g *group) tryConfirm(c *claimWaiter) evidence.Verdict {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.syncEvidence()
	verdict := g.evidence.Confirm(now, c.claim)
	if verdict == evidence.Wait {
		g.claims = append(g.claims, c)
		g.wakePollers()
	}
	return verdict
}

func (g *group) dropClaim(c *claimWaiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, other := range g.claims {
		if other == c {
			g.claims = append(g.claims[:i], g.claims[i+1:]...)
			return
		}
	}
}

// sweep rolls back transactions that have timed out, and removes the group if it is unused and
// not owned.
func (g *group) sweep() {
	now := g.now()
	g.mu.Lock()
	if now.Sub(g.sweptAt) < sweepInterval {
		g.mu.Unlock()
		return
	}
	g.sweptAt = now
	g.refresh()
	if g.isFormerOwner(now) || g.options.HasReader != nil {
		g.resizeAll()
	}
	if g.cold.start > 0 {
		// The time for which the lease was held counts also without requests.
		g.coldShare(now)
	}
	expired := g.expiredTransactions(now)
	unused := g.activeRequests == 0 && len(g.transactions) == 0 && now.Sub(g.lastUsed) > g.options.Times.IdleGroup
	g.mu.Unlock()
	for _, tx := range expired {
		g.abort(tx)
	}
	if unused && !g.manager.isOwned(g.name) {
		g.manager.remove(g)
		g.close()
	}
}

// refuseNoReplica returns the refusal for a read that no replica in this node's failure domain may serve.
func (g *group) refuseNoReplica() *request.Refusal {
	return request.Refuse(request.CodeNoTarget, "choose", g.options.Self, "group %s has no replica here that may serve the read", g.name)
}

// refuseNoPrimary returns the refusal for a group without a confirmed primary.
func (g *group) refuseNoPrimary() *request.Refusal {
	return request.Refuse(request.CodeNoTarget, "choose", "", "group %s has no primary that a majority confirms", g.name)
}
