package node

import (
	"sync"
	"sync/atomic"
	"time"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/ownership"
	"crocusyoke/internal/run/membership"
)

// declinedFor is how long reads of a group go to its owner after the reader had no replica for one. Its replica
// may be the primary, or behind.
const declinedFor = 2 * time.Second

// readerTable is the readers of all failure domains. It is immutable once published.
type readerTable struct {
	names map[ownership.ReaderKey]string
	// local holds the readers of this node's failure domain by group.
	local map[string]ownerLocation
}

// readerTracker keeps the readers up to date and implements route.Readers. Without the setting
// policy.nearby_reads there are none.
type readerTracker struct {
	node  *Node
	table atomic.Pointer[readerTable]
	// declinedAt maps a group to when its reader last had no replica for a read.
	declinedAt sync.Map
}

func newReaderTracker(n *Node) *readerTracker {
	r := &readerTracker{node: n}
	r.table.Store(&readerTable{})
	return r
}

// Reader implements route.Readers. Where the reader is also the owner, reads go to it as the owner.
func (r *readerTracker) Reader(group string) (address string, self, ok bool) {
	reader, ok := r.table.Load().local[group]
	if !ok || r.hasDeclined(group) || (*r.node.owners.table.Load())[group].name == reader.name {
		return "", false, false
	}
	return reader.address, reader.name == r.node.settings.Node.Name, true
}

// Declined implements route.Readers.
func (r *readerTracker) Declined(group string) { r.declinedAt.Store(group, r.node.clock.Now()) }

func (r *readerTracker) hasDeclined(group string) bool {
	at, ok := r.declinedAt.Load(group)
	return ok && r.node.clock.Now().Sub(at.(time.Time)) < declinedFor
}

// hasReader is owner.Options.HasReader.
func (r *readerTracker) hasReader(group, domain string) bool {
	name := r.table.Load().names[ownership.ReaderKey{Group: group, Domain: domain}]
	return name != "" && name != r.node.settings.Node.Name
}

// reads reports whether this node is the reader of its failure domain for group.
func (r *readerTracker) reads(group string) bool {
	return r.table.Load().local[group].name == r.node.settings.Node.Name
}

// rebuild builds and publishes the readers for a table of owners.
func (r *readerTracker) rebuild(config *fleet.Config, owners map[string]string, nodes []ownership.Node, view *membership.View) {
	if !r.node.settings.Policy.NearbyReads {
		return
	}
	table := &readerTable{names: ownership.AssignReaders(readerKeys(config), owners, nodes), local: make(map[string]ownerLocation)}
	for key, name := range table.names {
		if member, ok := view.Member(name); ok && key.Domain == r.node.settings.Node.Domain {
			table.local[key.Group] = ownerLocation{name: name, address: member.Address}
		}
	}
	previous := r.table.Swap(table)
	r.apply(previous, table)
}

// apply tells the owner of the groups that this node reads in only one of the tables previous and current.
func (r *readerTracker) apply(previous, current *readerTable) {
	self := r.node.settings.Node.Name
	for group, reader := range current.local {
		if reader.name == self && previous.local[group].name != self {
			r.node.owner.SetReads(group, true)
			_ = r.node.logger.Log("msg", "reader gained", "group", group)
		}
	}
	for group, reader := range previous.local {
		if reader.name == self && current.local[group].name != self {
			r.node.owner.SetReads(group, false)
			_ = r.node.logger.Log("msg", "reader lost", "group", group, "to", current.local[group].name)
		}
	}
}

// readerKeys returns a key for each failure domain of each group, in the order of the configuration.
func readerKeys(config *fleet.Config) []ownership.ReaderKey {
	var keys []ownership.ReaderKey
	for _, g := range config.Groups {
		known := make(map[string]bool, len(g.Targets))
		for _, t := range g.Targets {
			if t.Leaving || known[t.Domain] {
				continue
			}
			known[t.Domain] = true
			keys = append(keys, ownership.ReaderKey{Group: g.Name, Domain: t.Domain})
		}
	}
	return keys
}
