package quota_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/fleet"
)

// TestOwnBulkLeavesUrgentRate plays a customer whose own bulk eats its own urgent rate: it sends four times its rate,
// a fifth of the rate is urgent. It checks that 99 % of the urgent requests are admitted within 100 ms and that the
// bulk has what is left, and that the bulk still has a part while urgent requests alone are above the rate.
func TestOwnBulkLeavesUrgentRate(t *testing.T) {
	const (
		urgent, bulk = 0, 2
		length       = 20 * time.Second
	)
	for _, c := range []fleet.Customer{{Name: "c", Rate: 40, Burst: 40}, {Name: "c", Rate: 300, Burst: 300}} {
		t.Run(fmt.Sprint(c.Rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(c)
				nodes := startSheet(f)
				defer stopAll(nodes)
				time.Sleep(10 * time.Second)
				play := func(urgentRate, bulkRate float64) (urgentWaits, bulkWaits *waits) {
					urgentWaits, bulkWaits = &waits{}, &waits{}
					var wait sync.WaitGroup
					wait.Go(func() { sendAs(nodes, urgent, urgentRate, length, urgentWaits) })
					wait.Go(func() { sendAs(nodes, bulk, bulkRate, length, bulkWaits) })
					wait.Wait()
					return urgentWaits, bulkWaits
				}
				urgentWaits, bulkWaits := play(0.2*c.Rate, 3.8*c.Rate)
				t.Logf("urgent: %v", urgentWaits)
				t.Logf("bulk: %v", bulkWaits)
				must.LessEq(t, len(urgentWaits.all)/100, urgentWaits.refused)
				must.Less(t, 100*time.Millisecond, urgentWaits.quantile(0.99))
				whole := c.Rate * length.Seconds()
				must.Greater(t, 0.7*whole, float64(len(bulkWaits.all)-bulkWaits.refused))
				urgentWaits, bulkWaits = play(2*c.Rate, c.Rate)
				t.Logf("urgent above the rate: %v", urgentWaits)
				t.Logf("bulk beside it: %v", bulkWaits)
				must.Greater(t, whole/agedPart/2, float64(len(bulkWaits.all)-bulkWaits.refused))
			})
		})
	}
}

// agedPart is the part of the tokens, one in agedPart, that the least urgent requests get in any case.
const agedPart = 8

// sendAs sends requests of a priority for d, at random nodes and times.
func sendAs(nodes []*node, priority int, rate float64, d time.Duration, waited *waits) {
	rng := rand.New(rand.NewPCG(uint64(priority), 5))
	var wait sync.WaitGroup
	defer wait.Wait()
	for end := time.Now().Add(d); time.Now().Before(end); {
		n := nodes[rng.IntN(len(nodes))]
		wait.Go(func() {
			sentAt := time.Now()
			ok, _ := n.quota.Admit(context.Background(), "c", priority)
			waited.add(ok, time.Since(sentAt))
			if ok {
				time.Sleep(sheetExchange)
				n.quota.Settle("c", true)
			}
		})
		time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
	}
}
