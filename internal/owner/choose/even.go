package choose

import (
	"time"

	"crocusyoke/internal/owner/balance"
)

// usualReplicas is the number of replicas up to which a draw allocates nothing.
const usualReplicas = 8

// drawReplica returns one of the replicas that may serve the request about as soon as the best one.
func drawReplica(q *Criteria, candidates []Candidate) Choice {
	var room [usualReplicas]balance.Option
	options := room[:0]
	for i := range candidates {
		c := &candidates[i]
		if mayServe(q, c) {
			options = append(options, balance.Option{Target: i, Cost: expectedCost(q, c), Load: c.Load})
		}
	}
	if len(options) == 0 {
		return noTarget
	}
	return Choice{Target: balance.Pick(q.Random, options), Replica: true}
}

// extraWait returns by how much other nodes' statements prolong the expected wait at c.
func extraWait(q *Criteria, c *Candidate) time.Duration {
	if !q.EvenLoad {
		return 0
	}
	return c.Load.ExtraWait()
}

// mayServe reports whether c may serve the request as a replica.
func mayServe(q *Criteria, c *Candidate) bool {
	if q.Nearby && c.Domain != q.Domain {
		return false
	}
	return isFreshReplica(q, c)
}

func isFreshReplica(q *Criteria, c *Candidate) bool {
	return isEligible(q, c) && Accepts(q, c.Last, c.Age, c.AgeKnown)
}

// CanServe reports whether the candidate with index i may serve the request, now or after a wait for a slot: as a
// replica, or as the primary. Another node may have to place it there.
func CanServe(q *Criteria, candidates []Candidate, i int) bool {
	if i == q.Primary {
		return hasUsablePrimary(q, candidates)
	}
	return CanUseReplica(q) && isFreshReplica(q, &candidates[i])
}
