package promotion

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/logpos"
	"crocusyoke/internal/target"
)

// heldHarness runs one orderer against three targets with Options.HeldTerms. Target p is the primary
// at first.
type heldHarness struct {
	t     *testing.T
	now   time.Time
	group *Group
	// unreachable targets do not answer polls. peersReach is what peers answer to queries.
	unreachable map[string]bool
	peersReach  bool
	// declining targets answer polls without their status.
	declining map[string]bool
	status    map[string]target.Status
	adopted   []string
	followed  []string
	// adoptsTerms makes reachable targets hold the terms that they are told to adopt.
	adoptsTerms bool
	// unannounced prevents the lease's row from naming an attempt's term.
	unannounced bool
	promoted    []string
}

func newHeldHarness(t *testing.T) *heldHarness {
	h := &heldHarness{t: t, now: time.Unix(1000, 0), unreachable: map[string]bool{}, status: map[string]target.Status{}}
	h.group = New(Options{Self: "n1", Domain: "a", HeldTerms: true, Settle: 500 * time.Millisecond, Rand: rand.New(rand.NewPCG(1, 1))})
	h.group.SetMembers([]Member{{Name: "p", Domain: "a"}, {Name: "r1", Domain: "b"}, {Name: "r2", Domain: "c"}})
	for _, name := range []string{"p", "r1", "r2"} {
		s := target.Status{Target: name, Role: target.RoleReplica, Term: 1, OwnTerm: 1, Last: logpos.Position{Term: 1, Index: 5}}
		if name == "p" {
			s.Role = target.RolePrimary
		}
		h.status[name] = s
	}
	h.group.SetEnabled(true)
	return h
}

// advance runs the orderer for d in steps of 50 ms. Targets are polled and peers answer queries.
func (h *heldHarness) advance(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(50 * time.Millisecond) {
		for name, s := range h.status {
			if h.unreachable[name] {
				h.group.ObserveFailedPoll(h.now, name)
				continue
			}
			if h.declining[name] {
				h.group.ObserveDeclinedPoll(h.now, name)
				continue
			}
			h.group.Observe(h.now, s)
		}
		for _, action := range h.group.Tick(h.now) {
			switch a := action.(type) {
			case QueryPeers:
				h.group.ObservePeerAnswer(h.now, "n2", "b", a.Target, h.peersReach)
			case Announce:
				if !h.unannounced {
					h.group.HandleAnnounceResult(h.now, a.Term, nil)
				}
			case Adopt:
				h.adopted = append(h.adopted, a.Target)
				h.answerAdopt(a)
			case Promote:
				h.promoted = append(h.promoted, a.Target)
			case Follow:
				h.followed = append(h.followed, a.Target)
			}
		}
	}
}

// answerAdopt lets a target carry out and answer an Adopt.
func (h *heldHarness) answerAdopt(a Adopt) {
	if !h.adoptsTerms || h.unreachable[a.Target] {
		return
	}
	s := h.status[a.Target]
	s.Role, s.Term = target.RoleReplica, a.Term
	h.status[a.Target] = s
	s.Orderer = h.group.options.Self
	h.group.HandleAdoptResult(h.now, a.Target, a.Term, s, nil)
}

// startSettling returns a harness whose primary is unreachable and whose replicas hold the next
// term.
func startSettling(t *testing.T) *heldHarness {
	h := newHeldHarness(t)
	h.adoptsTerms = true
	h.advance(time.Second)
	h.unreachable["p"] = true
	for h.group.Phase() != PhaseSettle {
		h.advance(50 * time.Millisecond)
		must.Less(t, 2*time.Second, h.now.Sub(time.Unix(1001, 0)))
	}
	return h
}

// TestHeldPromotionFollowsSettle checks that an attempt promotes a target after the evidence of
// the old term has expired.
func TestHeldPromotionFollowsSettle(t *testing.T) {
	h := startSettling(t)
	h.advance(time.Second)
	must.Len(t, 1, h.promoted)
}

// TestUnannouncedTermIsNotPromoted checks that an attempt whose term is missing from the lease's
// row is abandoned without a Promote command.
func TestUnannouncedTermIsNotPromoted(t *testing.T) {
	h := newHeldHarness(t)
	h.adoptsTerms, h.unannounced = true, true
	h.advance(time.Second)
	h.unreachable["p"] = true
	h.advance(5 * time.Second)
	must.SliceEmpty(t, h.promoted)
	must.Greater(t, 0, h.group.Counters().AbandonedAttempts)
	must.Eq(t, 0, h.group.OrderedTerm())
}

// loseThenRestorePrimary returns a harness whose Promote command ended with err and whose old
// primary is reachable again.
func loseThenRestorePrimary(t *testing.T, err error) *heldHarness {
	h := startSettling(t)
	for len(h.promoted) == 0 {
		h.advance(50 * time.Millisecond)
	}
	h.group.HandlePromoteResult(h.now, h.promoted[0], 2, target.Status{}, err)
	h.unreachable["p"] = false
	return h
}

// TestCalledPromotionKeepsHolds checks that holds are kept until the deadline of a Promote command
// whose answer was lost, because it may still take effect. A refused command needs no such wait.
func TestCalledPromotionKeepsHolds(t *testing.T) {
	lost := loseThenRestorePrimary(t, errRefused)
	lost.advance(HeldMaxPromoteDelay - 500*time.Millisecond)
	must.SliceEmpty(t, lost.followed)
	must.False(t, lost.group.IsSoleOrderer(lost.now, 0, 9))
	must.Eq(t, 2, lost.group.OrderedTerm())
	lost.advance(time.Second)
	must.SliceContains(t, lost.followed, "r1")
	must.Eq(t, 1, lost.group.OrderedTerm())
	refused := loseThenRestorePrimary(t, target.ErrNotOrdered.New("refused"))
	refused.advance(time.Second)
	must.SliceContains(t, refused.followed, "r1")
}

// TestNewLeaseHolderInheritsPendingPromotion checks that a new lease holder assumes that a Promote
// command of the former holder may take effect, until its deadline has passed and every target has
// answered a later poll.
func TestNewLeaseHolderInheritsPendingPromotion(t *testing.T) {
	h := newHeldHarness(t)
	h.advance(time.Second)
	h.group.SetLease(h.now, LeaseState{Fence: 7, OrderedTerm: 2})
	must.False(t, h.group.IsSoleOrderer(h.now, 7, 1))
	h.unreachable["r2"] = true
	h.advance(HeldMaxPromoteDelay + time.Second)
	must.False(t, h.group.IsSoleOrderer(h.now, 7, 1))
	h.unreachable["r2"] = false
	h.advance(time.Second)
	must.True(t, h.group.IsSoleOrderer(h.now, 7, 1))
	must.False(t, h.group.IsSoleOrderer(h.now, 8, 1))
	must.False(t, h.group.IsSoleOrderer(h.now, 0, 1))
}

// TestLostLeaseRowHidesPromotion checks that a lease holder to whom a restore of the store may have
// hidden promotions of former holders is the sole orderer only once every target has answered a poll
// sent later, and that it uses no term in which a target out of reach may be.
func TestLostLeaseRowHidesPromotion(t *testing.T) {
	h := newHeldHarness(t)
	h.unreachable["r2"] = true
	h.advance(time.Second)
	h.group.SetLease(h.now, LeaseState{Fence: 7, OrderedTermUnknown: true})
	h.advance(time.Second)
	must.False(t, h.group.IsSoleOrderer(h.now, 7, 1))
	must.False(t, h.group.KnowsOrderedTerm())
	must.Eq(t, 3, h.group.nextTerm())
	h.unreachable["r2"] = false
	h.advance(time.Second)
	must.True(t, h.group.IsSoleOrderer(h.now, 7, 1))
	must.True(t, h.group.KnowsOrderedTerm())
	must.Eq(t, 2, h.group.nextTerm())
	h.group.SetLease(h.now, LeaseState{Fence: 7, OrderedTermUnknown: true})
	must.True(t, h.group.IsSoleOrderer(h.now, 7, 1))
}

// TestReturnedPrimaryIsKept checks that an attempt is abandoned and the replicas are released if
// the primary returns before the Promote command is sent.
func TestReturnedPrimaryIsKept(t *testing.T) {
	h := startSettling(t)
	h.unreachable["p"] = false
	h.advance(time.Second)
	must.SliceEmpty(t, h.promoted)
	must.SliceContains(t, h.followed, "r1")
	must.SliceContains(t, h.followed, "r2")
}

// TestLostHoldAbandonsAttempt checks that nothing is promoted after a replica restarted and lost
// its hold: answers of the old primary could then still be confirmed.
func TestLostHoldAbandonsAttempt(t *testing.T) {
	h := startSettling(t)
	h.adoptsTerms = false
	restarted := h.status["r2"]
	restarted.Term = restarted.OwnTerm
	h.status["r2"] = restarted
	h.advance(time.Second)
	must.SliceEmpty(t, h.promoted)
}

// TestLeavingPrimaryHandsOverAtOnce checks that no settle delay applies if the old primary was
// fenced: it commits nothing more, so no evidence has to expire.
func TestLeavingPrimaryHandsOverAtOnce(t *testing.T) {
	h := newHeldHarness(t)
	h.adoptsTerms = true
	h.advance(time.Second)
	h.group.SetMembers([]Member{{Name: "p", Domain: "a", Leaving: true}, {Name: "r1", Domain: "b"}, {Name: "r2", Domain: "c"}})
	h.advance(200 * time.Millisecond)
	must.Eq(t, target.RoleReplica, h.status["p"].Role)
	must.Len(t, 1, h.promoted)
	must.NotEq(t, "p", h.promoted[0])
}

// TestIsolatedPrimaryStepsDown checks that a primary that this node reaches but its replicas do
// not is fenced, and that another target is promoted.
func TestIsolatedPrimaryStepsDown(t *testing.T) {
	h := newHeldHarness(t)
	h.adoptsTerms = true
	h.advance(time.Second)
	for _, name := range []string{"r1", "r2"} {
		s := h.status[name]
		s.LinkAge = 2 * ReplicaLinkTimeout
		h.status[name] = s
	}
	h.advance(200 * time.Millisecond)
	must.Eq(t, target.RoleReplica, h.status["p"].Role)
	must.Len(t, 1, h.promoted)
	must.NotEq(t, "p", h.promoted[0])
}

// TestNoHoldWithoutTheLease checks that a node without the lease places no hold, however long the
// primary is unreachable, because it could not promote a target. With the lease it places holds.
func TestNoHoldWithoutTheLease(t *testing.T) {
	h := newHeldHarness(t)
	h.advance(time.Second)
	h.group.SetLease(h.now, LeaseState{})
	h.unreachable["p"] = true
	h.advance(10 * time.Second)
	must.SliceEmpty(t, h.adopted)
	h.group.SetLease(h.now, LeaseState{Fence: 1})
	h.advance(time.Second)
	must.SliceContains(t, h.adopted, "r1")
	must.SliceContains(t, h.adopted, "r2")
}

// TestPrimaryReachedByPeersMakesNodeUnfit checks that a primary that only this node cannot reach is
// kept, and that the node reports itself unfit to own the group.
func TestPrimaryReachedByPeersMakesNodeUnfit(t *testing.T) {
	h := newHeldHarness(t)
	h.advance(time.Second)
	must.False(t, h.group.IsUnfit(h.now))
	h.unreachable["p"], h.peersReach = true, true
	h.advance(10 * time.Second)
	must.SliceEmpty(t, h.adopted)
	must.True(t, h.group.IsUnfit(h.now))
}

// TestUnseenPrimary checks that a new owner that has never reached the primary queries peers about
// it before it treats the group as having no primary.
func TestUnseenPrimary(t *testing.T) {
	h := newHeldHarness(t)
	h.unreachable["p"], h.peersReach = true, true
	h.advance(10 * time.Second)
	must.SliceEmpty(t, h.adopted)
	must.True(t, h.group.IsUnfit(h.now))
	h.peersReach = false
	h.advance(5 * time.Second)
	must.SliceContains(t, h.adopted, "r1")
}

// TestStaleHoldsAreReleased checks that holds of an abandoned attempt are released and that the
// current primary is kept.
func TestStaleHoldsAreReleased(t *testing.T) {
	h := newHeldHarness(t)
	h.advance(time.Second)
	held := h.status["r1"]
	held.Term = 2
	h.status["r1"] = held
	h.advance(5 * time.Second)
	must.SliceEmpty(t, h.adopted)
	must.SliceContains(t, h.followed, "r1")
	must.SliceNotContains(t, h.followed, "r2")
}

// TestAttemptStartsWithinASecond checks that an attempt starts within a second after the primary
// became unreachable, since peers are queried from the first missed poll on.
func TestAttemptStartsWithinASecond(t *testing.T) {
	h := newHeldHarness(t)
	h.advance(time.Second)
	h.unreachable["p"] = true
	began := h.now
	for len(h.adopted) == 0 {
		h.advance(50 * time.Millisecond)
		must.Less(t, time.Second, h.now.Sub(began))
	}
}

// TestOthersHoldsAreLeftAlone checks that a node without the lease releases no hold: the lease
// holder may have placed it and relies on it until its promotion.
func TestOthersHoldsAreLeftAlone(t *testing.T) {
	h := newHeldHarness(t)
	h.group.SetLease(h.now, LeaseState{})
	h.advance(time.Second)
	held := h.status["r1"]
	held.Term = 2
	h.status["r1"] = held
	h.advance(5 * time.Second)
	must.SliceEmpty(t, h.followed)
}
