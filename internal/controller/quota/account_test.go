package quota

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestShareIsLentOnlyToResponsiveCoordinator checks that a node lends its share only to a
// coordinator that has answered, and uses the share itself until then. After a restart, the
// node may believe in a coordinator that is dead.
func TestShareIsLentOnlyToResponsiveCoordinator(t *testing.T) {
	now := time.Unix(1000, 0)
	a := NewAccount(now)
	a.Configure(Limit{Rate: 100, Burst: 100}, now)
	a.SetShare(Share{Own: 0.5, Each: 0.5, Nodes: 2}, now)
	a.SetCoordinator("dead")
	for range 10 {
		must.False(t, a.Report("c", "", false, now).Lent)
		a.RecordUnanswered()
		now = now.Add(100 * time.Millisecond)
	}
	must.True(t, a.UsesOwnShare(now))
	must.Between(t, 45, a.Tokens(now), 50)
	a.SetCoordinator("alive")
	must.False(t, a.Report("c", "", false, now).Lent)
	a.ApplyGrant(0, 0, now, now)
	must.True(t, a.Report("c", "", false, now).Lent)
	must.False(t, a.UsesOwnShare(now))
}

// TestLenderWaitsLongerThanLoanTTL checks that a loan ends later for the lender than for the
// coordinator.
func TestLenderWaitsLongerThanLoanTTL(t *testing.T) {
	now := time.Unix(1000, 0)
	a := NewAccount(now)
	a.Configure(Limit{Rate: 100, Burst: 100}, now)
	a.SetShare(Share{Own: 1, Each: 1, Nodes: 1}, now)
	a.SetCoordinator("n")
	a.ApplyGrant(0, 0, now, now)
	must.True(t, a.Report("c", "", false, now).Lent)
	must.False(t, a.UsesOwnShare(now.Add(LoanTTL+LoanSafetyMargin-time.Millisecond)))
	must.True(t, a.UsesOwnShare(now.Add(LoanTTL+LoanSafetyMargin)))
	must.Greater(t, 0, LoanSafetyMargin)
}

// TestReturnedTokenIsNotHeldBesideTheWhole replays a history in which six requests ran at once with a burst of
// five: a node had to give up a token that was spent on a request, the request returned it after the
// coordinator had not answered for GrantTTL, and meanwhile the coordinator granted the whole burst.
func TestReturnedTokenIsNotHeldBesideTheWhole(t *testing.T) {
	now := time.Unix(1000, 0)
	a := NewAccount(now)
	a.Configure(Limit{Rate: 26, Burst: 5}, now)
	a.SetShare(Share{Own: 0.5, Each: 0.5, Nodes: 2}, now)
	a.SetCoordinator("n0")
	must.True(t, a.UsesOwnShare(now))
	now = now.Add(81 * time.Millisecond)
	ok, _ := a.Take(now)
	must.True(t, ok)
	for range 2 {
		r := a.Report("c", "n0", false, now)
		a.ApplyGrant(-r.Held, r.Held, now, now)
		now = now.Add(50 * time.Millisecond)
	}
	now = now.Add(GrantTTL)
	a.Settle(false, now)
	must.Eq(t, 0, a.Tokens(now))
}

// TestUnusedShareEarnsOnceFormerLoanHasEnded checks what a node has that starts during an outage of the store: what
// its share earned since the loans of its former process ended, and not more than its part of the burst.
func TestUnusedShareEarnsOnceFormerLoanHasEnded(t *testing.T) {
	start := time.Unix(1000, 0)
	const formerLoan = LoanTTL + LoanSafetyMargin
	for _, c := range []struct {
		waited time.Duration
		tokens float64
	}{
		{formerLoan - time.Millisecond, 0},
		{formerLoan, 0},
		{formerLoan + 100*time.Millisecond, 5},
		{time.Minute, 25},
	} {
		now := start.Add(c.waited)
		a := NewUnusedAccount(start, now)
		a.Configure(Limit{Rate: 100, Burst: 50}, now)
		a.SetShare(Share{Own: 0.5, Each: 0.5, Nodes: 2}, now)
		must.InDelta(t, c.tokens, a.Tokens(now), 1e-9)
		a.SetShare(Share{Own: 0.5, Each: 0.5, Nodes: 2}, now)
		must.InDelta(t, c.tokens, a.Tokens(now), 1e-9)
	}
}

// TestShareOfFormerProcessIsNotUsed checks that a process does not use its node's share while a coordinator may count
// it as lent by the former process.
func TestShareOfFormerProcessIsNotUsed(t *testing.T) {
	startedAt := time.Unix(1000, 0)
	a := NewUnusedAccount(startedAt, startedAt.Add(10*time.Millisecond))
	a.Configure(Limit{Rate: 100, Burst: 50}, startedAt)
	a.SetShare(Share{Own: 0.5, Each: 0.5, Nodes: 2}, startedAt.Add(10*time.Millisecond))
	must.Eq(t, 0, a.Tokens(startedAt.Add(20*time.Millisecond)))
	must.Eq(t, 0, a.Tokens(startedAt.Add(LoanTTL+LoanSafetyMargin)))
	must.Between(t, 4.9, a.Tokens(startedAt.Add(LoanTTL+LoanSafetyMargin+100*time.Millisecond)), 5.1)
}

// TestShareOfAnotherNodeIsNotUnused checks that a node that becomes a shareholder later has earned nothing: another node
// had the share before.
func TestShareOfAnotherNodeIsNotUnused(t *testing.T) {
	start := time.Unix(1000, 0)
	now := start.Add(10 * time.Second)
	a := NewUnusedAccount(start, now)
	a.Configure(Limit{Rate: 100, Burst: 50}, now)
	a.SetShare(Share{}, now)
	a.SetShare(Share{Each: 0.5, Nodes: 60}, now)
	now = now.Add(time.Hour)
	a.SetShare(Share{Own: 0.5, Each: 0.5, Nodes: 60}, now)
	must.Eq(t, 0, a.Tokens(now))
}
