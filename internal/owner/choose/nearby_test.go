package choose

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestNearbyReadStaysInItsDomain checks that a reader chooses no target of another failure domain and no primary.
func TestNearbyReadStaysInItsDomain(t *testing.T) {
	q := criteria("session")
	q.Primary, q.Nearby = primary, true
	c := candidates()
	must.Eq(t, Choice{Target: freshReplica, Replica: true}, Choose(q, c))
	c[freshReplica].ExpectedWait = time.Second
	must.Eq(t, Choice{Target: freshReplica, Replica: true}, Choose(q, c))
	c[freshReplica].Domain = "b"
	must.Eq(t, noTarget, Choose(q, c))
	c[freshReplica].Domain, q.Read = "a", false
	must.Eq(t, noTarget, Choose(q, c))
}

// TestOwnerLeavesReplicasToTheirReaders checks that the owner uses a replica of a failure domain with a reader only
// while the primary is busy.
func TestOwnerLeavesReplicasToTheirReaders(t *testing.T) {
	q := criteria("session")
	q.Primary = primary
	c := candidates()
	c[freshReplica].HasReader = true
	must.Eq(t, primary, Choose(q, c).Target)
	c[primary].ExpectedWait = time.Second
	must.Eq(t, freshReplica, Choose(q, c).Target)
}

// TestPrimaryWithoutAShareIsPassedOver guards against a read that goes to a primary that has just started and of which this
// node has no share, while a replica may serve it.
func TestPrimaryWithoutAShareIsPassedOver(t *testing.T) {
	q := criteria("session")
	q.Primary = primary
	c := candidates()
	c[freshReplica].ExpectedWait = time.Second
	must.Eq(t, primary, Choose(q, c).Target)
	c[primary].NoShare = true
	must.Eq(t, freshReplica, Choose(q, c).Target)
	q.Read = false
	must.Eq(t, noTarget, Choose(q, c))
}
