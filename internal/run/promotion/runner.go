// Package promotion carries out what the promotion controller decides: it asks peers,
// orders targets and records promotions. The controller holds the invariant; nothing
// here needs to be exact, timely or unique.
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
	"crocusyoke/internal/controller/promotion"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/peer"
	"crocusyoke/internal/platform"
	"crocusyoke/internal/target"
)

// Error is the class of this package's errors.
var Error = errs.Class("promotion")

const (
	// tickEvery is the pause between two decisions without input, idleEvery that of a node that
	// owns no group.
	tickEvery = 50 * time.Millisecond
	idleEvery = 150 * time.Millisecond
	// orderTimeout bounds one order to a target, promoteTimeout a promotion.
	orderTimeout = time.Second
	// announceRetry is the pause between two tries to have the lease's row name an order.
	announceRetry  = 50 * time.Millisecond
	promoteTimeout = promotion.HeldStepWait
)

// count holds the counters of all groups, published as "promotion".
var count = expvar.NewMap("promotion")

const (
	countOrders     = "orders_sent"
	countRefused    = "orders_failed"
	countPromotions = "promotions"
	countAsked      = "peers_asked"
	countRecords    = "records_written"
)

// Options of a Runner.
type Options struct {
	// Self is the node's name, Domain its failure domain.
	Self   string
	Domain string
	// Incarnation differs between two starts of the same node.
	Incarnation string
	Deployment  string
	// Settle and Held are passed to the controller.
	Settle time.Duration
	Held   bool
	// Lease guards promotions where targets hold terms only for a while; nil where they need
	// none.
	Lease  Lease
	Dialer target.Dialer
	Peers  peer.Caller
	// Nodes returns the other nodes that are not known to be dead.
	Nodes func() []platform.VM
	// Table holds the groups' rows and the objects of their audit trails.
	Table  Store
	Config fleet.Source
	Clock  clock.Clock
	Logger log.Logger
	// Seed seeds the pauses between orders that failed.
	Seed uint64
}

// Runner drives one controller for each group of the configuration.
type Runner struct {
	options Options
	wait    sync.WaitGroup

	mu     sync.Mutex
	groups map[string]*group
}

type group struct {
	name string

	mu      sync.Mutex
	core    *promotion.Group
	members []promotion.Member
	owned   bool
}

// New returns a Runner that owns no group.
func New(options Options) *Runner {
	return &Runner{options: options, groups: make(map[string]*group)}
}

// Run decides until ctx ends, then waits for orders under way.
func (r *Runner) Run(ctx context.Context) error {
	defer r.wait.Wait()
	pause := tickEvery
	for r.options.Clock.Sleep(ctx, pause) == nil {
		owned := r.owned()
		for _, g := range owned {
			r.tick(ctx, g)
		}
		pause = tickEvery
		if len(owned) == 0 {
			pause = idleEvery
		}
	}
	return nil
}

// SetOwned says whether this node is the owner of the group and may order.
func (r *Runner) SetOwned(name string, owned bool) {
	g := r.group(name)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.owned = owned
	g.core.Enable(owned)
}

// Observe takes a target's answer to a poll that was sent at sentAt.
func (r *Runner) Observe(name string, sentAt time.Time, status target.Status) {
	g := r.group(name)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.Observe(sentAt, status)
}

// Unreachable takes the failure of a poll that was sent at sentAt.
func (r *Runner) Unreachable(name, targetName string, sentAt time.Time) {
	g := r.group(name)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.Unreachable(sentAt, targetName)
}

// PrimaryDomain returns the failure domain of the group's primary, or "".
func (r *Runner) PrimaryDomain(name string) string {
	g := r.group(name)
	g.mu.Lock()
	defer g.mu.Unlock()
	primary, _ := g.core.Primary()
	for _, m := range g.members {
		if m.Name == primary {
			return m.Domain
		}
	}
	return ""
}

// Unfit reports whether another node should own the group: this one can't reach a target
// that may lead, and a peer can.
func (r *Runner) Unfit(name string) bool {
	g := r.group(name)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Unfit(r.options.Clock.Now())
}

// Timeline returns the instants of the group's newest promotion by this node.
func (r *Runner) Timeline(name string) promotion.Timeline {
	g := r.group(name)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Timeline()
}

func (r *Runner) group(name string) *group {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.groups[name]
	if g == nil {
		g = &group{name: name, core: r.newCore(uint64(len(r.groups)))}
		r.groups[name] = g
	}
	return g
}

func (r *Runner) newCore(stream uint64) *promotion.Group {
	return promotion.New(promotion.Options{
		Self:   r.options.Self + "#" + r.options.Incarnation,
		Domain: r.options.Domain,
		Settle: r.options.Settle,
		Held:   r.options.Held,
		Rand:   rand.New(rand.NewPCG(r.options.Seed, stream)),
	})
}

func (r *Runner) owned() []*group {
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

func (r *Runner) tick(ctx context.Context, g *group) {
	config := r.options.Config.Current()
	if config == nil {
		return
	}
	listed := config.Group(g.name)
	if listed == nil {
		return
	}
	g.mu.Lock()
	g.members = members(listed)
	g.core.SetMembers(g.members)
	var lease promotion.Lease
	if r.options.Lease != nil {
		lease = r.lease(g.name)
		g.core.SetLease(r.options.Clock.Now(), lease)
	}
	before := g.core.Phase()
	actions := g.core.Tick(r.options.Clock.Now())
	after := g.core.Phase()
	ordered := g.core.Ordered()
	state := g.core.String()
	g.mu.Unlock()
	if before != after {
		_ = r.options.Logger.Log("msg", "promotion step", "group", g.name, "from", before, "to", after, "state", state)
	}
	if lease.Fence > 0 && after == promotion.PhaseIdle {
		r.options.Lease.SetOrdered(g.name, lease.Fence, ordered)
	}
	r.carryOut(ctx, g, actions)
}

func members(listed *fleet.Group) []promotion.Member {
	all := make([]promotion.Member, len(listed.Targets))
	for i, t := range listed.Targets {
		all[i] = promotion.Member{Name: t.Name, Address: t.Address, Domain: t.Domain, Leaving: t.Leaving}
	}
	return all
}
