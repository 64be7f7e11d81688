package node

import (
	"context"
	"sync/atomic"
	"time"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/ownership"
	"crocusyoke/internal/run/membership"
)

const (
	// ownersEvery is the pause between two looks at who owns what.
	ownersEvery = 100 * time.Millisecond
	// releaseAfter is how long a former owner goes on serving nodes that have not heard.
	releaseAfter = 2 * time.Second
	// releaseFor bounds the run-out of a former owner's transactions.
	releaseFor = 5 * time.Second
)

// place is where a group's owner is.
type place struct {
	name    string
	address string
}

// ownerTable maps groups to owners; it is immutable.
type ownerTable map[string]place

// owners keeps the table of owners and tells the node's parts which groups it owns.
type owners struct {
	node  *Node
	table atomic.Pointer[ownerTable]
	lost  map[string]time.Time // former groups, since when
	// view, config and changes are those that the table was made from.
	view    *membership.View
	config  *fleet.Config
	changes uint64
	unfit   *unfitness
}

func newOwners(n *Node) *owners {
	o := &owners{node: n, lost: make(map[string]time.Time), unfit: newUnfitness(n.clock)}
	o.table.Store(&ownerTable{})
	return o
}

// Owner implements route.Owners.
func (o *owners) Owner(group string) (address string, self, ok bool) {
	p, ok := (*o.table.Load())[group]
	if ok && o.node.settings.Policy.Split > 0 {
		return "", true, true
	}
	return p.address, p.name == o.node.settings.Node.Name, ok && p.name != ""
}

// complete reports whether every group of the configuration in force has a known owner.
func (o *owners) complete() bool {
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

// run follows membership, configuration and primaries.
func (o *owners) run(ctx context.Context) error {
	for o.node.clock.Sleep(ctx, ownersEvery) == nil {
		o.update(ctx)
	}
	return nil
}

func (o *owners) update(ctx context.Context) {
	config := o.node.config.Current()
	if config == nil {
		return
	}
	view := o.node.membership.View()
	o.noteUnfit(ctx)
	changes := o.unfit.changes()
	if view != o.view || config != o.config || changes != o.changes {
		o.view, o.config, o.changes = view, config, changes
		o.replace(view, config)
	}
	o.releaseLost(ctx)
}

// replace makes the table anew and tells the parts what was gained and lost.
func (o *owners) replace(view *membership.View, config *fleet.Config) {
	var nodes []ownership.Node
	for _, m := range view.Live() {
		if m.Name == view.Self && !view.SelfListed {
			// The others do not know of this node yet: they own what it would.
			continue
		}
		nodes = append(nodes, ownership.Node{Name: m.Name, Domain: m.Domain})
	}
	table := make(ownerTable, len(config.Groups))
	for _, g := range config.Groups {
		name := ownership.Owner(g.Name, homeDomain(g), o.unfit.without(g.Name, nodes))
		member, _ := view.Member(name)
		table[g.Name] = place{name: name, address: member.Address}
	}
	former := *o.table.Swap(&table)
	o.apply(former, table)
}

// apply tells the parts what was gained and lost.
func (o *owners) apply(former, table ownerTable) {
	self := o.node.settings.Node.Name
	for group, p := range table {
		if p.name == self && former[group].name != self {
			o.gain(group)
		}
	}
	// A group that the configuration no longer names has left the table.
	for group, p := range former {
		if p.name == self && table[group].name != self {
			o.lose(group, table[group].name)
		}
	}
}

func (o *owners) gain(group string) {
	delete(o.lost, group)
	o.node.owner.SetOwned(group, true)
	o.node.promotion.SetOwned(group, true)
	o.node.followLeases(group, true)
	_ = o.node.logger.Log("msg", "owner gained", "group", group)
}

func (o *owners) lose(group, to string) {
	o.lost[group] = o.node.clock.Now()
	o.node.owner.SetOwned(group, false)
	o.node.promotion.SetOwned(group, false)
	o.node.followLeases(group, false)
	_ = o.node.logger.Log("msg", "owner lost", "group", group, "to", to)
}

// releaseLost lets go of groups that were lost long enough ago.
func (o *owners) releaseLost(ctx context.Context) {
	now := o.node.clock.Now()
	for group, since := range o.lost {
		if now.Sub(since) >= releaseAfter {
			delete(o.lost, group)
			go o.release(ctx, group)
		}
	}
}

func (o *owners) release(ctx context.Context, group string) {
	ctx, cancel := context.WithTimeout(ctx, releaseFor)
	defer cancel()
	if err := o.node.owner.Release(ctx, group); err != nil {
		_ = o.node.logger.Log("msg", "release incomplete", "group", group, "err", err)
	}
}

// homeDomain returns the failure domain that the group's owner is preferred in.
func homeDomain(g fleet.Group) string {
	if len(g.Targets) == 0 {
		return ""
	}
	return g.Targets[0].Domain
}
