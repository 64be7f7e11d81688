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
