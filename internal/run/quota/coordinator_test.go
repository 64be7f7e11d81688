package quota_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/fleet"
)

const (
	smallNode, largeNode = 192, 800
	// largeInterval is the distance of large nodes in the list of nodes.
	largeInterval = 10
)

// TestSmallNodeCoordinatesTheFleet guards against coordinators that can't take what all nodes send them: after
// a restart of all nodes each of them connects to each coordinator at once, and calls that are not answered in
// time connect anew.
func TestSmallNodeCoordinatesTheFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		customers := make([]fleet.Customer, 40)
		for i := range customers {
			customers[i] = fleet.Customer{Name: fmt.Sprintf("customer-%d", i), Rate: 20, Burst: 20}
		}
		f := newFleet(customers...)
		var nodes []*node
		for i := range 80 {
			capacity := smallNode
			if i%largeInterval == 0 {
				capacity = largeNode
			}
			nodes = append(nodes, f.startWith(fmt.Sprintf("node%03d", i), capacity))
		}
		time.Sleep(5 * time.Second)
		coordinators := make(map[string]bool)
		for _, n := range nodes {
			for _, s := range n.quota.Snapshot() {
				coordinators[s.Coordinator] = true
			}
		}
		stopAll(nodes)
		t.Log("coordinators", len(coordinators))
		must.Positive(t, len(coordinators))
		for i, n := range nodes {
			must.True(t, i%largeInterval == 0 || !coordinators[n.name], must.Sprint(n.name))
		}
	})
}
