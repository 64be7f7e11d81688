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

// unfitFor is how long a node that could not reach a group's primary is passed over as the
// group's owner.
const unfitFor = 10 * time.Second

// unfitness holds which nodes can't own which groups, and until when. It is soft, like
// ownership itself.
type unfitness struct {
	clock clock.Clock

	mu    sync.Mutex
	until map[unfit]time.Time
	count uint64
}

// unfit is a node that can't own a group.
type unfit struct{ node, group string }

func newUnfitness(c clock.Clock) *unfitness {
	return &unfitness{clock: c, until: make(map[unfit]time.Time)}
}

// note marks a node as unfit for a group until a time.
func (u *unfitness) note(node, group string, until time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	key := unfit{node, group}
	if _, known := u.until[key]; !known {
		u.count++
	}
	u.until[key] = until
}

// changes returns a number that differs after each change.
func (u *unfitness) changes() uint64 {
	now := u.clock.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	for key, until := range u.until {
		if !now.Before(until) {
			delete(u.until, key)
			u.count++
		}
	}
	return u.count
}

// groups returns the groups that a node is unfit for.
func (u *unfitness) groups(node string) []string {
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

// without returns the nodes that are fit for a group, or all if none is.
func (u *unfitness) without(group string, nodes []ownership.Node) []ownership.Node {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.until) == 0 {
		return nodes
	}
	fit := slices.DeleteFunc(slices.Clone(nodes), func(n ownership.Node) bool {
		_, known := u.until[unfit{n.Name, group}]
		return known
	})
	if len(fit) == 0 {
		return nodes
	}
	return fit
}

// noteUnfit marks this node as unfit for the groups that it owns and can't serve.
func (o *owners) noteUnfit(ctx context.Context) {
	self := o.node.settings.Node.Name
	for group, p := range *o.table.Load() {
		if p.name == self && o.node.promotion.IsUnfitOwner(group) {
			_ = o.node.logger.Log("event", "unfit", "group", group, "why", "peers reach a target that this node does not")
			o.unfit.note(self, group, o.node.clock.Now().Add(unfitFor))
			o.announceUnfit(ctx)
		}
	}
}

// Bounds of an announcement. Nodes that miss it hear of it by probes.
const (
	announceTimeout = 300 * time.Millisecond
	announceNodes   = 32
)

// announceUnfit tells the other nodes which groups this one is unfit for.
func (o *owners) announceUnfit(ctx context.Context) {
	n := o.node
	news := news{Unfit: o.unfitGroups()}
	nodes := n.otherNodes()
	for _, vm := range nodes[:min(len(nodes), announceNodes)] {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, announceTimeout)
			defer cancel()
			var ignored struct{}
			if err := n.peers.Call(ctx, vm.Address, peer.KindUnfit, news, &ignored); err != nil {
				_ = n.logger.Log("event", "unfit not announced", "to", vm.Name, "err", err)
			}
		}()
	}
}

// handleUnfit answers peer.KindUnfit.
func (n *Node) handleUnfit(_ context.Context, from string, payload []byte) (any, error) {
	var heard news
	if err := cbor.Unmarshal(payload, &heard); err != nil {
		return nil, err
	}
	n.owners.heardUnfit(from, heard.Unfit)
	return struct{}{}, nil
}

// unfitGroups returns the groups that this node is unfit for.
func (o *owners) unfitGroups() []string { return o.unfit.groups(o.node.settings.Node.Name) }

// heardUnfit takes in what a node said of itself.
func (o *owners) heardUnfit(node string, groups []string) {
	for _, group := range groups {
		o.unfit.note(node, group, o.node.clock.Now().Add(unfitFor/4))
	}
}
