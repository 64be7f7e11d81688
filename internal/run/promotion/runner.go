// Package promotion executes the decisions of the promotion controller: it asks peers
// whether they reach a target, sends orders to targets and records promotions. An order is an
// Adopt, Promote or Follow command of the controller. Safety does not depend on this
// package: the invariant of package controller/promotion holds even if actions are lost,
// delayed or repeated, or run on several nodes.
package promotion

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/zeebo/errs"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/contain"
	"crocusyoke/internal/controller/promotion"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/peer"
	"crocusyoke/internal/platform"
	"crocusyoke/internal/target"
)

// Error is the class of this package's errors.
var Error = errs.Class("promotion")

const (
	// tickInterval is the delay between two calls of the controllers' Tick; idleInterval is
	// the delay while the node owns no group.
	tickInterval = 50 * time.Millisecond
	idleInterval = 150 * time.Millisecond
	// commandTimeout bounds one order to a target other than a promotion; promoteTimeout
	// bounds a promotion.
	commandTimeout = time.Second
	// announceRetryInterval is the delay between two tries to record in the lease's row the
	// term to which a promotion may be ordered.
	announceRetryInterval = 50 * time.Millisecond
	promoteTimeout        = promotion.HeldPromoteTimeout
)

// counters holds the counters of all groups, published as "promotion".
var counters = expvar.NewMap("promotion")

const (
	counterOrdersSent     = "orders_sent"
	counterOrdersFailed   = "orders_failed"
	counterPromotions     = "promotions"
	counterPeersAsked     = "peers_asked"
	counterRecordsWritten = "records_written"
)

// Options configures a Runner.
type Options struct {
	// Self is the node's name; Domain is its failure domain.
	Self   string
	Domain string
	// Incarnation distinguishes restarts of the node's process.
	Incarnation string
	Deployment  string
	// Settle and HeldTerms are passed to the controller's Options.
	Settle    time.Duration
	HeldTerms bool
	// Lease guards promotions where targets keep an adopted term only temporarily
	// (HeldTerms); nil where promotions need no lease.
	Lease Lease
	// Holding is told of each target that is about to be sent an order that may put it on hold; may be nil.
	Holding func(group, target string)
	// Held is told of each target that is on hold since an order of this node was answered at the given time; may be
	// nil.
	Held   func(group string, at time.Time, status target.Status)
	Dialer target.Dialer
	Peers  peer.Caller
	// Nodes returns the other nodes, except those known to be dead.
	Nodes func() []platform.VM
	// Table holds the groups' rows and the objects of their audit trails.
	Table  Store
	Config fleet.Source
	Clock  clock.Clock
	Logger log.Logger
	// Seed seeds the random backoff after abandoned attempts to promote a target.
	Seed uint64
}

// Runner runs one promotion controller for each group of the configuration.
type Runner struct {
	options Options
	wait    sync.WaitGroup

	mu     sync.Mutex
	groups map[string]*group
	// recentRecords are the newest records that were written, oldest first; lostRecords those to
	// be written again after a restore of the store.
	recentRecords []recentRecord
	lostRecords   []*recorder
}

type group struct {
	name string

	mu         sync.Mutex
	controller *promotion.Group
	members    []promotion.Member
	owned      bool
	// restsUntil is when the controller is ticked again after a panic.
	restsUntil time.Time
}

// update calls f with the group's controller while g is locked. The lock is released if f panics.
func (g *group) update(f func(c *promotion.Group)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.controller)
}

// New returns a Runner that owns no group.
func New(options Options) *Runner {
	return &Runner{options: options, groups: make(map[string]*group)}
}

// Run ticks the controllers of the owned groups until ctx ends, then waits for actions in
// progress.
func (r *Runner) Run(ctx context.Context) error {
	defer r.wait.Wait()
	pause := tickInterval
	for r.options.Clock.Sleep(ctx, pause) == nil {
		r.recordAgain(ctx)
		owned := r.ownedGroups()
		for _, g := range owned {
			r.tick(ctx, g)
		}
		pause = tickInterval
		if len(owned) == 0 {
			pause = idleInterval
		}
	}
	return nil
}

// SetOwned sets whether this node owns the group. A node runs the promotion controller only
// for groups that it owns, and may order promotions only of their targets.
func (r *Runner) SetOwned(name string, owned bool) {
	g := r.group(name)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.owned = owned
	g.controller.SetEnabled(owned)
}

// Observe passes a target's response to a poll that was sent at sentAt to the controller.
func (r *Runner) Observe(name string, sentAt time.Time, status target.Status) {
	g := r.group(name)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.Observe(sentAt, status)
}

// ObserveFailedPoll tells the controller that a poll sent to the target at sentAt has failed. One
// failed poll does not yet make the target count as unreachable.
func (r *Runner) ObserveFailedPoll(name, targetName string, sentAt time.Time) {
	g := r.group(name)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.ObserveFailedPoll(sentAt, targetName)
}

// ObserveDeclinedPoll tells the controller that the target answered a poll that was sent at sentAt without its
// status (target.ErrDeclined).
func (r *Runner) ObserveDeclinedPoll(name, targetName string, sentAt time.Time) {
	g := r.group(name)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.ObserveDeclinedPoll(sentAt, targetName)
}

// PrimaryDomain returns the failure domain of the group's primary, or "" if the primary is
// not known.
func (r *Runner) PrimaryDomain(name string) string {
	g := r.group(name)
	g.mu.Lock()
	defer g.mu.Unlock()
	primary, _ := g.controller.Primary()
	for _, m := range g.members {
		if m.Name == primary {
			return m.Domain
		}
	}
	return ""
}

// IsUnfitOwner reports whether another node should own the group and decide on its
// promotions. This is so if this node cannot reach a target that may be the primary, but a
// peer can.
func (r *Runner) IsUnfitOwner(name string) bool {
	g := r.group(name)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.IsUnfit(r.options.Clock.Now())
}

// Timeline returns when the steps of this node's newest promotion of the group took place.
func (r *Runner) Timeline(name string) promotion.Timeline {
	g := r.group(name)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.Timeline()
}

func (r *Runner) group(name string) *group {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.groups[name]
	if g == nil {
		g = &group{name: name, controller: r.newController(uint64(len(r.groups)))}
		r.groups[name] = g
	}
	return g
}

func (r *Runner) newController(stream uint64) *promotion.Group {
	return promotion.New(promotion.Options{
		Self:      r.options.Self + "#" + r.options.Incarnation,
		Domain:    r.options.Domain,
		Settle:    r.options.Settle,
		HeldTerms: r.options.HeldTerms,
		Rand:      rand.New(rand.NewPCG(r.options.Seed, stream)),
	})
}

func (r *Runner) ownedGroups() []*group {
	r.mu.Lock()
	defer r.mu.Unlock()
	var owned []*group
	for _, g := range r.groups {
		g.mu.Lock()
		if g.owned {
			owned = append(owned, g)
		}
		g.mu.Unlock()
	}
	return owned
}

// tick ticks a group's controller. After a panic the group's attempt is dropped, and the controller
// rests for a while.
func (r *Runner) tick(ctx context.Context, g *group) {
	panicked := contain.Step(r.options.Logger, "promotion tick", func() { r.advance(ctx, g) })
	if !panicked {
		return
	}
	g.update(func(c *promotion.Group) {
		g.restsUntil = r.options.Clock.Now().Add(contain.PauseAfterPanic)
		c.SetEnabled(false)
		c.SetEnabled(g.owned)
	})
}

// tickResult is what one tick of a group's controller has led to.
type tickResult struct {
	lease         promotion.LeaseState
	actions       []promotion.Action
	before, after promotion.Phase
	ordered       uint64
	isKnown       bool
	state         string
}

func (r *Runner) advance(ctx context.Context, g *group) {
	config := r.options.Config.Current()
	if config == nil {
		return
	}
	listed := config.Group(g.name)
	if listed == nil {
		return
	}
	t := r.tickController(g, listed)
	if t.before != t.after {
		_ = r.options.Logger.Log("msg", "promotion step", "group", g.name, "from", t.before, "to", t.after, "state", t.state)
	}
	if t.lease.Fence > 0 && t.isKnown && t.after == promotion.PhaseIdle {
		r.options.Lease.SetOrderedTerm(g.name, t.lease.Fence, t.ordered)
	}
	r.startActions(ctx, g, t.actions)
}

// tickController passes the listed targets and the lease to the controller of g, and ticks it.
func (r *Runner) tickController(g *group, listed *fleet.Group) tickResult {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := r.options.Clock.Now()
	t := tickResult{before: g.controller.Phase(), after: g.controller.Phase()}
	if now.Before(g.restsUntil) {
		return t
	}
	g.members = members(listed)
	g.controller.SetMembers(g.members)
	g.controller.SetSyncReplicas(listed.SyncReplicas)
	if r.options.Lease != nil {
		t.lease = r.leaseState(g.name)
		g.controller.SetLease(now, t.lease)
	}
	t.actions = g.controller.Tick(now)
	t.after = g.controller.Phase()
	t.ordered, t.isKnown = g.controller.OrderedTerm(), g.controller.KnowsOrderedTerm()
	t.state = g.controller.String()
	return t
}

func members(listed *fleet.Group) []promotion.Member {
	all := make([]promotion.Member, len(listed.Targets))
	for i, t := range listed.Targets {
		all[i] = promotion.Member{
			Name: t.Name, Address: t.Address, Domain: t.Domain, Leaving: t.Leaving, Unlisted: t.Unlisted, Evacuated: t.Evacuated,
		}
	}
	return all
}
