// Package choose decides which target of a group serves a request.
//
// Invariant: a replica is chosen for a read only if it is not leaving, its term and its
// log's last entry are of the current primary's term while one is known, its log covers
// the session's token, and its data is at most as old as the profile accepts. All else
// goes to the primary. What is known of a replica may be out of date, so the caller
// checks the answer's position with Accepts.
//
// The package holds no goroutine, lock or clock.
package choose

import (
	"time"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/logpos"
	"crocusyoke/internal/request"
	"crocusyoke/internal/target"
)

// Policy says which targets may serve reads at all.
type Policy string

// The policies.
const (
	// Replicas lets replicas serve reads as the profile allows.
	Replicas Policy = "replicas"
	// PrimaryOnly sends every request to the primary; it is kept as a baseline.
	PrimaryOnly Policy = "primary-only"
)

// Costs that are added to a candidate's expected wait.
const (
	// domainCost is the way to another failure domain and back.
	domainCost = 2 * time.Millisecond
	// primaryCost keeps the primary's slots for writes: a read goes there only when
	// replicas are this much slower.
	primaryCost = 20 * time.Millisecond
	// errorCost is added in proportion to the share of recent errors.
	errorCost = 500 * time.Millisecond
	// maxErrorShare keeps a target out while another one will do.
	maxErrorShare = 0.5
)

// Candidate is what is known of one target.
type Candidate struct {
	Name    string
	Domain  string
	Leaving bool
	// Known is false until the target's status was seen recently.
	Known bool
	Role  target.Role
	Term  uint64
	// Last is the target's last log position, as far as known.
	Last logpos.Position
	// Age is how old its data is at most; valid if AgeKnown.
	Age      time.Duration
	AgeKnown bool
	// Wait is how long a new statement would wait for a slot.
	Wait time.Duration
	// Errors is the share of recent exchanges that failed, 0 to 1.
	Errors float64
}

// Question is one request to place.
type Question struct {
	Policy     Policy
	Read       bool
	Profile    *fleet.Profile
	Token      logpos.Position
	TokenKnown bool
	// Domain is the failure domain of the owner.
	Domain string
	// Primary is the index of the current primary in the candidates, or -1.
	Primary int
	// Term is the highest term seen.
	Term uint64
	// HeldTerms is true for targets whose log keeps its last position through a promotion
	// until the next write.
	HeldTerms bool
	// Patience is the time left of the profile's ReplicaWait.
	Patience time.Duration
}

// Answer is where a request goes.
type Answer struct {
	// Target is the index of the chosen candidate, or -1.
	Target int
	// Replica is true when the target is to serve as a replica.
	Replica bool
	// Wait, if positive, is for how long to wait for a replica that almost covers.
	Wait time.Duration
}

// none is the answer when no target may serve.
var none = Answer{Target: -1}

// Choose places one request.
func Choose(q *Question, candidates []Candidate) Answer {
	best := none
	if MayUseReplica(q) {
		best = chooseReplica(q, candidates)
		if best.Target < 0 && q.Patience > 0 && almost(q, candidates) {
			return Answer{Target: -1, Wait: q.Patience}
		}
	}
	if best.Target >= 0 && !slowerThanPrimary(q, candidates, best.Target) {
		return best
	}
	if usablePrimary(q, candidates) {
		return Answer{Target: q.Primary}
	}
	return best
}

// MayUseReplica reports whether any replica may serve the request.
func MayUseReplica(q *Question) bool {
	return q.Read && q.Policy != PrimaryOnly && q.TokenKnown && q.Profile.Reads != fleet.ReadsPrimary
}

// Accepts reports whether a replica's answer that reflects position, and whose data is
// age old at most, satisfies the request.
func Accepts(q *Question, position logpos.Position, age time.Duration, ageKnown bool) bool {
	if !position.Covers(q.Token) {
		return false
	}
	if q.Profile.Reads != fleet.ReadsAge {
		return true
	}
	return ageKnown && age <= q.Profile.MaxAge.Std()
}

// Write reports whether kind must go to the primary.
func Write(kind request.Kind) bool {
	return kind != request.KindRead && kind != request.KindBeginRead
}

func chooseReplica(q *Question, candidates []Candidate) Answer {
	best := none
	var bestCost time.Duration
	for i := range candidates {
		c := &candidates[i]
		if !eligible(q, c) || !Accepts(q, c.Last, c.Age, c.AgeKnown) {
			continue
		}
		cost := expected(q, c)
		if best.Target < 0 || cost < bestCost {
			best = Answer{Target: i, Replica: true}
			bestCost = cost
		}
	}
	return best
}

// eligible reports whether c may serve as a replica, its position left aside.
func eligible(q *Question, c *Candidate) bool {
	if c.Leaving || !c.Known || c.Role != target.RoleReplica || c.Term < q.Token.Term {
		return false
	}
	if q.Primary < 0 {
		return true
	}
	return c.Term == q.Term && (q.HeldTerms || c.Last.Term == q.Term)
}

// almost reports whether a replica is likely to cover the token within the patience.
func almost(q *Question, candidates []Candidate) bool {
	for i := range candidates {
		c := &candidates[i]
		if eligible(q, c) && c.AgeKnown && c.Age <= q.Patience+q.Profile.MaxAge.Std() && c.Errors < maxErrorShare {
			return true
		}
	}
	return false
}

func usablePrimary(q *Question, candidates []Candidate) bool {
	return q.Primary >= 0 && !candidates[q.Primary].Leaving
}

func slowerThanPrimary(q *Question, candidates []Candidate, replica int) bool {
	if !usablePrimary(q, candidates) {
		return false
	}
	return expected(q, &candidates[replica]) > expected(q, &candidates[q.Primary])+primaryCost
}

// expected returns the expected wait at c.
func expected(q *Question, c *Candidate) time.Duration {
	cost := c.Wait + time.Duration(c.Errors*float64(errorCost))
	if c.Domain != q.Domain {
		cost += domainCost
	}
	return cost
}
