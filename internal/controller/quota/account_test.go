package quota

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestNothingIsLentUnheard: a node lends its share only to a coordinator that has answered, and
// uses it until then: the one that it believes in after a restart may be dead.
func TestNothingIsLentUnheard(t *testing.T) {
	now := time.Unix(1000, 0)
	a := NewAccount(now)
	a.Configure(Limit{Rate: 100, Burst: 100}, now)
	a.SetShare(0.5, now)
	a.SetCoordinator("dead")
	for range 10 {
		must.False(t, a.Report("c", "", false, now).Lent)
		a.Unheard()
		now = now.Add(100 * time.Millisecond)
	}
	must.True(t, a.Own(now))
	must.Between(t, 45, a.Tokens(now), 50)
	a.SetCoordinator("alive")
	must.False(t, a.Report("c", "", false, now).Lent)
	a.Granted(0, 0, now, now)
	must.True(t, a.Report("c", "", false, now).Lent)
	must.False(t, a.Own(now))
}

// TestLoanOutlastsItsTerm: the lender counts a loan as lasting longer than the coordinator does.
func TestLoanOutlastsItsTerm(t *testing.T) {
	now := time.Unix(1000, 0)
	a := NewAccount(now)
	a.Configure(Limit{Rate: 100, Burst: 100}, now)
	a.SetShare(1, now)
	a.SetCoordinator("n")
	a.Granted(0, 0, now, now)
	must.True(t, a.Report("c", "", false, now).Lent)
	must.False(t, a.Own(now.Add(LoanTerm+LoanSlack-time.Millisecond)))
	must.True(t, a.Own(now.Add(LoanTerm+LoanSlack)))
	must.Greater(t, 0, LoanSlack)
}
