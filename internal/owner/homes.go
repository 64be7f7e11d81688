package owner

import (
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/owner/choose"
	"crocusyoke/internal/region"
	"crocusyoke/internal/request"
)

// allows reports whether m is in a home region of req. The group's mu is held.
func (m *member) allows(req *request.Request) bool {
	return m.group.options.Regions.Allows(req.HomeRegions, m.target.Domain)
}

// homeConnections returns the number of t's connections that are reserved for a node that serves requests whose homes the
// owner is not in. g.mu is held.
func (g *group) homeConnections(t *fleet.Target) int {
	if !g.hasHomes {
		return 0
	}
	return t.Slots + controlConnections
}

// refuseOutsideHome refuses a request that waiting does not help: no target is in its home regions, or it needs the
// primary, which is outside of them. Otherwise it returns nil. g.mu is held, and r.criteria is set.
func (g *group) refuseOutsideHome(r *execution) *request.Refusal {
	if r.req.HomeRegions == region.Any {
		return nil
	}
	primary := r.criteria.Primary
	isPrimaryOutside := primary >= 0 && !g.members[primary].allows(r.req)
	if isPrimaryOutside && !choose.CanUseReplica(&r.criteria) {
		return g.outsideHome(r.req, "the primary %s is in %s", g.members[primary].name, g.members[primary].target.Domain)
	}
	for _, m := range g.members {
		if m.allows(r.req) {
			return nil
		}
	}
	return g.outsideHome(r.req, "none of the group's targets is in one")
}

func (g *group) outsideHome(req *request.Request, format string, args ...any) *request.Refusal {
	g.manager.counts.outsideHome.Add(1)
	refusal := request.Refuse(request.CodeOutsideHome, "choose", g.options.Self, format, args...)
	refusal.Detail = "the request's homes are " + req.HomeRegions.String() + ": " + refusal.Detail
	return refusal
}

// endOutsideHome rolls tx back and refuses req, a statement of tx, if the target of tx is no longer in a home
// region of req. Otherwise it returns nil.
func (g *group) endOutsideHome(req *request.Request, tx *transaction) *request.Refusal {
	g.mu.Lock()
	allowed := tx.member.allows(req)
	g.mu.Unlock()
	if allowed {
		return nil
	}
	g.manager.counts.outsideHome.Add(1)
	g.abort(tx)
	return request.Refuse(request.CodeTransactionLost, "transaction", tx.member.name,
		"the target is no longer in a home region of the request; rolled back")
}

// isReopened reports whether req, which the group's release refused, may be served here again, and if so, forgets the
// release: nodes that do not own a group serve it for requests whose homes the owner is not in.
func (m *Manager) isReopened(req *request.Request) bool {
	if req.HomeRegions == region.Any || !m.options.Regions.IsDivided() {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.draining || !m.released[req.Group] || m.groups[req.Group] != nil {
		return false
	}
	delete(m.released, req.Group)
	return true
}
