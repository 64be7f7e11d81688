package quota_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/fleet"
)

// TestAddedCustomersShareIsNotUsedTwice adds a customer while the fleet runs. A coordinator that has
// the new configuration already may count the share of a node that has not, because the node's
// messages lend its shares of all customers that they do not name. The node must therefore not use
// its share of the new customer before such a loan has ended, and the customer must be admitted
// soon all the same.
func TestAddedCustomersShareIsNotUsedTwice(t *testing.T) {
	added := fleet.Customer{Name: "c", Rate: 60, Burst: 60}
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(fleet.Customer{Name: "first", Rate: 60, Burst: 60})
		nodes := f.startAll(6)
		defer stopAll(nodes)
		time.Sleep(5 * time.Second)
		f.config.Store(&fleet.Config{Version: 2, Customers: []fleet.Customer{{Name: "first", Rate: 60, Burst: 60}, added}})
		for range 30 {
			time.Sleep(10 * time.Millisecond)
			for _, n := range nodes {
				for _, s := range n.quota.Snapshot() {
					must.False(t, s.OwnShare, must.Sprintf("%s uses its share of %s", n.name, s.Customer))
				}
			}
		}
		time.Sleep(time.Second)
		sent, refused := sendLoad(t, nodes, added.Rate*0.6, 10*time.Second, admit)
		must.LessEq(t, sent/100, refused)
	})
}
