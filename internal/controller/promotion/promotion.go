package promotion

import (
	"fmt"
	"math/rand/v2"
	"time"

	"crocusyoke/internal/controller/termfloor"
	"crocusyoke/internal/target"
)

// Member is one target of the group.
type Member struct {
	Name    string
	Address string
	Domain  string
	// Leaving is true for a target that gets no new requests.
	Leaving bool
	// Unlisted is true for a leaving target that the platform's list no longer names.
	Unlisted bool
	// Evacuated is true for a target in an evacuated failure domain, which gets no new requests either.
	Evacuated bool
}

// isWithdrawn reports whether m is to be replaced as the primary as soon as another target can be.
func (m *Member) isWithdrawn() bool { return m.Leaving || m.Evacuated }

// Options configures a Group.
type Options struct {
	// Self is the name of this node as an orderer. It must differ between two starts of the same
	// node, so that a late message of the former process does not count as one of the new process.
	Self string
	// Domain is this node's failure domain.
	Domain string
	// Settle is the maximum age of the polls that serve as evidence of a term: a write is
	// acknowledged only if such polls show its term. Settle is therefore also the minimum time
	// between the adoption of a higher term by a majority and the effect of the promotion, unless
	// the old primary is fenced and commits nothing more (see settleDelay).
	Settle time.Duration
	// HeldTerms is true for targets that adopt a term only until they restart or are released. Such
	// targets also find their primary by themselves, and a promoted one leads its own next term,
	// which may differ from the term of the attempt.
	HeldTerms bool
	// Rand draws the random backoff.
	Rand *rand.Rand
}

// Group holds the promotion state of one database group. It is not safe for concurrent use.
type Group struct {
	options         Options
	members         []Member
	syncReplicas    int
	observations    map[string]*observation
	floor           termfloor.Floor
	peerAnswers     map[answerKey]peerAnswer
	peersQueriedAt  time.Time
	attempt         attempt
	attemptTerm     uint64    // term of this node's newest attempt; never used again without HeldTerms
	backoffUntil    time.Time // no attempt starts before
	promoteDeadline time.Time // a Promote command may take effect until then
	leaseFence      uint64    // fencing token of this node's newest lease
	orderedTerm     uint64    // highest term for which a Promote command may have been sent
	// orderedTermUnknown is true from when this node got the lease with that state until every
	// target has answered a later poll.
	orderedTermUnknown bool
	noPrimarySince     time.Time // zero while the highest term has a primary
	enabled            bool
	mayPromote         bool // this node holds the lease, or none is needed
	timeline           Timeline
	counters           Counters
}

// Counters counts a group's decisions: rounds of peer queries, attempts started, promotions that
// took effect, and attempts abandoned.
type Counters struct {
	QueryRounds       uint64
	Attempts          uint64
	Promotions        uint64
	AbandonedAttempts uint64
}

// New returns a Group that decides nothing until SetEnabled(true) is called.
func New(options Options) *Group {
	return &Group{
		options:      options,
		observations: make(map[string]*observation),
		peerAnswers:  make(map[answerKey]peerAnswer),
		mayPromote:   true,
	}
}

// SetEnabled sets whether this node owns the group, that is, whether it decides on the group's
// promotions. Disabling drops the current attempt.
func (g *Group) SetEnabled(enabled bool) {
	if enabled && !g.enabled {
		g.noPrimarySince = time.Time{}
	}
	if !enabled {
		g.clearAttempt()
	}
	g.enabled = enabled
}

// Observe records a target's answer to a poll that was sent at sentAt. It ignores the answer if a
// later poll was answered before.
func (g *Group) Observe(sentAt time.Time, status target.Status) {
	o := g.observation(status.Target)
	if o.answered && sentAt.Before(o.polledAt) {
		return
	}
	o.previousLast = o.status.Last
	o.status = status
	o.polledAt = sentAt
	o.answered = true
	o.missedPolls = 0
	o.declinedSince, o.declinedAt = time.Time{}, time.Time{}
}

// ObserveFailedPoll records that a poll sent at sentAt failed. It is ignored if a later poll was
// answered.
func (g *Group) ObserveFailedPoll(sentAt time.Time, name string) {
	o := g.observation(name)
	if o.answered && sentAt.Before(o.polledAt) {
		return
	}
	if o.missedPolls == 0 {
		o.firstMissAt = sentAt
	}
	o.missedPolls++
}

// ObservePeerAnswer records a peer's reply to QueryPeers: whether it reaches the target called
// name. domain is the peer's failure domain.
func (g *Group) ObservePeerAnswer(now time.Time, peer, domain, name string, reachable bool) {
	g.peerAnswers[answerKey{peer, name}] = peerAnswer{domain: domain, reachable: reachable, at: now}
}

// Primary returns, of the targets that report to be primary, the one in the highest term, and that
// term. It returns "" and 0 if there is none.
func (g *Group) Primary() (string, uint64) {
	var name string
	var term uint64
	for _, m := range g.members {
		o := g.observations[m.Name]
		if o == nil || !o.answered || o.status.Role != target.RolePrimary {
			continue
		}
		if o.status.Term >= term {
			name, term = m.Name, o.status.Term
		}
	}
	return name, term
}

// Phase returns the phase of the current attempt.
func (g *Group) Phase() Phase { return g.attempt.phase }

// Timeline returns the times of the newest successful attempt.
func (g *Group) Timeline() Timeline { return g.timeline }

func (g *Group) Counters() Counters { return g.counters }

// Tick advances the current attempt or decides whether to start one. The caller calls it after
// every input and at least every 50 ms.
func (g *Group) Tick(now time.Time) []Action {
	if !g.enabled || len(g.members) == 0 {
		return nil
	}
	g.floor.Expire(now)
	if g.hasLostAdopter() {
		g.abandon(now)
		return nil
	}
	switch g.attempt.phase {
	case PhaseFence:
		return g.tickFence(now)
	case PhaseAdopt:
		return g.tickAdopt(now)
	case PhaseSettle:
		return g.tickSettle(now)
	case PhasePromote:
		return g.tickPromote(now)
	default:
		return g.tickIdle(now)
	}
}

func (g *Group) tickIdle(now time.Time) []Action {
	g.reconcile(now)
	primary, term := g.Primary()
	actions := g.followActions(now, primary, term)
	if now.Before(g.backoffUntil) || !g.mayPromote && !g.options.HeldTerms {
		return actions
	}
	reason, queryPeers := g.failoverReason(now, primary, term)
	if queryPeers && now.Sub(g.peersQueriedAt) >= PeerQueryInterval {
		g.peersQueriedAt = now
		g.counters.QueryRounds++
		actions = append(actions, g.peerQueries(primary)...)
	}
	if reason == reasonNone || !g.mayPromote || g.reachableCount(now) < g.quorum() {
		return actions
	}
	return append(actions, g.startAttempt(now, reason)...)
}

// failoverReason returns the reason for starting a new term, or reasonNone if there is none. It also
// reports whether to query peers about targets that this node cannot reach.
func (g *Group) failoverReason(now time.Time, primary string, term uint64) (Reason, bool) {
	highest := g.maxTerm()
	if primary == "" || term < highest && !g.isLeadingOwnTerm(now, primary) {
		return g.noPrimaryReason(now)
	}
	g.noPrimarySince = time.Time{}
	if g.isSuspect(now, primary) {
		if g.isConfirmedUnreachable(now, primary) {
			return ReasonUnreachable, true
		}
		return reasonNone, true
	}
	if g.options.HeldTerms && g.observations[primary].missedPolls > 0 {
		return reasonNone, true
	}
	clear(g.peerAnswers)
	if g.isPrimaryIsolated(now, primary) {
		return ReasonIsolated, false
	}
	return g.handoverReason(now, primary), false
}

// elapsedSince returns the time from start to now. It first sets start to now if it is zero.
func elapsedSince(start *time.Time, now time.Time) time.Duration {
	if start.IsZero() {
		*start = now
	}
	return now.Sub(*start)
}

// isSuspect reports whether the primary missed SuspectMissedPolls polls in a row and has not
// answered for the suspect timeout.
func (g *Group) isSuspect(now time.Time, primary string) bool {
	o := g.observations[primary]
	if o.missedPolls < SuspectMissedPolls {
		return false
	}
	if g.options.HeldTerms {
		return now.Sub(o.polledAt) >= HeldSuspectTimeout
	}
	return now.Sub(o.polledAt) >= SuspectTimeout && now.Sub(o.firstMissAt) >= SuspectTimeout
}

// isConfirmedUnreachable reports whether a peer in another failure domain cannot reach the target
// either and no peer reaches it. Only answers younger than PeerAnswerTTL count.
func (g *Group) isConfirmedUnreachable(now time.Time, name string) bool {
	confirmed := false
	for key, a := range g.peerAnswers {
		if key.target != name || now.Sub(a.at) > PeerAnswerTTL {
			continue
		}
		if a.reachable {
			return false
		}
		if a.domain != g.options.Domain {
			confirmed = true
		}
	}
	return confirmed
}

// isPrimaryIsolated reports whether a majority of the targets are replicas that this node reaches
// but that have not heard from the primary for ReplicaLinkTimeout. No write can then be confirmed,
// while these replicas could adopt a new term.
func (g *Group) isPrimaryIsolated(now time.Time, primary string) bool {
	disconnected := 0
	for _, m := range g.members {
		if m.Name == primary || !g.isReachable(now, m.Name) {
			continue
		}
		o := g.observations[m.Name]
		if o.status.LinkAge >= ReplicaLinkTimeout {
			disconnected++
		}
	}
	return disconnected >= g.majority()
}

// followActions returns a Follow for each target that does not replicate from the primary of the
// highest term, at most one for each target in FollowRetryInterval. With Options.HeldTerms, targets
// find their primary by themselves, and a Follow is needed only to release a target from a term
// that it still holds (see releaseHolds).
func (g *Group) followActions(now time.Time, primary string, term uint64) []Action {
	if g.options.HeldTerms {
		return g.releaseHolds(now, primary)
	}
	if primary == "" || term < g.maxTerm() || !g.isReachable(now, primary) {
		return nil
	}
	leader := g.member(primary)
	var actions []Action
	for _, m := range g.members {
		o := g.observations[m.Name]
		if m.Name == primary || o == nil || !o.answered || o.missedPolls > 0 {
			continue
		}
		upToDate := o.status.Role == target.RoleReplica && o.status.Term == term && o.status.Following == leader.Address
		if upToDate || now.Sub(o.followSentAt) < FollowRetryInterval {
			continue
		}
		o.followSentAt = now
		actions = append(actions, Follow{Target: m.Name, Address: leader.Address, Term: term})
	}
	return actions
}

func (g *Group) maxTerm() uint64 {
	highest := g.floor.Term()
	for _, o := range g.observations {
		if o.answered {
			highest = max(highest, o.status.Term)
		}
	}
	return highest
}

// isReachable reports whether the target answered its newest poll, sent less than SuspectTimeout
// ago.
func (g *Group) isReachable(now time.Time, name string) bool {
	o := g.observations[name]
	return o != nil && o.answered && o.missedPolls == 0 && now.Sub(o.polledAt) < SuspectTimeout
}

func (g *Group) reachableCount(now time.Time) int {
	n := 0
	for _, m := range g.members {
		if g.isReachable(now, m.Name) {
			n++
		}
	}
	return n
}

func (g *Group) observation(name string) *observation {
	o := g.observations[name]
	if o == nil {
		o = &observation{}
		g.observations[name] = o
	}
	return o
}

// String returns a summary of the group's state for log lines.
func (g *Group) String() string {
	primary, term := g.Primary()
	return fmt.Sprintf("primary %s term %d phase %s", primary, term, g.attempt.phase)
}
