package quota_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/peer"
)

// TestMoreNodesThanTokens sends a small customer's load, at 0.6 of its rate, through all nodes
// of fleets that have more nodes than the customer's burst has tokens. It checks that at most
// 1% of the requests are refused.
func TestMoreNodesThanTokens(t *testing.T) {
	small := fleet.Customer{Name: "c", Rate: 15, Burst: 15}
	for _, size := range []int{9, 17, 85} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(small)
				nodes := f.startAll(size)
				defer stopAll(nodes)
				time.Sleep(5 * time.Second)
				sent, refused := sendLoad(t, nodes, small.Rate*0.6, 30*time.Second, admit)
				t.Logf("sent %d refused %d", sent, refused)
				must.LessEq(t, sent/100, refused)
			})
		})
	}
}

// TestHotCustomerKeepsItsRateOnManyNodes sends six times a small customer's rate through all
// nodes of a large fleet. It checks that about the rate is admitted, and never more than rate
// and burst.
func TestHotCustomerKeepsItsRateOnManyNodes(t *testing.T) {
	small := fleet.Customer{Name: "c", Rate: 30, Burst: 30}
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(small)
		nodes := f.startAll(85)
		defer stopAll(nodes)
		time.Sleep(5 * time.Second)
		const length = 20 * time.Second
		sent, refused := sendLoad(t, nodes, 6*small.Rate, length, admit)
		admitted := float64(sent - refused)
		t.Logf("sent %d admitted %.0f", sent, admitted)
		must.Between(t, 0.9*small.Rate*length.Seconds(), admitted, small.Rate*(length+admitWait).Seconds()+small.Burst)
	})
}

// TestIdleCustomersCostNothing checks that the reports of a large fleet grow with the requests
// and not with nodes times customers: without requests, a node sends at most
// maxIdleBytes a second, whatever the number of customers.
func TestIdleCustomersCostNothing(t *testing.T) {
	// maxIdleBytes is a quarter of the budget of control, 6 KB a second and node.
	const maxIdleBytes = 1500
	customers := make([]fleet.Customer, 190)
	for i := range customers {
		customers[i] = fleet.Customer{Name: fmt.Sprintf("customer-%d", i), Rate: 20, Burst: 20}
	}
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(customers...)
		nodes := f.startAll(150)
		defer stopAll(nodes)
		time.Sleep(10 * time.Second)
		f.network.reset()
		const length = 5 * time.Second
		time.Sleep(length)
		sent := f.network.sent(peer.KindQuotaReport)
		perNode := float64(len(nodes)) * length.Seconds()
		t.Logf("%.1f messages/s, %.0f bytes/s a node", float64(sent.messages)/perNode, float64(sent.bytes)/perNode)
		must.LessEq(t, maxIdleBytes, float64(sent.bytes)/perNode)
	})
}
