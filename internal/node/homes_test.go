package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/controller/membership"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/ownership"
	"crocusyoke/internal/region"
	"crocusyoke/internal/settings"
)

var testRegions = region.Map{"e1": "east", "e2": "east", "w1": "west", "n1": "north"}

// TestNodeOutsideOfTheHomesServes guards against a request that is sent to a node outside of its homes: one inside is
// chosen, the same one by all nodes, and without any, the caller's own node serves.
func TestNodeOutsideOfTheHomesServes(t *testing.T) {
	view := &membership.View{Self: "own"}
	var nodes []ownership.Node
	for i, domain := range []string{"e1", "e2", "w1", "w1", "unlisted"} {
		name := fmt.Sprintf("node-%d", i)
		view.Members = append(view.Members, membership.Member{Name: name, Address: "at " + name, Domain: domain})
		nodes = append(nodes, ownership.Node{Name: name, Domain: domain})
	}
	own := &homeNodes{self: "own", nodes: nodes, view: view, unfit: newUnfitSet(clock.Wall{}), regions: testRegions}
	other := &homeNodes{self: "other", nodes: nodes, view: view, unfit: newUnfitSet(clock.Wall{}), regions: testRegions}
	for _, homes := range []string{"east", "west"} {
		set := region.NewSet([]string{homes})
		for g := range 20 {
			chosen := own.choose(fmt.Sprint(g), set)
			must.Eq(t, homes, testRegions[chosen.domain])
			must.Eq(t, "at "+chosen.name, chosen.address)
			must.Eq(t, chosen, other.choose(fmt.Sprint(g), set))
		}
	}
	west := region.NewSet([]string{"west"})
	first := own.choose("unfit", west)
	other.unfit.mark(first.name, "unfit", time.Now().Add(time.Hour))
	must.NotEq(t, first.name, other.choose("unfit", west).name)
	must.Eq(t, ownerLocation{name: "own"}, own.choose("g", region.NewSet([]string{"north"})))
	must.Eq(t, ownerLocation{name: "own"}, own.choose("g", region.None))
}

func TestOwnersAreWhereTheirServicesAreAtHome(t *testing.T) {
	targets := []fleet.Target{{Domain: "e1"}, {Domain: "w1"}, {Domain: "n1", Unlisted: true}}
	config := &fleet.Config{
		Groups: []fleet.Group{{Name: "free", Targets: targets}, {Name: "west", Targets: targets}, {Name: "both", Targets: targets}},
		Services: []fleet.Service{
			{Group: "west", HomeRegions: []string{"north", "west"}},
			{Group: "both", HomeRegions: []string{"east"}},
			{Group: "both", HomeRegions: []string{"west"}},
			{Group: "both"},
		},
	}
	sets := ownerRegions(testRegions, config)
	must.Eq(t, "east,west", sets["free"].String())
	must.Eq(t, "west", sets["west"].String())
	must.Eq(t, "east", sets["both"].String())
	must.Nil(t, ownerRegions(region.Map{"e1": "east", "w1": "east"}, config))
}

// TestOwnerOutsideOfTheHomesIsPassedOver guards against a request that is sent to an owner outside of its homes. The
// caller's own node keeps it wherever it is.
func TestOwnerOutsideOfTheHomesIsPassedOver(t *testing.T) {
	s := &settings.Settings{Node: settings.Node{Name: "own"}, Places: settings.Places{Regions: testRegions}}
	o := newOwnerTracker(&Node{settings: s, clock: clock.Wall{}})
	o.table.Store(&ownerTable{"g": {name: "far", address: "at far", domain: "e1"}, "mine": {name: "own", domain: "e1"}})
	view := &membership.View{Self: "own", Members: []membership.Member{{Name: "near", Address: "at near", Domain: "w1"}}}
	o.homes.Store(&homeNodes{
		self: "own", nodes: []ownership.Node{{Name: "near", Domain: "w1"}}, view: view,
		unfit: o.unfit, regions: testRegions,
	})
	for homes, want := range map[string]string{"east": "at far", "west": "at near", "north": "self", "": "at far"} {
		set := region.Any
		if homes != "" {
			set = region.NewSet([]string{homes})
		}
		address, self, ok := o.Owner("g", set)
		must.True(t, ok)
		if self {
			address = "self"
		}
		must.Eq(t, want, address)
		_, self, _ = o.Owner("mine", set)
		must.True(t, self)
	}
}

// TestAddressOutsideOfTheHomes guards against statements of a transaction that are sent on to a node outside of their homes,
// also if a node that is gone, inside of them, had the same address.
func TestAddressOutsideOfTheHomes(t *testing.T) {
	view := &membership.View{Members: []membership.Member{
		{Name: "a", Address: "at a", Domain: "e1"},
		{Name: "b", Address: "at b", Domain: "w1"},
		{Name: "c", Address: "at c", Domain: "e1", State: membership.Gone},
		{Name: "d", Address: "at c", Domain: "w1"},
	}}
	east := region.NewSet([]string{"east"})
	for address, want := range map[string]bool{"at a": true, "at b": false, "at c": false, "elsewhere": false} {
		must.Eq(t, want, isAllowedAt(view, testRegions, address, east), must.Sprint(address))
		must.True(t, isAllowedAt(view, testRegions, address, region.Any))
	}
}
