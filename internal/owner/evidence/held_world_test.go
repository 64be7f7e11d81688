package evidence

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"crocusyoke/internal/controller/promotion"
	"crocusyoke/internal/logpos"
	"crocusyoke/internal/target"
)

// Times and sizes of the simulation.
const (
	modelHistories = 300
	modelSteps     = 4000

	leaseDuration    = 4 * time.Second
	leaseSlack       = 500 * time.Millisecond
	pollTimeout      = 200 * time.Millisecond
	maxFaultDuration = 5 * time.Second
	// A promotion takes effect between minEffectDelay and maxEffectDelay after the call to the
	// platform.
	minEffectDelay = promotion.HeldMinPromoteDelay
	maxEffectDelay = 1500 * time.Millisecond
)

var errLost = errors.New("lost")

// heldTarget is a target with held terms. It keeps a hold until it restarts, it is released, or
// any target is promoted.
type heldTarget struct {
	name              string
	role              target.Role
	ownTerm, heldTerm uint64
	last              logpos.Position
	down              bool
}

func (h *heldTarget) status() target.Status {
	return target.Status{Target: h.name, Role: h.role, OwnTerm: h.ownTerm, Term: max(h.ownTerm, h.heldTerm), Last: h.last}
}

// adopt has a primary step down (STEPDOWN) and a replica hold term (PAUSE).
func (h *heldTarget) adopt(term uint64, orderer string) (target.Status, error) {
	if max(h.ownTerm, h.heldTerm) > term {
		return target.Status{}, errLost
	}
	status := h.status()
	if h.role == target.RolePrimary {
		h.role = target.RoleReplica
		status.Role, status.Term = target.RoleReplica, term
	} else {
		h.heldTerm = term
		status = h.status()
	}
	status.Orderer = orderer
	return status, nil
}

// heldNode is a node that polls the targets and confirms answers, and orders promotions while it
// holds the lease.
type heldNode struct {
	name       string
	group      *Group
	orderer    *promotion.Group
	leaseUntil time.Time
	claims     []pendingCommit
	cutOff     map[string]bool
	// fence is the fence of the newest lease of this node, and readTerm the term in the row of the
	// lease when it was acquired. announcedTerm is the term that this node last recorded in the
	// row, and calledTerm the highest term for which it called a promotion.
	fence, readTerm, announcedTerm, calledTerm uint64
	// readUnknown is true if a restore of the store had lost the term in the row.
	readUnknown bool
}

func (n *heldNode) holdsLease(now time.Time) bool { return now.Add(leaseSlack).Before(n.leaseUntil) }

// lease returns the lease as n knows it; it is zero while n holds none.
func (n *heldNode) lease(now time.Time) promotion.LeaseState {
	if !n.holdsLease(now) {
		return promotion.LeaseState{}
	}
	return promotion.LeaseState{Fence: n.fence, OrderedTerm: n.readTerm, OrderedTermUnknown: n.readUnknown}
}

// currentEvidence returns the evidence of n after telling it whether n is the only node that may
// order promotions.
func (n *heldNode) currentEvidence(now time.Time) *Group {
	n.group.SetSoleOrderer(n.orderer.IsSoleOrderer(now, n.lease(now).Fence, n.group.HighestTerm()))
	return n.group
}

// recovery ends a fault at a set time.
type recovery struct {
	at    time.Time
	apply func()
}

// pendingPromotion is a promotion that was called and has not taken effect yet.
type pendingPromotion struct {
	target *heldTarget
	at     time.Time
}

// heldModel simulates three targets, two nodes and a lease, with delays, lost messages and cut
// connections between them.
type heldModel struct {
	t       *testing.T
	seed    uint64
	rand    *rand.Rand
	now     time.Time
	targets []*heldTarget
	nodes   []*heldNode
	// leaseHolder, leaseUntil, lastFence and orderedTerm are the row of the lease in the store.
	// leaseHolder is the index of a node, or -1.
	leaseHolder            int
	leaseUntil             time.Time
	lastFence, orderedTerm uint64
	// orderedUnknown is true if the row tells that a higher term may have been lost.
	orderedUnknown bool
	// restores is whether the store is restored at times. rowLost is true from a restore, at
	// restoredAt, until the row is written again.
	restores          bool
	rowLost           bool
	restoredAt        time.Time
	inFlight          []func(lost bool)
	pendingPromotions []pendingPromotion
	// effectiveAt is, by term, when the promotion to it took effect.
	effectiveAt map[uint64]time.Time
	// partitioned contains the pairs of targets that can't reach each other, by index.
	partitioned map[[2]int]bool
	recoveries  []recovery
	confirmed   int
}

func newHeldModel(t *testing.T, seed uint64) *heldModel {
	w := &heldModel{t: t, seed: seed, rand: rand.New(rand.NewPCG(seed, 0)), now: epoch, leaseHolder: -1, effectiveAt: make(map[uint64]time.Time), partitioned: make(map[[2]int]bool)}
	var names []string
	var members []promotion.Member
	for i := range 3 {
		name := fmt.Sprint("t", i)
		w.targets = append(w.targets, &heldTarget{name: name, role: target.RoleReplica, ownTerm: 1})
		names = append(names, name)
		members = append(members, promotion.Member{Name: name, Address: name, Domain: fmt.Sprint("d", i)})
	}
	w.targets[0].role = target.RolePrimary
	for i := range 2 {
		n := &heldNode{name: fmt.Sprint("n", i), group: New(names, Options{HeldTerms: true}), cutOff: make(map[string]bool)}
		n.orderer = promotion.New(promotion.Options{
			Self: n.name, Domain: fmt.Sprint("d", i), Settle: MaxObservationAge, HeldTerms: true, Rand: rand.New(rand.NewPCG(1, uint64(i))),
		})
		n.orderer.SetMembers(members)
		n.orderer.SetEnabled(true)
		w.nodes = append(w.nodes, n)
	}
	return w
}

func (w *heldModel) oneIn(n int) bool { return w.rand.IntN(n) == 0 }

func (w *heldModel) advance(maxStep time.Duration) {
	w.now = w.now.Add(time.Duration(1 + w.rand.Int64N(int64(maxStep))))
	for len(w.pendingPromotions) > 0 && !w.pendingPromotions[0].at.After(w.now) {
		e := w.pendingPromotions[0]
		w.pendingPromotions = w.pendingPromotions[1:]
		w.makePrimary(e.target, e.at)
	}
}

// makePrimary makes h the primary of the next term; every hold of the group ends.
func (w *heldModel) makePrimary(h *heldTarget, at time.Time) {
	if h.down {
		return
	}
	h.ownTerm = w.newestTerm() + 1
	h.role = target.RolePrimary
	h.last = logpos.Position{Term: h.ownTerm, Index: h.last.Index + 1}
	w.effectiveAt[h.ownTerm] = at
	for _, other := range w.targets {
		other.heldTerm = 0
	}
}

func (w *heldModel) newestTerm() uint64 {
	var term uint64
	for _, h := range w.targets {
		term = max(term, h.ownTerm)
	}
	return term
}

// followNewestPrimary has target i take over the term and the log of the newest primary if it can
// reach that primary and is not held.
func (w *heldModel) followNewestPrimary(i int) {
	h, term := w.targets[i], w.newestTerm()
	primary := slices.IndexFunc(w.targets, func(o *heldTarget) bool { return o.ownTerm == term && o.role == target.RolePrimary })
	if primary < 0 || primary == i || h.down || h.heldTerm > h.ownTerm || w.targets[primary].down || w.partitioned[sortedPair(i, primary)] {
		return
	}
	h.role, h.ownTerm, h.last = target.RoleReplica, term, w.targets[primary].last
}

func sortedPair(a, b int) [2]int { return [2]int{min(a, b), max(a, b)} }

func (w *heldModel) canReach(n *heldNode, h *heldTarget) bool { return !n.cutOff[h.name] && !h.down }
