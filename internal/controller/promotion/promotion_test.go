package promotion

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/logpos"
	"crocusyoke/internal/target"
)

const tickInterval = 50 * time.Millisecond

// harness runs one orderer against model targets without losing messages.
type harness struct {
	cluster  *modelCluster
	linkAges map[string]time.Duration
}

func newHarness() *harness {
	cluster := newModelCluster(nil, 0, 3)
	cluster.groups = cluster.groups[:1]
	return &harness{cluster: cluster, linkAges: map[string]time.Duration{}}
}

// advance runs the orderer for d. Peers answer queries with reachable. It returns the recorded
// promotions.
func (h *harness) advance(d time.Duration, reachable bool) []RecordPromotion {
	var records []RecordPromotion
	g := h.cluster.groups[0]
	for end := h.cluster.now.Add(d); h.cluster.now.Before(end); h.cluster.now = h.cluster.now.Add(tickInterval) {
		for _, m := range h.cluster.targets {
			if m.down {
				g.ObserveFailedPoll(h.cluster.now, m.name)
				continue
			}
			s := m.status()
			s.LinkAge = h.linkAges[m.name]
			g.Observe(h.cluster.now, s)
		}
		records = append(records, h.carryOut(g.Tick(h.cluster.now), reachable)...)
	}
	return records
}

func (h *harness) carryOut(actions []Action, reachable bool) []RecordPromotion {
	var records []RecordPromotion
	g := h.cluster.groups[0]
	for _, action := range actions {
		switch a := action.(type) {
		case QueryPeers:
			g.ObservePeerAnswer(h.cluster.now, "peer", "d2", a.Target, reachable)
		case Adopt:
			m := h.cluster.target(a.Target)
			if !m.down {
				err := m.adopt(a.Term, g.options.Self)
				g.HandleAdoptResult(h.cluster.now, a.Target, a.Term, m.status(), err)
			}
		case Promote:
			m := h.cluster.target(a.Target)
			err := m.promote(a.Term, g.options.Self)
			records = append(records, h.carryOut(g.HandlePromoteResult(h.cluster.now, a.Target, a.Term, m.status(), err), reachable)...)
		case Follow:
			_ = h.cluster.target(a.Target).follow(a.Term, a.Address)
		case RecordPromotion:
			records = append(records, a)
		}
	}
	return records
}

func TestDeadPrimaryIsReplaced(t *testing.T) {
	h := newHarness()
	h.advance(time.Second, true)
	h.cluster.targets[0].down = true
	records := h.advance(3*time.Second, false)
	must.Len(t, 1, records)
	must.Eq(t, ReasonUnreachable, records[0].Reason)
	must.Eq(t, 2, records[0].Term)
	must.NotEq(t, "a", records[0].Primary)
	h.cluster.targets[0].down = false
	h.advance(2*time.Second, true)
	must.Eq(t, target.RoleReplica, h.cluster.targets[0].role)
	must.Eq(t, records[0].Primary, h.cluster.targets[0].following)
}

func TestShortPauseCausesNoPromotion(t *testing.T) {
	h := newHarness()
	h.advance(time.Second, true)
	h.cluster.targets[0].down = true
	must.Len(t, 0, h.advance(500*time.Millisecond, false))
	h.cluster.targets[0].down = false
	must.Len(t, 0, h.advance(3*time.Second, true))
}

func TestPrimaryReachableByPeersIsKept(t *testing.T) {
	h := newHarness()
	h.advance(time.Second, true)
	h.cluster.targets[0].down = true
	must.Len(t, 0, h.advance(10*time.Second, true))
}

func TestMinorityCannotPromote(t *testing.T) {
	h := newHarness()
	h.advance(time.Second, true)
	h.cluster.targets[0].down = true
	h.cluster.targets[1].down = true
	must.Len(t, 0, h.advance(10*time.Second, false))
	must.Eq(t, 1, h.cluster.targets[2].term)
}

func TestHighestLogIsChosen(t *testing.T) {
	h := newHarness()
	h.cluster.targets[2].log = []entry{{term: 1, id: 1}, {term: 1, id: 2}}
	h.cluster.targets[1].log = []entry{{term: 1, id: 1}}
	h.advance(time.Second, true)
	h.cluster.targets[0].down = true
	records := h.advance(3*time.Second, false)
	must.Len(t, 1, records)
	must.Eq(t, "c", records[0].Primary)
}

func TestIsolatedPrimaryIsReplaced(t *testing.T) {
	h := newHarness()
	h.advance(time.Second, true)
	h.cluster.targets[0].log = []entry{{term: 1, id: 1}}
	h.linkAges["b"], h.linkAges["c"] = 2*ReplicaLinkTimeout, 2*ReplicaLinkTimeout
	records := h.advance(time.Second, true)
	must.SliceNotEmpty(t, records)
	must.Eq(t, ReasonIsolated, records[0].Reason)
	must.NotEq(t, "a", records[0].Primary)
}

func TestLeavingPrimaryHandsOverWhenASuccessorHasCaughtUp(t *testing.T) {
	h := newHarness()
	a, c := h.cluster.targets[0], h.cluster.targets[2]
	a.log = []entry{{term: 1, id: 1}, {term: 1, id: 2}}
	h.cluster.targets[1].log = a.log[:1]
	c.log = a.log[:1]
	g := h.cluster.groups[0]
	members := append([]Member(nil), g.members...)
	members[0].Leaving = true
	g.SetMembers(members)
	must.Len(t, 0, h.advance(time.Second, true))
	must.Eq(t, PhaseFence, g.Phase())
	must.Eq(t, target.RoleReplica, a.role, must.Sprint("the leaving primary is fenced"))
	c.log = a.log
	records := h.advance(time.Second, true)
	must.Len(t, 1, records)
	must.Eq(t, "c", records[0].Primary)
	must.Eq(t, logpos.Position{Term: 2, Index: 3}, c.status().Last)
}

// TestTermIsNeverOrderedTwice checks that a term is promoted at most once if every target adopts but
// all answers to Promote are lost.
func TestTermIsNeverOrderedTwice(t *testing.T) {
	h := newHarness()
	g := h.cluster.groups[0]
	h.advance(time.Second, true)
	h.cluster.targets[0].down = true
	seen := map[uint64]bool{}
	g.options.Rand = rand.New(rand.NewPCG(2, 2))
	for range 400 {
		h.cluster.now = h.cluster.now.Add(tickInterval)
		for _, m := range h.cluster.targets {
			if m.down {
				g.ObserveFailedPoll(h.cluster.now, m.name)
				continue
			}
			g.Observe(h.cluster.now, m.status())
		}
		for _, action := range g.Tick(h.cluster.now) {
			switch a := action.(type) {
			case QueryPeers:
				g.ObservePeerAnswer(h.cluster.now, "peer", "d2", a.Target, false)
			case Adopt:
				m := target.Status{Term: a.Term, Orderer: g.options.Self}
				g.HandleAdoptResult(h.cluster.now, a.Target, a.Term, m, nil)
			case Promote:
				must.False(t, seen[a.Term], must.Sprintf("term %d ordered twice", a.Term))
				seen[a.Term] = true
			}
		}
	}
	must.Greater(t, 1, len(seen))
}
