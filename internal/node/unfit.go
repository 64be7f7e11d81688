package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/ownership"
	"crocusyoke/internal/peer"
)

// unfitTTL is how long a node that could not reach a group's primary is passed over as the
// group's owner. Peers pass it over for only a quarter of that time after each report that the
// node is unfit. The node repeats the report in its answers to probes while it remains unfit.
const unfitTTL = 10 * time.Second

// unfitSet records which nodes are unfit to own which groups, and until when. A node is unfit to
// own a group if it can't reach a target that may be the group's primary, while a peer can. Like
// ownership itself, the set is advisory: it may differ between nodes, and no safety property
// depends on it.
type unfitSet struct {
	clock clock.Clock

	mu       sync.Mutex
	until    map[unfitKey]time.Time
	revision uint64
}

// unfitKey identifies a node and a group that it is unfit to own.
type unfitKey struct{ node, group string }

func newUnfitSet(c clock.Clock) *unfitSet {
	return &unfitSet{clock: c, until: make(map[unfitKey]time.Time)}
}

// mark marks node as unfit for group until the given time.
func (u *unfitSet) mark(node, group string, until time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	key := unfitKey{node, group}
	if _, known := u.until[key]; !known {
		u.revision++
	}
	u.until[key] = until
}

// expire removes marks whose time has passed and returns the revision of the set, which grows
// with every pair of node and group that is added or removed.
func (u *unfitSet) expire() uint64 {
	now := u.clock.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	for key, until := range u.until {
		if !now.Before(until) {
			delete(u.until, key)
			u.revision++
		}
	}
	return u.revision
}

// groupsOf returns the groups that node is unfit for.
func (u *unfitSet) groupsOf(node string) []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	var groups []string
	for key := range u.until {
		if key.node == node {
			groups = append(groups, key.group)
		}
	}
	return groups
}

// fitNodes returns those of nodes that are fit for group, or all of them if none is.
func (u *unfitSet) fitNodes(group string, nodes []ownership.Node) []ownership.Node {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.until) == 0 {
		return nodes
	}
	fit := slices.DeleteFunc(slices.Clone(nodes), func(n ownership.Node) bool {
		_, known := u.until[unfitKey{n.Name, group}]
		return known
	})
	if len(fit) == 0 {
		return nodes
	}
	return fit
}

// markUnfitGroups marks this node as unfit for each group that it owns but that another node
// should own, because a peer reaches a target that this node can't reach. It announces the groups
// to peers.
func (o *ownerTracker) markUnfitGroups(ctx context.Context) {
	self := o.node.settings.Node.Name
	for group, p := range *o.table.Load() {
		if p.name == self && o.node.promotion.IsUnfitOwner(group) {
			_ = o.node.logger.Log("event", "unfit", "group", group, "why", "peers reach a target that this node cannot reach")
			o.unfit.mark(self, group, o.node.clock.Now().Add(unfitTTL))
			o.announceUnfit(ctx)
		}
	}
}

// Limits of an announcement of the groups that this node is unfit for. Nodes that the
// announcement does not reach learn of these groups from this node's answers to probes.
const (
	announceTimeout  = 300 * time.Millisecond
	maxAnnounceNodes = 32
)

// announceUnfit tells the other nodes which groups this node is unfit for.
func (o *ownerTracker) announceUnfit(ctx context.Context) {
	n := o.node
	update := peerUpdate{Unfit: o.unfitGroups()}
	nodes := n.otherNodes()
	for _, vm := range nodes[:min(len(nodes), maxAnnounceNodes)] {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, announceTimeout)
			defer cancel()
			var ignored struct{}
			if err := n.peers.Call(ctx, vm.Address, peer.KindUnfit, update, &ignored); err != nil {
				_ = n.logger.Log("event", "unfit not announced", "to", vm.Name, "err", err)
			}
		}()
	}
}

// handleUnfit handles the announcements of peers, calls of peer.KindUnfit.
func (n *Node) handleUnfit(_ context.Context, from string, payload []byte) (any, error) {
	var update peerUpdate
	if err := cbor.Unmarshal(payload, &update); err != nil {
		return nil, err
	}
	n.owners.receiveUnfit(from, update.Unfit)
	return struct{}{}, nil
}

// unfitGroups returns the groups that this node is unfit for.
func (o *ownerTracker) unfitGroups() []string { return o.unfit.groupsOf(o.node.settings.Node.Name) }

// receiveUnfit marks node as unfit for the groups that it reported.
func (o *ownerTracker) receiveUnfit(node string, groups []string) {
	for _, group := range groups {
		o.unfit.mark(node, group, o.node.clock.Now().Add(unfitTTL/4))
	}
}
