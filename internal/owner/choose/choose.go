// Package choose selects the target of a group that serves a request.
//
// Invariant: a replica is chosen for a read only if all of these hold:
//   - it is not leaving the group, not outside of the request's home regions, and not one that has just started of
//     which this node has no share;
//   - while a primary is known, the replica's term is the highest term seen and its last
//     log entry was written in that term (under held terms the last entry may be older);
//   - its term is not below that of the session token, and its log covers the token, which is
//     the log position that reflects what the session has written or read before;
//   - its data is no older than the profile's maximum age.
//
// Every other request goes to the primary, unless the first of these does not hold for that one. The status of a replica
// may be out of date by the time it answers, so the caller checks the position of the answer with Accepts.
//
// The package starts no goroutines, takes no locks and reads no clock.
package choose

import (
	"time"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/logpos"
	"crocusyoke/internal/owner/balance"
	"crocusyoke/internal/request"
	"crocusyoke/internal/target"
)

// Policy selects the targets that may serve reads.
type Policy string

// The policies.
const (
	// Replicas lets replicas serve reads as the profile allows.
	Replicas Policy = "replicas"
	// PrimaryOnly sends every request to the primary. It is the baseline for comparisons.
	PrimaryOnly Policy = "primary-only"
)

// Costs that are added to a candidate's expected wait for a slot.
const (
	// crossDomainCost is the round trip to another failure domain.
	crossDomainCost = 2 * time.Millisecond
	// primaryPenalty keeps the primary's slots free for writes: a read goes to the primary
	// only when the best replica is slower by more than this.
	primaryPenalty = 20 * time.Millisecond
	// readerPenalty is the cost of a replica to which the reader of its failure domain sends reads too. It is more
	// than primaryPenalty, so that the owner uses such a replica only while the primary is busy.
	readerPenalty = 2 * primaryPenalty
	// errorPenalty is added for a candidate whose recent exchanges all failed. For others it is
	// multiplied by their share of recent errors.
	errorPenalty = 500 * time.Millisecond
	// maxErrorShare is the share of recent errors from which a replica is not worth waiting
	// for.
	maxErrorShare = 0.5
)

// Candidate describes one target as last observed.
type Candidate struct {
	Name    string
	Domain  string
	Leaving bool
	// OutsideHome is true for a target outside of the request's home regions.
	OutsideHome bool
	// NoShare is true for a target that has just started and that this node may send nothing to.
	NoShare bool
	// HasReader is true if another node is the reader of the target's failure domain.
	HasReader bool
	// StatusKnown is true while the newest status of the target is recent enough to be used.
	StatusKnown bool
	Role        target.Role
	Term        uint64
	// Last is the last log position that the target is known to have reached.
	Last logpos.Position
	// Age is the upper bound of the age of the target's data. It is valid if AgeKnown.
	Age      time.Duration
	AgeKnown bool
	// ExpectedWait is the expected time that a new statement waits for a slot.
	ExpectedWait time.Duration
	// ErrorShare is the share of recent exchanges that failed, from 0 to 1.
	ErrorShare float64
	// Load is how full the target is expected to be. It is used if Criteria.EvenLoad.
	Load balance.Load
}

// Criteria describes one request that needs a target, and the state of its group.
type Criteria struct {
	Policy           Policy
	Read             bool
	Profile          *fleet.Profile
	MinPosition      logpos.Position
	MinPositionKnown bool
	// Domain is the failure domain of the node that owns the group.
	Domain string
	// Nearby restricts the choice to replicas in Domain.
	Nearby bool
	// Primary is the index of the current primary in the candidates, or -1.
	Primary int
	// Term is the highest term seen in the group.
	Term uint64
	// HeldTerms is true for targets with held terms (evidence.Options.HeldTerms). A promotion
	// adds no entry to the log of such a target, so that its last entry keeps the term of the
	// former primary until the next write.
	HeldTerms bool
	// ReplicaWaitLeft is the time that is left of the profile's ReplicaWait.
	ReplicaWaitLeft time.Duration
	// EvenLoad draws one of several replicas that are about as good by Random (package balance), and counts the
	// statements of other nodes.
	EvenLoad bool
	Random   uint64
}

// Choice is the decision where a request goes.
type Choice struct {
	// Target is the index of the chosen candidate, or -1.
	Target int
	// Replica is true if the target was chosen as a replica.
	Replica bool
	// Wait, if positive, is how long to wait for a replica to catch up with the session
	// token. No target is chosen then.
	Wait time.Duration
}

// noTarget is the answer if no target may serve the request.
var noTarget = Choice{Target: -1}

// Choose selects the target for the request that q describes: the eligible replica with the
// least expected cost, unless the primary is faster by more than primaryPenalty, else the
// primary. If no replica is fresh enough for the request yet, but one can be expected to catch up
// within q.ReplicaWaitLeft, it returns how long to wait.
func Choose(q *Criteria, candidates []Candidate) Choice {
	best := noTarget
	if q.Nearby {
		return chooseNearby(q, candidates)
	}
	if CanUseReplica(q) {
		best = chooseReplica(q, candidates)
		if best.Target < 0 && q.ReplicaWaitLeft > 0 && canCatchUp(q, candidates) {
			return Choice{Target: -1, Wait: q.ReplicaWaitLeft}
		}
	}
	if best.Target >= 0 && !isSlowerThanPrimary(q, candidates, best.Target) {
		return best
	}
	if hasUsablePrimary(q, candidates) {
		return Choice{Target: q.Primary}
	}
	return best
}

// chooseNearby returns the best replica in q.Domain, or noTarget.
func chooseNearby(q *Criteria, candidates []Candidate) Choice {
	if !CanUseReplica(q) {
		return noTarget
	}
	return chooseReplica(q, candidates)
}

// CanUseReplica reports whether a replica may serve the request at all.
func CanUseReplica(q *Criteria) bool {
	return q.Read && q.Policy != PrimaryOnly && q.MinPositionKnown && q.Profile.Reads != fleet.ReadsPrimary
}

// Accepts reports whether a replica's answer satisfies the request. The answer reflects the
// log up to position, and its data is at most age old if ageKnown.
func Accepts(q *Criteria, position logpos.Position, age time.Duration, ageKnown bool) bool {
	if !position.Covers(q.MinPosition) {
		return false
	}
	if q.Profile.Reads != fleet.ReadsAge {
		return true
	}
	return ageKnown && age <= q.Profile.MaxAge.Std()
}

// NeedsPrimary reports whether requests of kind must go to the primary.
func NeedsPrimary(kind request.Kind) bool {
	return kind != request.KindRead && kind != request.KindBeginRead
}

func chooseReplica(q *Criteria, candidates []Candidate) Choice {
	if q.EvenLoad {
		return drawReplica(q, candidates)
	}
	best := noTarget
	var bestCost time.Duration
	for i := range candidates {
		c := &candidates[i]
		if !mayServe(q, c) {
			continue
		}
		cost := expectedCost(q, c)
		if best.Target < 0 || cost < bestCost {
			best = Choice{Target: i, Replica: true}
			bestCost = cost
		}
	}
	return best
}

// isEligible reports whether c may serve reads as a replica, without regard to its log
// position and the age of its data.
func isEligible(q *Criteria, c *Candidate) bool {
	if c.Leaving || c.OutsideHome || c.NoShare || !c.StatusKnown || c.Role != target.RoleReplica || c.Term < q.MinPosition.Term {
		return false
	}
	if q.Primary < 0 {
		return true
	}
	return c.Term == q.Term && (q.HeldTerms || c.Last.Term == q.Term)
}

// canCatchUp reports whether a replica can be expected to become fresh enough within
// q.ReplicaWaitLeft. This is assumed of an eligible replica with a share of recent errors below
// maxErrorShare whose data is older than the profile's MaxAge by at most q.ReplicaWaitLeft.
func canCatchUp(q *Criteria, candidates []Candidate) bool {
	for i := range candidates {
		c := &candidates[i]
		if isEligible(q, c) && c.AgeKnown && c.Age <= q.ReplicaWaitLeft+q.Profile.MaxAge.Std() && c.ErrorShare < maxErrorShare {
			return true
		}
	}
	return false
}

func hasUsablePrimary(q *Criteria, candidates []Candidate) bool {
	if q.Primary < 0 {
		return false
	}
	c := &candidates[q.Primary]
	return !c.Leaving && !c.OutsideHome && !c.NoShare
}

func isSlowerThanPrimary(q *Criteria, candidates []Candidate, replica int) bool {
	if !hasUsablePrimary(q, candidates) {
		return false
	}
	return expectedCost(q, &candidates[replica]) > expectedCost(q, &candidates[q.Primary])+primaryPenalty
}

// expectedCost returns the expected wait for a slot of c plus the costs for distance and errors.
func expectedCost(q *Criteria, c *Candidate) time.Duration {
	cost := c.ExpectedWait + extraWait(q, c) + time.Duration(c.ErrorShare*float64(errorPenalty))
	if c.Domain != q.Domain {
		cost += crossDomainCost
	}
	if c.HasReader {
		cost += readerPenalty
	}
	return cost
}
