package quota_test

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/peer"
)

// The sizes of Norrvik's sheet: nodes in three failure domains, customers by a power law, sessions that
// stand open, requests a second, and the rate of a customer over its usual load.
const (
	sheetNodes     = 58
	sheetLarge     = 6
	sheetCustomers = 71
	sheetSessions  = 3980
	sheetLoad      = 1076.0
	sheetSkew      = 1.2
	sheetRateOver  = 1.6
	sheetMinRate   = 5.0
	sheetCalm      = 0.66
	sheetExchange  = 15 * time.Millisecond
)

// sheetCustomer is a customer of the sheet, with the nodes of its sessions and the bucket that a single
// node with all of its requests would have.
type sheetCustomer struct {
	fleet.Customer
	share  float64
	homes  []*node
	tokens float64
	at     time.Time
}

func newSheet() []*sheetCustomer {
	customers, total := make([]*sheetCustomer, sheetCustomers), 0.0
	for i := range customers {
		customers[i] = &sheetCustomer{share: math.Pow(float64(i+1), -sheetSkew)}
		total += customers[i].share
	}
	for i, c := range customers {
		c.share /= total
		rate := math.Max(sheetMinRate, math.Ceil(c.share*sheetLoad*sheetRateOver))
		c.Customer = fleet.Customer{Name: fmt.Sprintf("customer-%d", i), Rate: rate, Burst: rate}
		c.tokens = rate
	}
	return customers
}

func customersOf(sheet []*sheetCustomer) []fleet.Customer {
	var all []fleet.Customer
	for _, c := range sheet {
		all = append(all, c.Customer)
	}
	return all
}

// placeSessions places each customer's sessions on nodes.
func placeSessions(sheet []*sheetCustomer, nodes []*node, rng *rand.Rand) {
	for _, c := range sheet {
		for range int(math.Ceil(c.share * sheetSessions)) {
			c.homes = append(c.homes, nodes[rng.IntN(len(nodes))])
		}
	}
}

// isWithinRate charges one request to the single bucket, and reports whether it held a token for it.
func (c *sheetCustomer) isWithinRate(now time.Time) bool {
	if !c.at.IsZero() {
		c.tokens = min(c.Burst, c.tokens+c.Rate*now.Sub(c.at).Seconds())
	}
	c.at = now
	within := c.tokens >= 1
	if c.tokens > 1-c.Rate*admitWait.Seconds() {
		c.tokens--
	}
	return within
}

// waits are the times that requests waited for tokens.
type waits struct {
	mu      sync.Mutex
	all     []time.Duration
	refused int
}

func (w *waits) add(ok bool, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.all = append(w.all, d)
	if !ok {
		w.refused++
	}
}

func (w *waits) quantile(q float64) time.Duration {
	slices.SortFunc(w.all, cmp.Compare)
	if len(w.all) == 0 {
		return 0
	}
	return w.all[min(len(w.all)-1, int(q*float64(len(w.all))))]
}

func (w *waits) String() string {
	sum := time.Duration(0)
	for _, d := range w.all {
		sum += d
	}
	return fmt.Sprintf("%d requests, %d refused, mean wait %v, median %v, 90th percentile %v, 99th %v", len(w.all), w.refused,
		sum/time.Duration(max(1, len(w.all))), w.quantile(0.5), w.quantile(0.9), w.quantile(0.99))
}

// TestCalmDayWaitsForNoToken plays a calm day of the sheet on fake time. It checks that at most one in ten
// of the requests that are within their customer's rate waits 2 ms for a token.
func TestCalmDayWaitsForNoToken(t *testing.T) {
	const maxWait = 2 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(7, 11))
		sheet := newSheet()
		f := newFleet(customersOf(sheet)...)
		nodes := startSheet(f)
		defer stopAll(nodes)
		placeSessions(sheet, nodes, rng)
		time.Sleep(14 * time.Second)
		f.network.reset()
		within, above := &waits{}, &waits{}
		const length = 20 * time.Second
		playSheet(sheet, rng, length, within, above)
		sent := f.network.sent(peer.KindQuotaReport)
		t.Logf("within the rate: %v", within)
		t.Logf("above the rate: %v", above)
		t.Logf("%.0f messages/s, %.0f bytes/s", float64(sent.messages)/length.Seconds(), float64(sent.bytes)/length.Seconds())
		must.Less(t, maxWait, within.quantile(0.9))
	})
}

// startSheet starts the sheet's nodes.
func startSheet(f *testFleet) []*node {
	f.network.delay = sheetDelay
	nodes := make([]*node, sheetNodes)
	for i := range nodes {
		capacity := 192
		if i < sheetLarge {
			capacity = 800
		}
		nodes[i] = f.startIn(fmt.Sprint("domain", i%3), fmt.Sprintf("node%03d", i), capacity)
	}
	return nodes
}

// TestCustomerInOneDomainHasItsWholeRate checks that a customer all of whose sessions are in one failure domain
// has seven eighths of its burst there at once, and then its rate. The rest of the burst is tokens that nodes
// hold ahead.
func TestCustomerInOneDomainHasItsWholeRate(t *testing.T) {
	c := fleet.Customer{Name: "c", Rate: 50, Burst: 50}
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(c)
		all := startSheet(f)
		defer stopAll(all)
		var nodes []*node
		for i := 0; i < len(all); i += 3 {
			nodes = append(nodes, all[i])
		}
		time.Sleep(10 * time.Second)
		sent, refused := sendLoad(t, nodes, 2000, 24*time.Millisecond, admit)
		t.Logf("burst: sent %d refused %d", sent, refused)
		must.LessEq(t, sent/8, refused)
		time.Sleep(2 * time.Second)
		sent, refused = sendLoad(t, nodes, 0.9*c.Rate, 20*time.Second, admit)
		t.Logf("rate: sent %d refused %d", sent, refused)
		must.LessEq(t, sent/100, refused)
	})
}

// TestUnusedSharesAreServedAfterAnOutage starts all nodes of the sheet while the store is down, which gives them
// the configuration 1.4 s later. It checks that nine of ten requests of the second after that are served: nobody
// can have used the rates since the nodes started.
func TestUnusedSharesAreServedAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(7, 11))
		sheet := newSheet()
		f := newFleet(customersOf(sheet)...)
		config := f.config.Swap(nil)
		nodes := startSheet(f)
		defer stopAll(nodes)
		placeSessions(sheet, nodes, rng)
		time.Sleep(1400 * time.Millisecond)
		f.config.Store(config)
		for _, n := range nodes {
			n.quota.Wake()
		}
		within, above := &waits{}, &waits{}
		playSheet(sheet, rng, time.Second, within, above)
		t.Logf("within the rate: %v", within)
		must.LessEq(t, len(within.all)/10, within.refused)
	})
}

// sheetDelay is the one-way delay between two nodes, by their failure domains.
func sheetDelay(from, to string) time.Duration {
	var a, b int
	_, _ = fmt.Sscanf(from, "node%d", &a)
	_, _ = fmt.Sscanf(to, "node%d", &b)
	if a%3 == b%3 {
		return 100 * time.Microsecond
	}
	return 900 * time.Microsecond
}

// playSheet sends requests of all customers for d, each at one of its customer's sessions.
func playSheet(sheet []*sheetCustomer, rng *rand.Rand, d time.Duration, within, above *waits) {
	var wait sync.WaitGroup
	defer wait.Wait()
	for end := time.Now().Add(d); time.Now().Before(end); {
		c, pick := sheet[0], rng.Float64()
		for _, c = range sheet {
			if pick -= c.share; pick < 0 {
				break
			}
		}
		n, into := c.homes[rng.IntN(len(c.homes))], above
		if c.isWithinRate(time.Now()) {
			into = within
		}
		wait.Go(func() {
			sentAt := time.Now()
			ok, _ := n.quota.Admit(context.Background(), c.Name, 0)
			into.add(ok, time.Since(sentAt))
			if ok {
				time.Sleep(sheetExchange)
				n.quota.Settle(c.Name, true)
			}
		})
		time.Sleep(time.Duration(rng.ExpFloat64() / (sheetLoad * sheetCalm) * float64(time.Second)))
	}
}
