package node

import (
	"testing"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/fleet"
)

// TestNodesDisagreeOnTheOwnerOfAGroup guards against a group without an owner: only the owner learns at
// once that a target which the list no longer names is gone, and the others must not place the group by
// it meanwhile.
func TestNodesDisagreeOnTheOwnerOfAGroup(t *testing.T) {
	gone := fleet.Target{Name: "a", Domain: "x", Leaving: true, Unlisted: true}
	listed := fleet.Target{Name: "b", Domain: "y"}
	atOwner, elsewhere := fleet.Group{Targets: []fleet.Target{listed}}, fleet.Group{Targets: []fleet.Target{gone, listed}}
	must.Eq(t, homeDomain(atOwner), homeDomain(elsewhere))
	must.Eq(t, "", homeDomain(fleet.Group{Targets: []fleet.Target{gone}}))
}
