package owner

import (
	"context"
	"sync"
	"time"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/owner/choose"
	"crocusyoke/internal/owner/coldstart"
	"crocusyoke/internal/owner/pool"
	"crocusyoke/internal/request"
)

const (
	// coldRetryAfter is when to come back if this node has no share of a cold target: it has one, or knows the target
	// to be warm, about as soon as that.
	coldRetryAfter = coldstart.Length
	// coldProofWait is how long a request waits for the proof that its connection leads to a warm target.
	coldProofWait = 200 * time.Millisecond
	// coldRecheck is the longest wait between two looks whether a cold target has room.
	coldRecheck = 50 * time.Millisecond
)

// coldState is what a group's targets may get that have just started. start is 0 if they are treated as all others.
type coldState struct {
	start  time.Duration
	share  int
	tenure coldstart.Tenure
}

// coldWindows holds the Window of each target, by its name. It outlasts the groups' runtimes.
type coldWindows struct {
	mu       sync.Mutex
	byTarget map[string]*coldstart.Window
}

func (c *coldWindows) take(target string, now time.Time, share int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.window(target, now).Take(now, share)
}

func (c *coldWindows) end(target string, now time.Time, sent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.window(target, now).End(now, sent)
}

func (c *coldWindows) wait(target string, now time.Time, share, ahead int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.window(target, now).Wait(now, share, ahead)
}

// window returns the target's window. Before it makes a new one, it forgets those that count nothing.
func (c *coldWindows) window(target string, now time.Time) *coldstart.Window {
	if w := c.byTarget[target]; w != nil {
		return w
	}
	for name, w := range c.byTarget {
		if w.IsEmpty(now) {
			delete(c.byTarget, name)
		}
	}
	if c.byTarget == nil {
		c.byTarget = make(map[string]*coldstart.Window)
	}
	w := &coldstart.Window{}
	c.byTarget[target] = w
	return w
}

// applyColdConfig takes over what the configuration says of the group's cold targets. g.mu is held.
func (g *group) applyColdConfig(mine *fleet.Group) {
	g.cold.start = 0
	o := g.options
	if mine == nil || o.ColdHolder == nil || o.TargetLife == nil || !o.Cold.IsSet() || mine.ColdRate <= 0 {
		return
	}
	g.cold.start, g.cold.share = mine.ColdStart.Std(), o.Cold.Share(mine.ColdRate)
}

// coldShare returns this node's share of each cold target of the group, 0 if it has none. g.mu is held.
func (g *group) coldShare(now time.Time) int {
	fence, held := g.options.ColdHolder(g.name)
	if !held {
		return 0
	}
	g.cold.tenure.Observe(now, fence)
	if g.cold.tenure.Wait(now) > 0 {
		return 0
	}
	return g.cold.share
}

// isCold reports whether m is not proven to be warm, and logs when that changes. g.mu is held.
func (m *member) isCold(now time.Time) bool {
	g := m.group
	if g.cold.start <= 0 {
		return false
	}
	cold := !m.link.IsWarm(now, g.options.TargetLife(m.name), g.cold.start)
	if cold != m.cold {
		m.cold = cold
		_ = g.options.Logger.Log("event", "target cold", "group", g.name, "target", m.name, "cold", cold, "share", g.cold.share)
	}
	return cold
}

// markCold adds to c, which describes m, that m is cold. g.mu is held.
func (m *member) markCold(now time.Time, c *choose.Candidate) {
	if !m.isCold(now) {
		return
	}
	g := m.group
	share := g.coldShare(now)
	c.NoShare = share == 0
	if share > 0 {
		c.ExpectedWait += g.manager.coldWindows.wait(m.name, now, share, m.coldWaiting)
	}
}

// placeCold counts r at m, which was chosen for it, if m is cold. If m has no room for it yet, it returns how long to
// wait, or a refusal if that is longer than r has. g.mu is held.
func (g *group) placeCold(ctx context.Context, now time.Time, r *execution, m *member) (wait time.Duration, refusal *request.Refusal) {
	if !m.isCold(now) {
		return 0, nil
	}
	share := g.coldShare(now)
	if g.manager.coldWindows.take(m.name, now, share) {
		r.coldAt = m
		g.manager.counts.coldPlaced.Add(1)
		return 0, nil
	}
	wait = g.manager.coldWindows.wait(m.name, now, share, m.coldWaiting)
	if deadline, ok := ctx.Deadline(); share == 0 || ctx.Err() != nil || ok && deadline.Sub(now) < wait {
		return 0, g.refuseCold(m, wait)
	}
	m.coldWaiting++
	r.coldWaitsAt = m
	g.manager.counts.coldWaits.Add(1)
	return max(time.Millisecond, wait), nil
}

// awaitColdRoom waits until the target that r waits for may have room.
func (g *group) awaitColdRoom(ctx context.Context, r *execution, wait time.Duration) {
	_ = g.options.Clock.Sleep(ctx, min(wait, coldRecheck))
	g.mu.Lock()
	defer g.mu.Unlock()
	r.coldWaitsAt.coldWaiting--
	r.coldWaitsAt = nil
}

func (g *group) refuseCold(m *member, retryAfter time.Duration) *request.Refusal {
	g.manager.counts.coldRefused.Add(1)
	return request.Refuse(request.CodeOverloaded, "choose", m.name, "the target has just started and gets few requests").
		WithRetryAfter(max(retryAfter, time.Millisecond))
}

// refuseWithoutShare refuses a request that no target serves since this node has no share of cold ones: the primary, if
// r needs it, or a replica. Otherwise it returns nil. g.mu is held, and g.candidates are those of r.
func (g *group) refuseWithoutShare(r *execution) *request.Refusal {
	if g.cold.start <= 0 {
		return nil
	}
	for i := range g.candidates {
		if g.candidates[i].NoShare && (i == r.criteria.Primary || choose.CanUseReplica(&r.criteria)) {
			return g.refuseCold(g.members[i], coldRetryAfter)
		}
	}
	return nil
}

// endCold ends r's count at a cold target, if it has one. sent is false if r was provably not sent.
func (g *group) endCold(r *execution, sent bool) {
	if m := r.coldAt; m != nil {
		r.coldAt = nil
		g.manager.coldWindows.end(m.name, g.now(), sent)
	}
}

// admitCold lets r be sent on conn: conn is proven to lead to a warm target, or r is counted and this node still has a
// share. It waits a short time for the proof, and returns a refusal if there is none.
func (g *group) admitCold(ctx context.Context, r *execution, conn *pool.Conn) *request.Refusal {
	began := g.now()
	for {
		admitted, counted := g.tryAdmitCold(r.member, conn, r.coldAt != nil)
		switch {
		case admitted && counted:
			r.coldAt = r.member
			return nil
		case admitted:
			g.endCold(r, false)
			return nil
		case r.coldAt != nil:
			return markRetryable(g.refuseCold(r.member, coldRetryAfter))
		case ctx.Err() != nil || g.now().Sub(began) >= coldProofWait:
			return g.refuseCold(r.member, coldRetryAfter)
		}
		_ = g.options.Clock.Sleep(ctx, coldRecheck/10)
	}
}

// tryAdmitCold reports whether a request may be sent on conn now, and whether it is counted: because it was before, or
// from now on. If not, it has the target polled, whose answer may prove that conn leads to a warm one.
func (g *group) tryAdmitCold(m *member, conn *pool.Conn, isCounted bool) (admitted, counted bool) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cold.start <= 0 || conn.IsWarm() {
		return true, false
	}
	if m.link.LeadsToWarm(now, conn.OpenedAt(), g.options.TargetLife(m.name), g.cold.start) {
		conn.SetWarm()
		return true, false
	}
	share := g.coldShare(now)
	if isCounted || share == 0 {
		if share == 0 {
			m.pollNow()
		}
		return isCounted && share > 0, isCounted
	}
	if g.manager.coldWindows.take(m.name, now, share) {
		return true, true
	}
	m.pollNow()
	return false, false
}

// admitColdStatement is admitCold for a statement of tx. It waits for room at the target, with tx's slot not taken. The
// statement's count is to be ended with endColdStatement. A refusal ends tx.
func (g *group) admitColdStatement(ctx context.Context, tx *transaction) (counted bool, refusal *request.Refusal) {
	for {
		admitted, counted := g.tryAdmitCold(tx.member, tx.conn, false)
		if admitted {
			return counted, nil
		}
		now := g.now()
		wait := g.coldStatementWait(tx.member, now)
		deadline, ok := ctx.Deadline()
		if ctx.Err() != nil || wait <= 0 || ok && deadline.Sub(now) < wait {
			return false, g.refuseColdStatement(tx)
		}
		_ = g.options.Clock.Sleep(ctx, min(wait, coldRecheck))
	}
}

// refuseLateCold returns the refusal of a counted statement of tx that has its slot, if this node no longer has a share of
// the target, or nil. A refusal ends tx.
func (g *group) refuseLateCold(tx *transaction) *request.Refusal {
	if admitted, _ := g.tryAdmitCold(tx.member, tx.conn, true); admitted {
		return nil
	}
	return g.refuseColdStatement(tx)
}

// refuseColdStatement ends tx and returns the refusal of its statement.
func (g *group) refuseColdStatement(tx *transaction) *request.Refusal {
	g.manager.counts.coldRefused.Add(1)
	g.abort(tx)
	return request.Refuse(request.CodeTransactionLost, "transaction", tx.member.name,
		"the target has just started and gets few requests; rolled back").WithRetryAfter(coldRetryAfter)
}

// coldStatementWait returns how long a statement waits for room at m, 0 if this node has no share of it.
func (g *group) coldStatementWait(m *member, now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	share := g.coldShare(now)
	if share == 0 {
		return 0
	}
	return max(time.Millisecond, g.manager.coldWindows.wait(m.name, now, share, 0))
}

// endColdStatement ends the count of a statement of tx.
func (g *group) endColdStatement(tx *transaction, counted bool) {
	if counted {
		g.manager.coldWindows.end(tx.member.name, g.now(), true)
	}
}

// recordControl records that a control connection was opened, if err is nil.
func (m *member) recordControl(err error) {
	if err != nil {
		return
	}
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.link.Connect(m.group.now())
}

// recordAnswer records that a poll sent at sentAt was answered on the control connection.
func (m *member) recordAnswer(sentAt time.Time) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.link.Answer(sentAt)
}

// recordWarm records the answer of an exchange, if its connection leads to a warm target: it proves the same of connections
// opened before. The group's mu is held.
func (m *member) recordWarm(o *exchangeResult) {
	if o.err == nil && o.warm {
		m.link.AnswerWarm(o.sentAt)
	}
}
