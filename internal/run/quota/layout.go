package quota

import (
	"crocusyoke/internal/controller/membership"
	"crocusyoke/internal/controller/quota"
	"crocusyoke/internal/ownership"
)

// layout is the split of the fleet for partitions of customers. In a large fleet, each failure domain has
// coordinators and shareholders of its own, so that nodes find tokens in their own domain.
type layout struct {
	// domains holds one entry for each failure domain, or one for the whole fleet if it is not split; own is
	// that of this node.
	domains []domain
	own     int
}

// domain is a failure domain, or the whole fleet.
type domain struct {
	listed []string
	// candidates are the live nodes that may be coordinators. All nodes of the domain report to them, and
	// connect to them at once when all have restarted.
	candidates []ownership.Node
}

func newLayout(view *membership.View) *layout {
	l := &layout{}
	index := make(map[string]int)
	isSplit := quota.SplitsDomains(listedByDomain(view))
	live := make([][]membership.Member, 0, 1)
	for _, m := range view.Members {
		key := ""
		if isSplit {
			key = m.Domain
		}
		i, known := index[key]
		if !known {
			i = len(l.domains)
			index[key] = i
			l.domains, live = append(l.domains, domain{}), append(live, nil)
		}
		if m.Name == view.Self {
			l.own = i
		}
		if m.Name != view.Self || view.SelfListed {
			l.domains[i].listed = append(l.domains[i].listed, m.Name)
		}
	}
	for _, m := range view.Live() {
		key := ""
		if isSplit {
			key = m.Domain
		}
		live[index[key]] = append(live[index[key]], m)
	}
	for i := range l.domains {
		l.domains[i].candidates = ownership.LargeNodes(ownershipNodes(live[i]))
	}
	return l
}

// isSplit reports whether failure domains have coordinators and shareholders of their own.
func (l *layout) isSplit() bool { return len(l.domains) > 1 }

// whole returns the layout of the same fleet without a split.
func (l *layout) whole() *layout {
	fleet := domain{}
	for _, d := range l.domains {
		fleet.listed = append(fleet.listed, d.listed...)
		fleet.candidates = append(fleet.candidates, d.candidates...)
	}
	fleet.candidates = ownership.LargeNodes(fleet.candidates)
	return &layout{domains: []domain{fleet}}
}

// listedByDomain returns how many nodes are listed in each failure domain.
func listedByDomain(view *membership.View) map[string]int {
	count := make(map[string]int)
	for _, m := range view.Members {
		if m.Name != view.Self || view.SelfListed {
			count[m.Domain]++
		}
	}
	return count
}

// coordinators returns the coordinator that this node reports to. If that is this node itself, others are
// those in other failure domains.
func (l *layout) coordinators(key, self string) (own string, others []string) {
	own = ownership.Owner("quota/"+key, "", l.domains[l.own].candidates)
	if own != self {
		return own, nil
	}
	for i, d := range l.domains {
		if name := ownership.Owner("quota/"+key, "", d.candidates); i != l.own && name != "" {
			others = append(others, name)
		}
	}
	return own, others
}

// shareholders returns the nodes among which the rates of the partition key are split.
func (l *layout) shareholders(key string) []string {
	if len(l.domains) == 1 {
		return quota.Shareholders(key, l.domains[0].listed)
	}
	var all []string
	for _, d := range l.domains {
		all = append(all, quota.DomainShareholders(key, d.listed, len(l.domains))...)
	}
	return all
}

func ownershipNodes(members []membership.Member) []ownership.Node {
	nodes := make([]ownership.Node, 0, len(members))
	for _, m := range members {
		nodes = append(nodes, ownership.Node{Name: m.Name, Domain: m.Domain, Capacity: m.Capacity})
	}
	return nodes
}
