package node

import (
	"slices"
	"sync"

	"crocusyoke/internal/controller/membership"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/ownership"
	"crocusyoke/internal/region"
)

// homeNodes chooses the nodes that serve requests whose homes their group's owner is not in. It is immutable but for
// the choices that it remembers.
type homeNodes struct {
	self  string
	nodes []ownership.Node
	view  *membership.View
	unfit *unfitSet
	// regions holds the region of each failure domain.
	regions region.Map
	// chosen maps a homeKey to its ownerLocation.
	chosen sync.Map
}

// homeKey identifies the requests for a group with the same homes.
type homeKey struct {
	group string
	homes region.Set
}

// choose returns the node that serves the group's requests with the given homes: one in these regions, the same at
// all nodes with the same view, or this node if there is none. A caller's own node may have a request wherever it is.
func (h *homeNodes) choose(group string, homes region.Set) ownerLocation {
	key := homeKey{group, homes}
	if known, ok := h.chosen.Load(key); ok {
		return known.(ownerLocation)
	}
	location := ownerLocation{name: h.self}
	allowed := nodesIn(h.regions, homes, h.nodes)
	if name := ownership.Owner(group, "", ownership.LargeNodes(h.unfit.fitNodes(group, allowed))); name != "" {
		location = locate(h.view, name)
	}
	h.chosen.Store(key, location)
	return location
}

// locate returns the location of the node called name.
func locate(view *membership.View, name string) ownerLocation {
	member, _ := view.Member(name)
	return ownerLocation{name: name, address: member.Address, domain: member.Domain}
}

// nodesIn returns those of nodes that are in an allowed region.
func nodesIn(regions region.Map, homes region.Set, nodes []ownership.Node) []ownership.Node {
	return slices.DeleteFunc(slices.Clone(nodes), func(n ownership.Node) bool { return !regions.Allows(homes, n.Domain) })
}

// ownerRegions returns the regions in which each group's owner should be: those of its listed targets, and of them
// the homes of its services, one service after the other as long as a region is left. It returns nil if there is only
// one region or nothing has homes.
func ownerRegions(regions region.Map, config *fleet.Config) map[string]region.Set {
	if !regions.IsDivided() || !config.HasHomes() {
		return nil
	}
	sets := make(map[string]region.Set, len(config.Groups))
	for _, g := range config.Groups {
		var domains []string
		for _, t := range g.Targets {
			if !t.Unlisted {
				domains = append(domains, t.Domain)
			}
		}
		sets[g.Name] = regions.Of(domains)
	}
	for _, s := range config.Services {
		if common := sets[s.Group].And(region.NewSet(s.HomeRegions)); common != region.None {
			sets[s.Group] = common
		}
	}
	return sets
}

// Allows implements route.Owners.
func (o *ownerTracker) Allows(address string, homes region.Set) bool {
	return isAllowedAt(o.node.membership.View(), o.regions(), address, homes)
}

// isAllowedAt reports whether requests with the given homes may be sent to the node at address, also if several nodes
// have had that address.
func isAllowedAt(view *membership.View, regions region.Map, address string, homes region.Set) bool {
	known := false
	for _, m := range view.Members {
		if m.Address != address {
			continue
		}
		known = true
		if !regions.Allows(homes, m.Domain) {
			return false
		}
	}
	return known || homes == region.Any
}

func (o *ownerTracker) regions() region.Map { return o.node.settings.Places.Regions }
