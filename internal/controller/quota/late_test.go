package quota

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// lateReports returns a coordinator with one node that has lent it the whole limit and holds all of its burst, after
// the second of its reports.
func lateReports(t *testing.T) (b *Bucket, now time.Time) {
	start := time.Unix(1000, 0)
	b = NewBucket(start)
	b.Configure(Limit{Rate: 100, Burst: 5}, start)
	b.SetShare(Share{Own: 1, Each: 1, Nodes: 1}, start)
	b.HandleReport("n", Report{Lent: true, Run: 1, Number: 1}, start)
	now = start.Add(TransferTTL + GrantTTL)
	must.Eq(t, 5, b.HandleReport("n", Report{Wanted: 5, Lent: true, Run: 1, Number: 3}, now))
	return b, now
}

// TestLateReportIsIgnored checks that a report which arrives after a later one of the same process, and says that
// the node holds nothing, does not make the coordinator grant the burst a second time.
func TestLateReportIsIgnored(t *testing.T) {
	b, now := lateReports(t)
	late := Report{Lent: true, Run: 1, Number: 2}
	must.True(t, b.IsOutdated("n", late))
	b.HandleReport("n", late, now)
	must.Eq(t, 0, b.Tokens(now.Add(100*time.Millisecond)))
	restarted := Report{Lent: true, Run: 2, Number: 1}
	must.False(t, b.IsOutdated("n", restarted))
	b.HandleReport("n", restarted, now)
	must.Eq(t, 5, b.Tokens(now.Add(200*time.Millisecond)))
}

// TestLateReportLendsNothing checks that a loan which was recalled does not begin again when an earlier report
// arrives, and that a late recall ends the loan.
func TestLateReportLendsNothing(t *testing.T) {
	b, now := lateReports(t)
	b.HandleReport("n", Report{Held: 5, RecallsLoan: true, Run: 1, Number: 5}, now)
	b.HandleReport("n", Report{Held: 5, Lent: true, Run: 1, Number: 4}, now)
	must.Eq(t, 0, b.Lent(now))
	b, now = lateReports(t)
	recall := Report{RecallsLoan: true, Run: 1, Number: 2}
	must.False(t, b.IsOutdated("n", recall))
	b.HandleReport("n", recall, now)
	must.Eq(t, 0, b.Lent(now))
	must.Eq(t, 0, b.Tokens(now.Add(100*time.Millisecond)))
}
