package promotion

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/target"
)

// evacuate sets which failure domains are evacuated. The targets p, r1 and r2 are in a, b and c.
func (h *heldHarness) evacuate(domains ...string) {
	members := []Member{{Name: "p", Domain: "a"}, {Name: "r1", Domain: "b"}, {Name: "r2", Domain: "c"}}
	for i := range members {
		for _, domain := range domains {
			members[i].Evacuated = members[i].Evacuated || members[i].Domain == domain
		}
	}
	h.group.SetMembers(members)
}

// lead lets a Promote command to the target called name take effect.
func (h *heldHarness) lead(name string, term uint64) {
	for other, s := range h.status {
		s.Role, s.Term, s.OwnTerm = target.RoleReplica, term, term
		h.status[other] = s
	}
	s := h.status[name]
	s.Role = target.RolePrimary
	h.status[name] = s
	h.group.HandlePromoteResult(h.now, name, term, s, nil)
}

// startHeld returns a harness whose targets hold terms and are at the same log position.
func startHeld(t *testing.T) *heldHarness {
	h := newHeldHarness(t)
	h.adoptsTerms = true
	h.advance(time.Second)
	return h
}

// TestEvacuatedPrimaryHandsOver checks that the primary of an evacuated domain is fenced and replaced at once
// by the only target that is not evacuated.
func TestEvacuatedPrimaryHandsOver(t *testing.T) {
	h := startHeld(t)
	h.evacuate("a", "b")
	h.advance(200 * time.Millisecond)
	must.Eq(t, "p", h.adopted[0])
	must.Eq(t, []string{"r2"}, h.promoted)
	h.lead("r2", 2)
	must.Eq(t, ReasonEvacuated, h.group.Timeline().Reason)
}

// TestEvacuationLosesNoAcknowledgedWrite checks that an evacuated primary is kept, without a new term, until a
// target that is not evacuated has its log, and that of the adopters the highest log still decides.
func TestEvacuationLosesNoAcknowledgedWrite(t *testing.T) {
	h := startHeld(t)
	h.setLast("p", 80)
	h.setLast("r1", 80)
	h.advance(time.Second)
	h.evacuate("a", "b")
	h.advance(5 * time.Second)
	must.SliceEmpty(t, h.adopted)
	h.unreachable["p"] = true
	h.advance(3 * time.Second)
	must.Eq(t, []string{"r1"}, h.promoted)
	h.unreachable["p"] = false
	h.lead("r1", 2)
	h.setLast("r2", 80)
	h.advance(2 * time.Second)
	must.Eq(t, []string{"r1", "r2"}, h.promoted)
}

// TestOnlyEvacuatedTargets checks that no promotion is attempted while all targets are evacuated, and that the
// primary hands over once one is taken back.
func TestOnlyEvacuatedTargets(t *testing.T) {
	h := startHeld(t)
	h.evacuate("a", "b", "c")
	h.advance(5 * time.Second)
	must.SliceEmpty(t, h.adopted)
	h.evacuate("a", "b")
	h.advance(time.Second)
	must.Eq(t, []string{"r2"}, h.promoted)
}

// TestEvacuationDuringAPromotion checks that the target of a Promote command that is under way when its domain
// is evacuated leads, and hands over at once.
func TestEvacuationDuringAPromotion(t *testing.T) {
	h := startSettling(t)
	for len(h.promoted) == 0 {
		h.advance(50 * time.Millisecond)
	}
	first := h.promoted[0]
	h.evacuate(h.group.member(first).Domain)
	h.advance(100 * time.Millisecond)
	h.unreachable["p"] = false
	h.lead(first, 2)
	h.advance(2 * time.Second)
	must.Len(t, 2, h.promoted)
	must.NotEq(t, first, h.promoted[1])
}

// TestEvacuatedPrimaryFencedInVain guards against an evacuated primary that is fenced again and again, so that replicas
// serve nothing either, while the lease's row can't be written.
func TestEvacuatedPrimaryFencedInVain(t *testing.T) {
	h := startHeld(t)
	h.unannounced = true
	h.evacuate("a")
	h.advance(10 * time.Second)
	must.SliceEmpty(t, h.adopted)
	must.Greater(t, 1, h.group.Counters().AbandonedAttempts)
	h.unannounced = false
	h.advance(3 * time.Second)
	must.Len(t, 1, h.promoted)
}

// TestEvacuatedReplicaDoesNotCountAsCaughtUp guards against a hand-over that ends at once in another evacuated domain, because
// only a replica there has the fenced primary's whole log yet.
func TestEvacuatedReplicaDoesNotCountAsCaughtUp(t *testing.T) {
	h := startHeld(t)
	h.evacuate("a", "b")
	h.setLast("p", 80)
	h.setLast("r1", 80)
	h.advance(700 * time.Millisecond)
	must.Eq(t, []string{"p"}, h.adopted)
	must.SliceEmpty(t, h.promoted)
	h.setLast("r2", 80)
	h.advance(time.Second)
	must.Eq(t, []string{"r2"}, h.promoted)
}
