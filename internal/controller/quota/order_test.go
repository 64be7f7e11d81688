package quota

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestTokensGoInOrderOfPriority checks that a node's tokens go to the most urgent of a customer's waiting requests,
// but for one in agedTurn, and that a request that comes later leaves them to those.
func TestTokensGoInOrderOfPriority(t *testing.T) {
	const urgent, bulk = 0, 2
	now := time.Unix(1000, 0)
	a := NewAccount(now)
	a.Configure(Limit{Rate: 100, Burst: 1000}, now)
	a.SetShare(Share{Each: 1, Nodes: 1}, now)
	grant := func(tokens float64) { a.ApplyGrant(tokens, a.held(), now, now) }
	taken := func(priority int) bool {
		ok, _ := a.TakeInTurn(priority, now)
		return ok
	}
	a.BeginWait(bulk, now)
	a.BeginWait(urgent, now)
	grant(1)
	must.False(t, taken(bulk))
	must.True(t, taken(urgent))
	for range agedTurn - 2 {
		grant(1)
		must.True(t, taken(urgent))
	}
	grant(1)
	must.False(t, taken(urgent))
	must.True(t, taken(bulk))
	a.EndWait(urgent)
	grant(1)
	must.True(t, taken(bulk))
}

// TestNoPriorityBetweenOthersStarves: requests of three priorities wait all the time. Each gets tokens, the more urgent
// ones at least as many.
func TestNoPriorityBetweenOthersStarves(t *testing.T) {
	now := time.Unix(1000, 0)
	a := NewAccount(now)
	a.Configure(Limit{Rate: 10, Burst: 1000}, now)
	a.SetShare(Share{Own: 1, Each: 1, Nodes: 1}, now)
	for priority := range 3 {
		a.NoteRequest(priority, now)
		a.BeginWait(priority, now)
	}
	got := make([]int, 3)
	for range 80 {
		a.tokens, a.holdLimit, a.holdLimitAt = 1, 1000, now
		for priority := range 3 {
			if ok, _ := a.TakeInTurn(priority, now); ok {
				got[priority]++
				a.Settle(true, now)
			}
		}
	}
	must.Eq(t, 80, got[0]+got[1]+got[2])
	must.GreaterEq(t, 70, got[0])
	must.GreaterEq(t, got[2], got[1])
	must.GreaterEq(t, 1, got[2])
}

// TestUrgentRequestThatArrivesGoesFirst: it takes the token that less urgent requests wait for.
func TestUrgentRequestThatArrivesGoesFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	a := NewAccount(now)
	a.Configure(Limit{Rate: 10, Burst: 1000}, now)
	a.SetShare(Share{Own: 1, Each: 1, Nodes: 1}, now)
	a.BeginWait(1, now)
	a.BeginWait(2, now)
	a.tokens, a.holdLimit, a.holdLimitAt = 1, 1000, now
	ok, _ := a.TakeInTurn(0, now)
	must.True(t, ok)
}
