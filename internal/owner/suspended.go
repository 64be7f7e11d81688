package owner

import "time"

// suspensionTolerance is the longest measured suspension that leaves evidence valid. A
// suspension is measured as the difference of two clocks, which are read one after the other.
// The readings may be this far apart without any suspension.
const suspensionTolerance = 20 * time.Millisecond

// syncEvidence updates g.evidence with what it can't observe itself: a suspension of the VM,
// and whether this node alone may order promotions. It must be called before every query of
// g.evidence that decides about a primary, and before Observe. g.mu is held.
func (g *group) syncEvidence() {
	g.invalidateAfterSuspension()
	if g.options.SoleOrderer != nil && g.options.HeldTerms {
		g.evidence.SetSoleOrderer(g.options.SoleOrderer(g.name, g.evidence.HighestTerm()))
	}
}

// invalidateAfterSuspension drops the evidence gathered before the VM was suspended, because
// the clock that its age is measured with did not count the suspension. g.mu is held.
func (g *group) invalidateAfterSuspension() {
	suspended := g.options.Suspended()
	if suspended-g.lastSuspended <= suspensionTolerance {
		return
	}
	_ = g.options.Logger.Log("event", "suspended", "group", g.name, "for", suspended-g.lastSuspended)
	g.lastSuspended = suspended
	g.evidence.ExpireObservations()
	g.wakePollers()
}
