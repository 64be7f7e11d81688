package owner

import (
	"context"
	"sync"
	"time"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/owner/choose"
	"crocusyoke/internal/owner/comeback"
	"crocusyoke/internal/owner/evacuate"
	"crocusyoke/internal/owner/evidence"
	"crocusyoke/internal/owner/gap"
	"crocusyoke/internal/request"
	"crocusyoke/internal/target"
)

// group is the runtime of one database group.
type group struct {
	manager *Manager
	name    string
	options *Options
	ctx     context.Context
	stop    context.CancelFunc

	// mu guards the fields below. It is never held during I/O.
	mu         sync.Mutex
	config     *fleet.Config
	members    []*member
	candidates []choose.Candidate
	evidence   *evidence.Group
	gap        *gap.Tracker
	comeback   comeback.Plan
	handover   evacuate.Handover
	// lastSuspended is the reading of Options.Suspended when the group was created or when
	// its evidence was last invalidated by a suspension.
	lastSuspended time.Duration
	claims        []*claimWaiter
	// waitingForTarget counts the requests that wait for a usable target.
	waitingForTarget int
	// waiting holds the requests that wait for a slot and could be moved to another target, in the order of placement.
	waiting        []*execution
	changed        chan struct{}
	transactions   map[string]*transaction
	activeRequests int
	lastUsed       time.Time
	sweptAt        time.Time
	// exclusive is true while no other owner can exist (see Manager.SetExclusive), owned while this node
	// owns the group. lostAt is when it last stopped to own or to read the group, zero if never.
	exclusive bool
	owned     bool
	// reads is true while this node is the reader of a failure domain of the group.
	reads  bool
	lostAt time.Time
	cold   coldState
	// hasHomes is true if requests have home regions, so that nodes that never owned the group may serve it.
	hasHomes bool
	// releasing is set while the group refuses new work because it is handed over or closed, closing once
	// its connections are closed.
	releasing bool
	closing   bool
	// idleReached is nil unless the group is being released. signalIdle closes it. resumed ends a release
	// whose group is owned again.
	idleReached chan struct{}
	resumed     chan struct{}
	primary     string
	term        uint64
	// primaryCtx ends when primary is replaced; endPrimary ends it.
	primaryCtx context.Context
	endPrimary context.CancelFunc
}

func newGroup(m *Manager, name string, exclusive, owned, reads bool) *group {
	ctx, stop := context.WithCancel(context.Background())
	g := &group{
		manager:      m,
		name:         name,
		options:      &m.options,
		ctx:          ctx,
		stop:         stop,
		evidence:     evidence.New(nil, evidence.Options{HeldTerms: m.options.HeldTerms}),
		gap:          gap.New(m.options.Clock.Now()),
		changed:      make(chan struct{}),
		transactions: make(map[string]*transaction),
		lastUsed:     m.options.Clock.Now(),
		// Suspensions before the group was created do not affect its evidence.
		lastSuspended: m.options.Suspended(),
		exclusive:     exclusive,
		owned:         owned,
		reads:         reads,
	}
	g.primaryCtx, g.endPrimary = context.WithCancel(context.Background())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh()
	return g
}

func (g *group) now() time.Time { return g.options.Clock.Now() }

// refresh applies the current configuration if it has changed. g.mu is held.
func (g *group) refresh() {
	config := g.options.Config.Current()
	if config == g.config || config == nil {
		return
	}
	g.config = config
	var targets []fleet.Target
	mine := config.Group(g.name)
	if mine != nil {
		targets = mine.Targets
	}
	g.applyColdConfig(mine)
	g.hasHomes = g.options.Regions.IsDivided() && config.HasHomes()
	old := g.members
	g.members = make([]*member, 0, len(targets))
	names := make([]string, 0, len(targets))
	for i := range targets {
		g.members = append(g.members, g.memberFor(old, &targets[i]))
		names = append(names, targets[i].Name)
	}
	for _, m := range old {
		if !g.hasMember(m) {
			m.close()
		}
	}
	g.resizeAll()
	g.evacuateFormer()
	g.evidence.SetTargets(names)
	g.candidates = make([]choose.Candidate, len(g.members))
}

// memberFor returns the member for t, whose limits are still to be applied: the one in old with the same name and address, or else
// a new one. g.mu is held.
func (g *group) memberFor(old []*member, t *fleet.Target) *member {
	for _, m := range old {
		if m.name == t.Name && m.target.Address == t.Address {
			m.target = *t
			g.setEvacuated(m, t.Evacuated)
			return m
		}
	}
	return newMember(g, t)
}

func (g *group) hasMember(m *member) bool {
	for _, other := range g.members {
		if other == m {
			return true
		}
	}
	return false
}

func (g *group) setExclusive(exclusive bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.exclusive = exclusive
	g.resizeAll()
}

func (g *group) setOwned(owned bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.owned && !owned {
		g.lostAt = g.now()
	}
	g.owned = owned
	g.resizeAll()
}

// formerOwnerGrace is how long a node that has lost a group keeps its connections, since most requests still come
// to it.
const formerOwnerGrace = 500 * time.Millisecond

// isFormerOwner reports whether this node has lost the group for long enough to give up its connections.
func (g *group) isFormerOwner(now time.Time) bool {
	if g.owned || g.reads || now.Sub(g.lostAt) < formerOwnerGrace {
		return false
	}
	return !g.lostAt.IsZero() || g.hasHomes
}

// resizeAll applies changed limits to all members. g.mu is held.
func (g *group) resizeAll() {
	for _, m := range g.members {
		g.resize(m)
	}
}

// beginRequest counts an active request. While the group is being handed over it refuses
// every request but those of sessions with an open transaction. g.mu is held.
func (g *group) beginRequest(req *request.Request) *request.Refusal {
	g.refresh()
	if g.releasing && g.transactions[req.ID.Session] == nil {
		return request.Refuse(request.CodeNoOwner, "owner", g.options.Self, "group %s is being handed over", g.name)
	}
	g.activeRequests++
	return nil
}

func (g *group) endRequest() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.activeRequests--
	g.lastUsed = g.now()
	g.signalIdle()
}

// signalIdle closes g.idleReached, which release waits for, once no request is active and no
// transaction is open. g.mu is held.
func (g *group) signalIdle() {
	if g.idleReached == nil || g.activeRequests > 0 || len(g.transactions) > 0 {
		return
	}
	select {
	case <-g.idleReached:
	default:
		close(g.idleReached)
	}
}

// release refuses new work, waits until ctx ends for active requests and open transactions,
// then closes the group. It returns an error if connections are still open after
// closeTimeout. It reports false if resume was called in time, so that the group is not closed.
func (g *group) release(ctx context.Context) (released bool, err error) {
	g.mu.Lock()
	g.releasing = true
	if g.idleReached == nil {
		g.idleReached, g.resumed = make(chan struct{}), make(chan struct{})
	}
	idle, resumed := g.idleReached, g.resumed
	g.signalIdle()
	g.notifyChanged()
	g.mu.Unlock()
	select {
	case <-idle:
	case <-resumed:
	case <-ctx.Done():
	}
	g.mu.Lock()
	g.closing = g.closing || g.idleReached == idle
	released = g.closing
	g.mu.Unlock()
	if !released {
		return false, nil
	}
	g.close()
	return true, g.awaitDrained(ctx)
}

// resume makes a group serve again that is being released, unless its connections are closed already.
func (g *group) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.releasing || g.closing {
		return
	}
	g.releasing = false
	g.idleReached = nil
	close(g.resumed)
	g.notifyChanged()
}

// close rolls back open transactions, stops polling and closes every connection.
func (g *group) close() {
	g.mu.Lock()
	g.releasing, g.closing = true, true
	open := make([]*transaction, 0, len(g.transactions))
	for _, tx := range g.transactions {
		open = append(open, tx)
	}
	members := g.members
	g.mu.Unlock()
	for _, tx := range open {
		g.abort(tx)
	}
	g.stop()
	for _, m := range members {
		m.close()
	}
}

// closeTimeout bounds how long a release waits for connections to close, after it has waited
// for requests and transactions.
const closeTimeout = 2 * time.Second

// awaitDrained waits until no member holds a connection, at most for closeTimeout and
// regardless of ctx's end.
func (g *group) awaitDrained(ctx context.Context) error {
	g.mu.Lock()
	members := g.members
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	for _, m := range members {
		select {
		case <-m.pool.Drained():
		case <-ctx.Done():
			return Error.New("release of %s: connections to %s still open", g.name, m.name)
		}
	}
	return nil
}

// notifyChanged wakes every request that waits for a change of the group's state. g.mu is
// held.
func (g *group) notifyChanged() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// observe records the answer to a poll of m that was sent at sentAt.
func (g *group) observe(m *member, sentAt time.Time, status target.Status) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.syncEvidence()
	status.Target = m.name
	g.evidence.Observe(sentAt, now, status)
	m.recordStatus(status, sentAt)
	for _, other := range g.members {
		other.coveredAt, other.coveredKnown = g.evidence.CoveredAt(other.readablePosition)
	}
	g.settleClaims(now)
	g.updatePrimary(now)
	g.notifyChanged()
}

// updatePrimary records and logs a change of primary. A higher term ends the context of the
// replaced primary, and with it the exchanges that wait for its answers. g.mu is held.
func (g *group) updatePrimary(now time.Time) {
	name, term, ok := g.evidence.Primary(now)
	g.gap.Observe(now, ok)
	if !ok || (name == g.primary && term == g.term) {
		return
	}
	if term > g.term && g.term > 0 {
		g.endPrimary()
		g.primaryCtx, g.endPrimary = context.WithCancel(context.Background())
	}
	g.primary, g.term = name, term
	_ = g.options.Logger.Log("event", "primary", "group", g.name, "target", name, "term", term)
}
