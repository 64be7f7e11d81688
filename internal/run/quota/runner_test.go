package quota_test

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/fleet"
)

var customer = fleet.Customer{Name: "c", Rate: 200, Burst: 100}

// TestDemandMoves sends almost a customer's whole rate to one node and then, without a
// pause, to others. It checks that at most 1% of the requests are refused, both for callers
// that wait briefly for a token and for those that do not.
func TestDemandMoves(t *testing.T) {
	for name, ask := range map[string]admitFunc{"take": take, "admit": admit} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(customer)
				nodes := f.startAll(6)
				defer stopAll(nodes)
				time.Sleep(10 * time.Second)
				for _, at := range [][]*node{nodes[3:4], nodes[0:1], nodes[5:6], nodes} {
					sent, refused := sendLoad(t, at, customer.Rate*0.95, 20*time.Second, ask)
					t.Logf("%d nodes from %s: sent %d refused %d", len(at), at[0].name, sent, refused)
					must.LessEq(t, sent/100, refused)
				}
			})
		})
	}
}

// TestKilledNode kills a node that holds almost all of a customer's tokens, then the
// coordinator. It checks that from one second on, the remaining nodes refuse at most 1% of
// the requests that the shares of the remaining nodes allow.
func TestKilledNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(customer)
		nodes := f.startAll(6)
		defer func() { stopAll(nodes) }()
		time.Sleep(5 * time.Second)
		sendLoad(t, nodes[2:3], customer.Rate, 5*time.Second, take)
		for range 2 {
			victim := slices.IndexFunc(nodes, func(n *node) bool { return n.name == nodes[0].quota.Snapshot()[0].Coordinator })
			if victim == 0 {
				slices.Reverse(nodes)
				victim = len(nodes) - 1
			}
			f.kill(nodes[victim])
			nodes = slices.Delete(nodes, victim, victim+1)
			time.Sleep(time.Second)
			sent, refused := sendLoad(t, nodes, customer.Rate*0.6, 10*time.Second, admit)
			t.Logf("%d nodes: sent %d refused %d", len(nodes), sent, refused)
			must.LessEq(t, sent/100, refused)
		}
	})
}

// TestAllRestart kills and restarts all nodes at once. It checks that after one second they
// refuse at most 1% of a load below the rate, without using the platform's store.
func TestAllRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(customer)
		nodes := f.startAll(6)
		time.Sleep(5 * time.Second)
		for _, n := range nodes {
			f.kill(n)
		}
		f.network.mu.Lock()
		clear(f.network.cut)
		f.network.mu.Unlock()
		nodes = f.startAll(6)
		defer stopAll(nodes)
		time.Sleep(time.Second)
		sent, refused := sendLoad(t, nodes, customer.Rate*0.7, 10*time.Second, admit)
		t.Logf("sent %d refused %d", sent, refused)
		must.LessEq(t, sent/100, refused)
	})
}

// TestCutNode partitions one node from the others while no node can read the platform's
// list. It checks that the others keep admitting requests, that the partitioned node falls
// back to its own share, and that all nodes together admit no more than rate and burst.
func TestCutNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(customer)
		nodes := f.startAll(6)
		defer stopAll(nodes)
		time.Sleep(5 * time.Second)
		f.platform.set(func() { f.platform.outage = true })
		sent, refused := sendLoad(t, nodes[1:2], customer.Rate*0.9, 30*time.Second, take)
		t.Logf("sent %d refused %d", sent, refused)
		must.LessEq(t, sent/100, refused)
		f.network.mu.Lock()
		f.network.cut[nodes[1].name] = true
		f.network.mu.Unlock()
		const length = 20 * time.Second
		sent, refused = sendLoad(t, nodes, 6*customer.Rate, length, take)
		admitted := float64(sent - refused)
		t.Logf("sent %d admitted %.0f", sent, admitted)
		must.Between(t, 0.9*customer.Rate*length.Seconds(), admitted, customer.Rate*length.Seconds()+customer.Burst)
		sent, refused = sendLoad(t, nodes[1:2], customer.Rate/10, length, admit)
		must.LessEq(t, sent/100, refused)
	})
}

// TestGiveAway checks that a node that stops gracefully returns its tokens to the
// coordinator, so that other nodes can use them at once.
func TestGiveAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(customer)
		nodes := f.startAll(6)
		defer stopAll(nodes)
		time.Sleep(5 * time.Second)
		sendLoad(t, nodes[2:3], customer.Rate*0.9, 5*time.Second, take)
		must.Greater(t, customer.Burst/4, nodes[2].quota.Snapshot()[0].Tokens)
		nodes[2].membership.Leave(t.Context())
		must.NoError(t, nodes[2].quota.ReturnTokens(t.Context()))
		must.Less(t, 1, nodes[2].quota.Snapshot()[0].Tokens)
	})
}

// admitWait is how long Admit lets a request wait: the last requests are admitted that much
// later than they were sent.
const admitWait = 200 * time.Millisecond

// TestStorm sends five times the rate through all nodes. It checks that about the rate is
// admitted, and never more than rate and burst.
func TestStorm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(customer)
		nodes := f.startAll(6)
		defer stopAll(nodes)
		time.Sleep(5 * time.Second)
		sent, refused := sendLoad(t, nodes, 5*customer.Rate, 20*time.Second, admit)
		admitted := float64(sent - refused)
		t.Logf("sent %d admitted %.0f", sent, admitted)
		must.Between(t, 0.95*customer.Rate*20, admitted, customer.Rate*(20*time.Second+admitWait).Seconds()+customer.Burst)
	})
}

// TestStormStarvesNobody checks that while one customer sends five times its rate to every
// node, at most 1% of the requests of another customer, which stays within its rate and
// whose callers move from node to node, are refused.
func TestStormStarvesNobody(t *testing.T) {
	quiet := fleet.Customer{Name: "quiet", Rate: 60, Burst: 30}
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(customer, quiet)
		nodes := f.startAll(6)
		defer stopAll(nodes)
		time.Sleep(5 * time.Second)
		var storm sync.WaitGroup
		defer storm.Wait()
		storm.Go(func() { sendLoad(t, nodes, 5*customer.Rate, 60*time.Second, admit) })
		time.Sleep(30 * time.Second)
		var sent, refused int64
		for i := range 15 {
			s, r := sendLoad(t, nodes[i%6:i%6+1], quiet.Rate*0.8, 2*time.Second, func(n *node) bool {
				ok, _ := n.quota.Admit(t.Context(), quiet.Name, 0)
				if ok {
					n.quota.Settle(quiet.Name, true)
				}
				return ok
			})
			sent, refused = sent+s, refused+r
		}
		t.Logf("sent %d refused %d", sent, refused)
		must.LessEq(t, sent/100, refused)
	})
}
