package promotion

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/logpos"
	"crocusyoke/internal/target"
)

// setLast sets the last log position that a target reports.
func (h *heldHarness) setLast(name string, index uint64) {
	s := h.status[name]
	s.Last = logpos.Position{Term: 1, Index: index}
	h.status[name] = s
}

// remove takes targets off the list: they are members no more, and are not polled.
func (h *heldHarness) remove(names ...string) {
	kept := make([]Member, 0, len(h.group.members))
	for _, m := range h.group.members {
		removed := false
		for _, name := range names {
			removed = removed || m.Name == name
		}
		if !removed {
			kept = append(kept, m)
		}
	}
	for _, name := range names {
		delete(h.status, name)
	}
	h.group.SetMembers(kept)
}

// TestTargetRemovedDuringAttemptIsForgotten guards against the promotion of a target with a lower log
// when the adopter with the highest log is taken off the list before the Promote command.
func TestTargetRemovedDuringAttemptIsForgotten(t *testing.T) {
	h := newHeldHarness(t)
	h.adoptsTerms = true
	h.setLast("r1", 80)
	h.advance(time.Second)
	h.unreachable["p"] = true
	for h.group.Phase() != PhaseSettle {
		h.advance(50 * time.Millisecond)
	}
	h.remove("r1")
	h.advance(time.Second)
	must.SliceEmpty(t, h.promoted)
}

// TestAllAdoptersRemovedDuringAttempt guards against a nil pointer dereference when every target that
// has adopted the term is taken off the list before the Promote command.
func TestAllAdoptersRemovedDuringAttempt(t *testing.T) {
	h := startSettling(t)
	h.remove("r1", "r2")
	h.advance(time.Second)
	must.SliceEmpty(t, h.promoted)
}

// TestUnlistedTargetWithTheHighestLogIsPromoted checks that a member that the list no longer names is
// promoted if its log is the highest, and that it hands over once a listed replica has caught up.
func TestUnlistedTargetWithTheHighestLogIsPromoted(t *testing.T) {
	h := newHeldHarness(t)
	h.adoptsTerms = true
	h.setLast("r1", 80)
	h.group.SetMembers([]Member{{Name: "p"}, {Name: "r1", Leaving: true, Unlisted: true}, {Name: "r2"}})
	h.advance(time.Second)
	h.unreachable["p"] = true
	for len(h.promoted) == 0 {
		h.advance(50 * time.Millisecond)
	}
	must.Eq(t, "r1", h.promoted[0])
	for _, name := range []string{"r1", "r2"} {
		s := h.status[name]
		s.Term, s.OwnTerm = 2, 2
		h.status[name] = s
	}
	leader := h.status["r1"]
	leader.Role = target.RolePrimary
	h.status["r1"] = leader
	h.group.HandlePromoteResult(h.now, "r1", 2, leader, nil)
	h.advance(3 * time.Second)
	must.Len(t, 1, h.promoted)
	h.setLast("r2", 80)
	h.advance(3 * time.Second)
	must.Eq(t, []string{"r1", "r2"}, h.promoted)
}

// TestSynchronousQuorum checks how many targets must adopt a term so that one of them has every commit
// that was acknowledged once n replicas had received it.
func TestSynchronousQuorum(t *testing.T) {
	for _, c := range []struct{ members, syncReplicas, want int }{
		{3, 0, 2},
		{5, 0, 3},
		{1, 0, 1},
		{3, 1, 2},
		{4, 1, 3},
		{5, 1, 4},
		{5, 2, 3},
		{2, 1, 2},
		{1, 1, 2},
		{2, 2, 3},
	} {
		g := New(Options{HeldTerms: true})
		g.SetMembers(make([]Member, c.members))
		g.SetSyncReplicas(c.syncReplicas)
		must.Eq(t, c.want, g.quorum(), must.Sprintf("%+v", c))
	}
}

// TestOnlyKnownReplicaOfSynchronousGroup guards against the promotion of a replica that is the only
// member that is known, since the others may have commits that it lacks.
func TestOnlyKnownReplicaOfSynchronousGroup(t *testing.T) {
	h := newHeldHarness(t)
	h.adoptsTerms = true
	h.group.SetSyncReplicas(1)
	h.remove("p", "r1")
	h.advance(10 * time.Second)
	must.SliceEmpty(t, h.promoted)
	h.group.SetSyncReplicas(0)
	h.advance(10 * time.Second)
	must.SliceNotEmpty(t, h.promoted)
}

// TestReplacedPrimaryIsKeptAlone guards against a replaced primary that is kept because the targets of
// the higher term are members no more. It has to be promoted to lead again.
func TestReplacedPrimaryIsKeptAlone(t *testing.T) {
	h := newHeldHarness(t)
	h.adoptsTerms = true
	for _, name := range []string{"r1", "r2"} {
		s := h.status[name]
		s.Term, s.OwnTerm = 2, 2
		h.status[name] = s
	}
	h.advance(100 * time.Millisecond)
	h.remove("r1", "r2")
	h.advance(10 * time.Second)
	must.SliceContains(t, h.promoted, "p")
	must.Eq(t, 3, h.group.OrderedTerm())
}
