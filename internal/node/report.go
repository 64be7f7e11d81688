package node

import (
	"expvar"

	"crocusyoke/internal/owner"
	"crocusyoke/internal/status"
	"crocusyoke/internal/target"
)

// report returns the node's status. A brief report leaves out groups, shares, peers and
// refusals.
func (n *Node) report(brief bool) status.Report {
	r := status.Report{
		Node:          n.settings.Node.Name,
		Domain:        n.settings.Node.Domain,
		Run:           n.incarnation,
		Uptime:        n.clock.Now().Sub(n.started),
		ConfigVersion: n.versionInForce(),
		ConfigFresh:   n.config.Fresh(),
		Draining:      n.isDraining(),
	}
	if config := n.config.Current(); config != nil {
		r.EvacuatedDomains = config.EvacuatedDomains
	}
	if brief {
		return r
	}
	r.Groups = n.groupReports()
	r.Shares = n.shareReports()
	r.Peers = n.peerReports()
	r.Refusals = n.refusalReports()
	return r
}

func (n *Node) isDraining() bool {
	select {
	case <-n.drainStarted:
		return true
	default:
		return false
	}
}

func (n *Node) groupReports() []status.Group {
	ownStatus := make(map[string]owner.GroupStatus)
	for _, g := range n.owner.Snapshot() {
		ownStatus[g.Group] = g
	}
	var groups []status.Group
	config := n.config.Current()
	if config == nil {
		return nil
	}
	for _, listed := range config.Groups {
		location := (*n.owners.table.Load())[listed.Name]
		g := status.Group{Name: listed.Name, Owner: location.name}
		if known, ok := ownStatus[listed.Name]; ok && location.name == n.settings.Node.Name {
			g.Term = known.Term
			g.Primary = known.Primary
			g.Targets = targetReports(known.Targets)
		}
		groups = append(groups, g)
	}
	return groups
}

func targetReports(known []owner.TargetStatus) []status.Target {
	all := make([]status.Target, len(known))
	for i, t := range known {
		all[i] = status.Target{
			Name:        t.Name,
			Role:        t.Role,
			Term:        t.Term,
			Position:    t.Last,
			Lag:         t.Lag,
			Age:         t.Age,
			Connections: t.Connections.Open,
			Busy:        t.InFlight,
			Queued:      t.Waiting,
			Leaving:     t.Leaving,
			Evacuated:   t.Evacuated,
			Reachable:   t.SeenAgo >= 0 && t.SeenAgo < 2*target.ControlTimeout,
		}
	}
	return all
}

func (n *Node) shareReports() []status.Share {
	config := n.config.Current()
	if config == nil {
		return nil
	}
	var shares []status.Share
	for _, s := range n.quota.Snapshot() {
		if config.Customer(s.Customer) == nil {
			continue
		}
		shares = append(shares, status.Share{
			Customer:    s.Customer,
			Tokens:      s.Tokens,
			Demand:      s.Demand,
			OwnShare:    s.OwnShare,
			Coordinator: s.Coordinator,
		})
	}
	return shares
}

func (n *Node) peerReports() []status.Peer {
	var peers []status.Peer
	for _, m := range n.membership.View().Members {
		if m.Name == n.settings.Node.Name {
			continue
		}
		peers = append(peers, status.Peer{Name: m.Name, Domain: m.Domain, Address: m.Address, State: m.State.String()})
	}
	return peers
}

func (n *Node) refusalReports() []status.Refusal {
	var all []status.Refusal
	n.front.Refusals().Do(func(kv expvar.KeyValue) {
		if count, ok := kv.Value.(*expvar.Int); ok {
			all = append(all, status.Refusal{Code: kv.Key, Count: uint64(count.Value())})
		}
	})
	return all
}

// versionInForce returns the version number, as shown to operators, of the configuration in
// force, or 0 if there is none.
func (n *Node) versionInForce() uint64 {
	config := n.config.Current()
	if config == nil {
		return 0
	}
	return config.Version
}
