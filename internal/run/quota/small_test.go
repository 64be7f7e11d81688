package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/fleet"
)

// TestSmallCustomersAreRefusedInOneDomain plays a fleet of three failure domains whose customers all have small bursts and
// ask for three fifths of their rates. It guards against requests that are refused in one failure domain while the
// customer's tokens are in another.
func TestSmallCustomersAreRefusedInOneDomain(t *testing.T) {
	const customers, rate = 120, 10.0
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(7, 13))
		sheet := make([]*sheetCustomer, customers)
		for i := range sheet {
			sheet[i] = &sheetCustomer{share: 1.0 / customers, tokens: rate}
			sheet[i].Customer = fleet.Customer{Name: fmt.Sprint("small-", i), Rate: rate, Burst: rate}
		}
		f := newFleet(customersOf(sheet)...)
		nodes := startSheet(f)
		defer stopAll(nodes)
		placeSessions(sheet, nodes, rng)
		time.Sleep(14 * time.Second)
		within, above := &waits{}, &waits{}
		playSheet(sheet, rng, 10*time.Second, within, above)
		t.Logf("within the rate: %v", within)
		must.Eq(t, 0, within.refused)
	})
}

// TestCustomerGrowsIntoADividedBurst raises a burst so far that it is divided by failure domain, and lowers it again,
// under a flood of requests. What is admitted stays within the higher of the limits, and within the lower one once it
// has been in force for a while.
func TestCustomerGrowsIntoADividedBurst(t *testing.T) {
	small, large := fleet.Customer{Name: "c", Rate: 20, Burst: 20}, fleet.Customer{Name: "c", Rate: 90, Burst: 90}
	admitted := func(nodes []*node, d time.Duration) float64 {
		sent, refused := sendLoad(t, nodes, 600, d, admit)
		return float64(sent - refused)
	}
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(small)
		nodes := startSheet(f)
		defer stopAll(nodes)
		time.Sleep(10 * time.Second)
		must.LessEq(t, small.Burst+5*small.Rate, admitted(nodes, 5*time.Second))
		f.config.Store(&fleet.Config{Version: 2, Customers: []fleet.Customer{large}})
		grown := admitted(nodes, 5*time.Second)
		must.Between(t, 3*large.Rate, grown, large.Burst+5*large.Rate)
		f.config.Store(&fleet.Config{Version: 3, Customers: []fleet.Customer{small}})
		time.Sleep(time.Second)
		lowered := admitted(nodes, 5*time.Second)
		must.Between(t, 3*small.Rate, lowered, small.Burst+5*small.Rate)
	})
}
