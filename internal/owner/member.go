package owner

import (
	"context"
	"time"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/logpos"
	"crocusyoke/internal/owner/choose"
	"crocusyoke/internal/owner/evidence"
	"crocusyoke/internal/owner/pool"
	"crocusyoke/internal/owner/schedule"
	"crocusyoke/internal/request"
	"crocusyoke/internal/target"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("owner")

// member is one target of a group. All but pool and kick is guarded by the group's mu.
type member struct {
	group    *group
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
	statusAt     time.Time
	status       target.Status
	lastPosition logpos.Position
	coveredAt    time.Time
	coveredKnown bool
	errorRate    float64
}

func newMember(g *group, t *fleet.Target) *member {
	slots, limit := g.limits(t)
	login := target.Login{Address: t.Address, Target: t.Name, Database: g.options.Database(g.name)}
	commands := g.options.Dialer.Commands()
	ctx, stop := context.WithCancel(g.ctx)
	m := &member{
		group:  g,
		target: *t,
		wake:   make(chan struct{}, 1),
		stop:   stop,
	}
	m.schedule = schedule.New(schedule.Options{
		Policy:  g.options.Scheduling,
		Slots:   slots,
		MaxOpen: maxOpenTransactions(limit, slots),
	})
	m.perCustomer = commands.ByCustomer
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
		Limit:   limit,
		MinIdle: minIdle,
	})
	go m.pollLoop(ctx, login)
	return m
}

func (m *member) close() {
	m.stop()
	m.pool.Close()
}

// recordStatus takes over a status. A log that became shorter is believed.
func (m *member) recordStatus(status target.Status, sentAt time.Time) {
	if sentAt.Before(m.statusAt) {
		return
	}
	m.status = status
	m.statusAt = sentAt
	m.pollFailures = 0
	m.lastPosition = status.Readable()
	m.errorRate *= pollErrorDecay
}

// isUnreachable reports whether the newest poll failed. Nothing new is sent to such a
// primary: a write without an answer would be of unknown fate.
func (m *member) isUnreachable() bool { return m.pollFailedAt.After(m.statusAt) }

// Weights of the average of failures.
const (
	errorRateWeight = 0.2
	pollErrorDecay  = 0.98
)

// recordExchange counts the outcome of an exchange. The group's mu is held.
func (m *member) recordExchange(failed bool, position logpos.Position) {
	sample := 0.0
	if failed {
		sample = 1
	}
	m.errorRate += errorRateWeight * (sample - m.errorRate)
	if failed && m.pollFailures == 0 {
		m.pollNow()
	}
	if !failed && position.Term == m.lastPosition.Term && m.lastPosition.Index < position.Index {
		m.lastPosition = position
	}
}

// pollNow makes the next poll due: what failed may be the target. The group's mu is held.
func (m *member) pollNow() {
	m.lastPollAt = time.Time{}
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// candidate describes m for the choice of a target.
func (m *member) candidate(now time.Time, req *request.Request) choose.Candidate {
	return choose.Candidate{
		Name:     m.target.Name,
		Domain:   m.target.Domain,
		Leaving:  m.target.Leaving,
		Known:    !m.statusAt.IsZero() && now.Sub(m.statusAt) <= evidence.Bound,
		Role:     m.status.Role,
		Term:     m.status.Term,
		Last:     m.lastPosition,
		Age:      now.Sub(m.coveredAt),
		AgeKnown: m.coveredKnown,
		Wait:     m.schedule.ExpectedWait(req.Customer, req.Weight),
		Errors:   m.errorRate,
	}
}

// slotWaiter waits for a slot.
type slotWaiter struct {
	item    schedule.Item
	decided chan *request.Refusal
}

// recycle keeps w for another statement. Its slot must have been given back.
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
		Class:    class,
		Deadline: deadline,
		Value:    w,
	}
	return w
}

// deliver tells waiters what was decided. It never blocks.
func deliver(decisions []schedule.Decision) {
	for _, d := range decisions {
		d.Item.Value.(*slotWaiter).decided <- d.Refusal
	}
}

// awaitSlot waits for the decision on w, which was submitted to m.
func (g *group) awaitSlot(ctx context.Context, m *member, w *slotWaiter) *request.Refusal {
	select {
	case refusal := <-w.decided:
		return withPeer(refusal, m)
	default:
	}
	select {
	case refusal := <-w.decided:
		return withPeer(refusal, m)
	case <-ctx.Done():
	}
	g.mu.Lock()
	waiting := m.schedule.Cancel(&w.item)
	g.mu.Unlock()
	if !waiting {
		if refusal := <-w.decided; refusal != nil {
			return withPeer(refusal, m)
		}
		g.freeSlot(m, w, schedule.Unchanged)
	}
	return request.Refuse(request.CodeTimeout, "schedule", m.target.Name, "time ran out while waiting for a slot").Because(ctx.Err())
}

// freeSlot gives back w's slot.
func (g *group) freeSlot(m *member, w *slotWaiter, change schedule.Change) {
	now := g.now()
	g.mu.Lock()
	deliver(m.schedule.Done(now, &w.item, change))
	g.mu.Unlock()
}

func withPeer(refusal *request.Refusal, m *member) *request.Refusal {
	if refusal != nil {
		refusal.Peer = m.target.Name
	}
	return refusal
}

// connectTimeout is how long a request waits for a connection to one target before it
// is placed again.
const connectTimeout = 300 * time.Millisecond

// connection lends a connection that may serve customer, within connectPatience.
func (m *member) connection(ctx context.Context, customer string) (*pool.Conn, error) {
	if !m.perCustomer {
		customer = ""
	}
	if conn := m.pool.TryGet(customer); conn != nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	return m.pool.Get(ctx, customer)
}
