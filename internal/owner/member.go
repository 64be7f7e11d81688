package owner

import (
	"context"
	"sync/atomic"
	"time"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/logpos"
	"crocusyoke/internal/owner/choose"
	"crocusyoke/internal/owner/coldstart"
	"crocusyoke/internal/owner/evacuate"
	"crocusyoke/internal/owner/evidence"
	"crocusyoke/internal/owner/pool"
	"crocusyoke/internal/owner/schedule"
	"crocusyoke/internal/request"
	"crocusyoke/internal/target"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("owner")

// member is one target of a group. The group's mu guards its mutable fields; pool is safe for
// concurrent use. readablePosition is the last known log position that reads at the target
// reflect, and coveredAt is the time from which the age of the data at that position is measured.
type member struct {
	group *group
	// name is the target's name, which never changes. The other fields of target are replaced with the
	// configuration; the group's mu guards them.
	name     string
	target   fleet.Target
	schedule *schedule.Scheduler
	pool     *pool.Pool
	wake     chan struct{}
	// perCustomer is true where a connection serves one customer only.
	perCustomer bool
	stop        context.CancelFunc

	lastPollAt   time.Time
	pollFailedAt time.Time
	pollFailures int
	// pollDeclines is the number of polls in a row that the target has declined.
	pollDeclines     int
	statusAt         time.Time
	status           target.Status
	readablePosition logpos.Position
	coveredAt        time.Time
	coveredKnown     bool
	errorShare       float64
	load             memberLoad
	// link is the control connection as package coldstart sees it. cold is what was last logged, coldWaiting how many
	// requests wait for room at the target while it is cold.
	link        coldstart.Link
	cold        bool
	coldWaiting int

	// evacuation says whether the target is evacuated. isEvacuated is the same for use without the group's mu,
	// and inUse ends, by endInUse, when the target is evacuated.
	evacuation  evacuate.Target
	isEvacuated atomic.Bool
	inUse       context.Context
	endInUse    context.CancelFunc
}

func newMember(g *group, t *fleet.Target) *member {
	slots, limit := g.limits(t)
	login := target.Login{Address: t.Address, Target: t.Name, Database: g.options.Database(g.name)}
	commands := g.options.Dialer.Commands()
	ctx, stop := context.WithCancel(g.ctx)
	m := &member{
		group:  g,
		name:   t.Name,
		target: *t,
		wake:   make(chan struct{}, 1),
		stop:   stop,
	}
	m.schedule = schedule.New(schedule.Options{
		Policy:              g.options.Scheduling,
		Slots:               slots,
		Priorities:          g.options.Priorities,
		MaxOpenTransactions: maxOpenTransactions(limit, slots),
	})
	m.perCustomer = commands.PerCustomer
	minIdle := slots
	if m.perCustomer {
		minIdle = 0
	}
	m.pool = pool.New(pool.Options{
		Dial: func(ctx context.Context, customer string) (target.Conn, error) {
			as := login
			as.Customer = customer
			return g.options.Dialer.Dial(ctx, as)
		},
		Probe:   commands.Probe,
		Clock:   g.options.Clock,
		Logger:  g.options.Logger,
		Limit:   limit,
		MinIdle: minIdle,
	})
	m.inUse, m.endInUse = context.WithCancel(g.ctx)
	g.setEvacuated(m, t.Evacuated)
	go m.pollLoop(ctx, login)
	return m
}

func (m *member) close() {
	m.stop()
	m.endInUse()
	m.pool.Close()
}

// recordStatus records the answer to a poll sent at sentAt, unless a newer one is known. The
// reported position replaces the last one even if the log has become shorter. The group's mu
// is held.
func (m *member) recordStatus(status target.Status, sentAt time.Time) {
	if sentAt.Before(m.statusAt) {
		return
	}
	m.status = status
	m.statusAt = sentAt
	m.pollFailures = 0
	m.pollDeclines = 0
	m.readablePosition = status.ReadablePosition()
	m.errorShare *= pollErrorDecay
	m.recordLoad(m.group.now(), sentAt)
}

// isUnreachable reports whether the newest poll failed. Nothing new is sent to an unreachable
// primary, because a write without an answer would have an unknown outcome.
func (m *member) isUnreachable() bool { return m.pollFailedAt.After(m.statusAt) }

// Weights of errorShare, the moving average of the share of failed exchanges (ErrorShare in
// package choose). errorRateWeight is the weight of a new exchange, pollErrorDecay the factor
// that every successful poll applies.
const (
	errorRateWeight = 0.2
	pollErrorDecay  = 0.98
)

// recordExchange updates m's error rate and last position with the result of an exchange.
// The first failure after a successful poll triggers a poll. The group's mu is held.
func (m *member) recordExchange(failed bool, position logpos.Position) {
	sample := 0.0
	if failed {
		sample = 1
	}
	m.errorShare += errorRateWeight * (sample - m.errorShare)
	if failed && m.pollFailures == 0 {
		m.pollNow()
	}
	if !failed && position.Term == m.readablePosition.Term && m.readablePosition.Index < position.Index {
		m.readablePosition = position
	}
}

// pollNow makes the next poll due at once, because a failed exchange may mean that the target
// has failed. The group's mu is held.
func (m *member) pollNow() {
	m.lastPollAt = time.Time{}
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// candidate describes m to package choose. The group's mu is held.
func (m *member) candidate(now time.Time, req *request.Request) choose.Candidate {
	c := choose.Candidate{
		Name:         m.name,
		Domain:       m.target.Domain,
		OutsideHome:  !m.allows(req),
		Leaving:      m.target.IsWithdrawn() || req.Nearby && m.evacuation.IsReturning(now),
		StatusKnown:  !m.statusAt.IsZero() && now.Sub(m.statusAt) <= evidence.MaxObservationAge,
		Role:         m.status.Role,
		Term:         m.status.Term,
		Last:         m.readablePosition,
		Age:          now.Sub(m.coveredAt),
		AgeKnown:     m.coveredKnown,
		ExpectedWait: m.schedule.ExpectedWait(now, req.Customer, req.Weight, req.Priority) + m.evacuation.Surcharge(now),
		ErrorShare:   m.errorShare,
		Load:         m.expectedLoad(now),
	}
	m.markCold(now, &c)
	return c
}

// slotWaiter is a statement that waits for or holds a slot. decided receives nil when the slot
// is granted, or the refusal.
type slotWaiter struct {
	item    schedule.Item
	decided chan *request.Refusal
}

// recycle returns w to the pool of slotWaiters. Its slot must have been freed.
func (g *group) recycle(w *slotWaiter) {
	w.item = schedule.Item{}
	g.manager.slotWaiters.Put(w)
}

func (g *group) newSlotWaiter(req *request.Request, class schedule.Class, deadline time.Time) *slotWaiter {
	w, ok := g.manager.slotWaiters.Get().(*slotWaiter)
	if !ok {
		w = &slotWaiter{decided: make(chan *request.Refusal, 1)}
	}
	w.item = schedule.Item{
		Customer: req.Customer,
		Weight:   req.Weight,
		Priority: req.Priority,
		Class:    class,
		Deadline: deadline,
		Value:    w,
	}
	return w
}

// deliver sends each decision to its slotWaiter. It never blocks, since decided has room for
// the one decision.
func deliver(decisions []schedule.Decision) {
	for _, d := range decisions {
		d.Item.Value.(*slotWaiter).decided <- d.Refusal
	}
}

// awaitSlot waits until w, which was submitted to m, is granted a slot or refused. If ctx ends
// first it withdraws w, frees a slot that was granted meanwhile, and returns a timeout.
func (g *group) awaitSlot(ctx context.Context, m *member, w *slotWaiter) *request.Refusal {
	select {
	case refusal := <-w.decided:
		return withPeer(refusal, m)
	default:
	}
	u := &g.manager.counts.urgency
	u.count(&u.waited, w.item.Priority)
	select {
	case refusal := <-w.decided:
		return withPeer(refusal, m)
	case <-ctx.Done():
	}
	if !g.withdraw(m, w) {
		if refusal := <-w.decided; refusal != nil {
			return withPeer(refusal, m)
		}
		g.freeSlot(m, w, schedule.TransactionUnchanged)
	}
	return request.Refuse(request.CodeTimeout, "schedule", m.name, "time ran out while waiting for a slot").WithCause(ctx.Err())
}

// freeSlot frees w's slot. change says what the statement did to its session's transaction.
func (g *group) freeSlot(m *member, w *slotWaiter, change schedule.TransactionChange) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	m.deliver(now, m.schedule.Done(now, &w.item, change))
}

// withdraw withdraws w from m's schedule. It returns false if w was not waiting.
func (g *group) withdraw(m *member, w *slotWaiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return m.schedule.Cancel(&w.item)
}

func withPeer(refusal *request.Refusal, m *member) *request.Refusal {
	if refusal != nil {
		refusal.Peer = m.name
	}
	return refusal
}
