package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"crocusyoke/internal/contain"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/ownership"
	"crocusyoke/internal/region"
	"crocusyoke/internal/run/membership"
)

const (
	// ownerUpdateInterval is the interval between updates of the owner table.
	ownerUpdateInterval = 100 * time.Millisecond
	// releaseDelay is how long a former owner continues to serve a group for nodes that do not
	// know the new owner yet. After that it releases the group: it refuses new work, lets open
	// transactions finish and closes its connections to the targets.
	releaseDelay = 2 * time.Second
	// releaseTimeout limits the time that open transactions on a former owner have to finish.
	releaseTimeout = 5 * time.Second
)

// ownerLocation is the name and the address of a group's owner.
type ownerLocation struct {
	name    string
	address string
	domain  string
}

// ownerTable maps the names of groups to their owners. It is immutable once published.
type ownerTable map[string]ownerLocation

// ownerTracker keeps the owner table up to date and notifies the node's components when the
// node gains or loses the ownership of a group. All fields but node, table, unfit and
// doubtedAt are used only by the goroutine of run.
type ownerTracker struct {
	node  *Node
	table atomic.Pointer[ownerTable]
	// homes chooses nodes for requests whose homes an owner is not in.
	homes atomic.Pointer[homeNodes]
	// lostAt holds the groups that this node has lost but not released yet, with the time of the
	// loss.
	lostAt map[string]time.Time
	// view, config and unfitRevision are the inputs that the current table was built from.
	view          *membership.View
	config        *fleet.Config
	unfitRevision uint64
	// unfit records which nodes are passed over as owners of which groups.
	unfit *unfitSet
	// readers holds the readers of this node's failure domain.
	readers *readerTracker
	// doubtedAt maps addresses to when Doubt last had them probed.
	doubtedAt sync.Map
}

func newOwnerTracker(n *Node) *ownerTracker {
	o := &ownerTracker{node: n, lostAt: make(map[string]time.Time), unfit: newUnfitSet(n.clock), readers: newReaderTracker(n)}
	o.table.Store(&ownerTable{})
	o.homes.Store(&homeNodes{self: n.settings.Node.Name, unfit: o.unfit})
	return o
}

// Owner implements route.Owners. Under the split policy, a baseline for experiments in which
// several nodes each use a part of every target's capacity, every node acts as the owner of each
// group.
func (o *ownerTracker) Owner(group string, homes region.Set) (address string, self, ok bool) {
	p, ok := (*o.table.Load())[group]
	if ok && o.node.settings.Policy.Split > 0 {
		return "", true, true
	}
	own := o.node.settings.Node.Name
	if ok && p.name != own && !o.regions().Allows(homes, p.domain) {
		p = o.homes.Load().choose(group, homes)
	}
	return p.address, p.name == own, ok && p.name != ""
}

// doubtInterval is the shortest interval between two probes of a node because of Doubt.
const doubtInterval = 100 * time.Millisecond

// Doubt implements route.Owners: it has the node at address probed ahead of its turn. A node that has just
// started believes all listed nodes alive, also one that is leaving.
func (o *ownerTracker) Doubt(address string) {
	now := o.node.clock.Now()
	last, doubted := o.doubtedAt.Load(address)
	if doubted && now.Sub(last.(time.Time)) < doubtInterval {
		return
	}
	o.doubtedAt.Store(address, now)
	o.node.membership.LinkLost(address)
}

// isComplete reports whether every group of the configuration in force has a known owner.
func (o *ownerTracker) isComplete() bool {
	config := o.node.config.Current()
	if config == nil {
		return false
	}
	table := *o.table.Load()
	for _, g := range config.Groups {
		if table[g.Name].name == "" {
			return false
		}
	}
	return true
}

// run updates the owner table from membership, configuration and unfit nodes until ctx ends.
func (o *ownerTracker) run(ctx context.Context) error {
	pause := ownerUpdateInterval
	for o.node.clock.Sleep(ctx, pause) == nil {
		pause = ownerUpdateInterval
		if contain.Step(o.node.logger, "owner update", func() { o.refresh(ctx) }) {
			pause = contain.PauseAfterPanic
		}
	}
	return nil
}

func (o *ownerTracker) refresh(ctx context.Context) {
	config := o.node.config.Current()
	if config == nil {
		return
	}
	view := o.node.membership.View()
	o.markUnfitGroups(ctx)
	unfitRevision := o.unfit.expire()
	if view != o.view || config != o.config || unfitRevision != o.unfitRevision {
		o.view, o.config, o.unfitRevision = view, config, unfitRevision
		o.rebuildTable(view, config)
	}
	o.releaseLostGroups(ctx)
}

// rebuildTable builds and publishes a new owner table, and applies the gains and losses of this
// node.
func (o *ownerTracker) rebuildTable(view *membership.View, config *fleet.Config) {
	var nodes []ownership.Node
	for _, m := range view.Live() {
		if m.Name == view.Self && !view.SelfListed {
			// The other nodes do not know this node yet, so they still own the groups that it
			// would own.
			continue
		}
		nodes = append(nodes, ownership.Node{Name: m.Name, Domain: m.Domain, Capacity: m.Capacity})
	}
	groups := make([]ownership.Group, len(config.Groups))
	preferred := ownerRegions(o.regions(), config)
	for i, g := range config.Groups {
		fit := o.unfit.fitNodes(g.Name, nodes)
		if near := nodesIn(o.regions(), preferred[g.Name], fit); len(near) > 0 {
			fit = near
		}
		groups[i] = ownership.Group{Name: g.Name, Domain: homeDomain(g), Nodes: fit}
	}
	table := make(ownerTable, len(groups))
	owners := ownership.Assign(groups, nodes)
	for group, name := range owners {
		table[group] = locate(view, name)
	}
	o.homes.Store(&homeNodes{self: view.Self, nodes: nodes, view: view, unfit: o.unfit, regions: o.regions()})
	previous := *o.table.Swap(&table)
	o.applyOwnership(previous, table)
	o.readers.rebuild(config, owners, nodes, view)
}

// applyOwnership notifies the node's components of the groups that the node owns in only one
// of the tables previous and current.
func (o *ownerTracker) applyOwnership(previous, current ownerTable) {
	self := o.node.settings.Node.Name
	for group, p := range current {
		if p.name == self && previous[group].name != self {
			o.gainGroup(group)
		}
	}
	// This loop ranges over the previous table, because a group that was removed from the
	// configuration is missing in the current one.
	for group, p := range previous {
		if p.name == self && current[group].name != self {
			o.loseGroup(group, current[group].name)
		}
	}
}

func (o *ownerTracker) gainGroup(group string) {
	delete(o.lostAt, group)
	o.node.owner.SetOwned(group, true)
	o.node.promotion.SetOwned(group, true)
	o.node.setLeaseWanted(group, true)
	_ = o.node.logger.Log("msg", "owner gained", "group", group)
}

func (o *ownerTracker) loseGroup(group, newOwner string) {
	o.lostAt[group] = o.node.clock.Now()
	o.node.owner.SetOwned(group, false)
	o.node.promotion.SetOwned(group, false)
	o.node.setLeaseWanted(group, false)
	_ = o.node.logger.Log("msg", "owner lost", "group", group, "to", newOwner)
}

// releaseLostGroups starts to release the groups that were lost at least releaseDelay ago.
func (o *ownerTracker) releaseLostGroups(ctx context.Context) {
	now := o.node.clock.Now()
	for group, since := range o.lostAt {
		if now.Sub(since) >= releaseDelay {
			delete(o.lostAt, group)
			if !o.readers.reads(group) {
				go o.releaseGroup(ctx, group)
			}
		}
	}
}

func (o *ownerTracker) releaseGroup(ctx context.Context, group string) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := o.node.owner.Release(ctx, group); err != nil {
		_ = o.node.logger.Log("msg", "released group still has open connections to targets", "group", group, "err", err)
	}
}

// homeDomain returns the failure domain in which the group's owner should be: that of its first listed
// target, also while another target is the primary. All nodes must come to the same result, and only
// the owner may know that an unlisted target is gone.
func homeDomain(g fleet.Group) string {
	for _, t := range g.Targets {
		if !t.Unlisted {
			return t.Domain
		}
	}
	return ""
}
