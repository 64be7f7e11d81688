// Package evidence decides whether an answer of a primary may be returned to the caller. The
// evidence is the status that each target of the group reports when it is polled.
//
// Invariant: a write of term T at log position p is confirmed only if a majority of the
// group's targets, polled after the commit was answered, reported T as their highest term.
// (Held terms, see below, allow earlier polls in some cases.) If the claim requires majority
// confirmation (Claim.Majority), a target counts only if its last log entry is of term T and
// at or after p.
//
// The invariant holds against promotions for this reason. The node that carries out a
// promotion (the orderer) first has a majority of the targets adopt a higher term, and then
// promotes the target of that majority with the longest log. That majority shares a target
// with the one that confirmed the write. Therefore an entry that was confirmed by a majority
// is in the log of the new primary, and a commit that was made after a majority had adopted
// a higher term can't be confirmed.
//
// Evidence older than MaxObservationAge is not used, so a process that was paused polls again
// before it confirms anything.
//
// Held terms (Options.HeldTerms): some targets adopt a term only in memory. A primary that adopts
// one steps down. A replica that adopts one is put on hold: it receives no log entries until it
// is released, it restarts, or any target of the group is promoted. After a majority has adopted
// the term, the orderer waits for MaxObservationAge, checks that the holds still stand, and only
// then promotes. Therefore, if a majority was polled at most MaxObservationAge ago and was not
// on hold, no promotion had been ordered before now. Such polls confirm even an answer that
// arrived after them. The exception is majority confirmation, for which the logs must be polled
// after the answer.
//
// A promotion ends every hold of the group. A majority without holds therefore does not prove
// that there was no promotion, as these targets may not know of it. An example of such a majority
// is the former primary together with a replica that can't reach the new primary. Hence, under
// held terms, a majority is conclusive only in two cases: every target, and so the new primary
// too, was polled within MaxObservationAge; or no other node may order promotions and this node
// has ordered none (SetSoleOrderer).
//
// The term of a target that is no longer a member still counts for a while (package
// controller/termfloor): otherwise a replaced primary would be believed once the others are gone.
//
// The package starts no goroutines, takes no locks and reads no clock.
package evidence

import (
	"slices"
	"time"

	"crocusyoke/internal/controller/termfloor"
	"crocusyoke/internal/logpos"
	"crocusyoke/internal/target"
)

// MaxObservationAge is the age up to which an observation may be used. Under held terms an
// orderer waits as long between the adoption of a term by a majority and the promotion.
const MaxObservationAge = 500 * time.Millisecond

// Verdict is the decision on a claim.
type Verdict uint8

// The verdicts.
const (
	// Wait means that the claim can't be decided without newer observations.
	Wait Verdict = iota
	// Confirmed means that the answer may be returned to the caller now.
	Confirmed
	// Replaced means that a higher term was seen, so that the outcome is unknown.
	Replaced
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	return [...]string{"wait", "confirmed", "replaced"}[v]
}

// Claim describes an answer of a primary that must be confirmed before it is returned to the
// caller.
type Claim struct {
	// Primary is the target that answered.
	Primary string
	// Term is the primary's term when the statement was sent.
	Term uint64
	// Position is the last log position that the primary reported with the answer; zero if it
	// reported none.
	Position logpos.Position
	// Since is when a commit was answered, or when a read was sent. Only polls sent at Since or
	// later confirm the claim; under held terms this applies only if Majority is set.
	Since time.Time
	// Majority requires that the logs of a majority contain Position, too.
	Majority bool
}

// observation is the newest status of one target. sentAt is when the poll that returned the
// status was sent. It is zero before the first poll and after ExpireObservations, which keeps
// polledAt.
type observation struct {
	name     string
	sentAt   time.Time
	polledAt time.Time
	status   target.Status
	// notBefore is when the target was last forgotten: polls that were sent earlier do not count.
	notBefore time.Time
}

// Options describe how the targets of a group adopt terms.
type Options struct {
	// HeldTerms is true for targets with held terms (see the package comment). They keep an
	// adopted term only until they restart or are released, and don't distinguish the orderers
	// (nodes that carry out promotions) for which they adopt it.
	HeldTerms bool
}

// Group keeps the observations of the targets of one group. It must not be used by several
// goroutines at once.
type Group struct {
	options      Options
	soleOrderer  bool
	observations []observation
	highestTerm  uint64
	floor        termfloor.Floor
	history      history
	scratch      []time.Time
}

// New returns a Group of the named targets without observations.
func New(targets []string, options Options) *Group {
	g := &Group{options: options}
	g.SetTargets(targets)
	return g
}

// SetTargets replaces the targets of the group and keeps the observations of those that stay. Under
// held terms the terms of the others still count towards HighestTerm for a while (package termfloor).
func (g *Group) SetTargets(targets []string) {
	if g.options.HeldTerms {
		g.rememberTerms(targets)
	}
	next := make([]observation, 0, len(targets))
	for _, name := range targets {
		o := observation{name: name}
		if old := g.find(name); old != nil {
			o = *old
		}
		next = append(next, o)
	}
	g.observations = next
	g.scratch = make([]time.Time, 0, len(targets))
}

// rememberTerms remembers the terms of the targets that are not among the next ones.
func (g *Group) rememberTerms(next []string) {
	for i := range g.observations {
		o := &g.observations[i]
		if !o.polledAt.IsZero() && !slices.Contains(next, o.name) {
			g.floor.Leave(o.status.OwnTerm, o.polledAt)
		}
	}
}

// SetSoleOrderer sets whether both of these hold: this node is the only one that may order
// promotions now, and no promotion to a term above HighestTerm has been ordered. The value is
// used until the next call of SetSoleOrderer, so it must be set anew before each call of
// Observe, Primary and Confirm.
func (g *Group) SetSoleOrderer(sole bool) { g.soleOrderer = sole }

// Observe records a status that was polled at sentAt. If a status of a later poll is known
// already, Observe uses only the term of the given status. Under held terms it then ignores the
// given status entirely, since a target may have given up the term in the meantime.
func (g *Group) Observe(sentAt, now time.Time, status target.Status) {
	if !g.options.HeldTerms {
		g.highestTerm = max(g.highestTerm, status.Term)
	}
	o := g.find(status.Target)
	if o == nil || sentAt.Before(o.sentAt) || sentAt.Before(o.notBefore) || sentAt.After(now) {
		return
	}
	o.sentAt, o.polledAt = sentAt, sentAt
	o.status = status
	if g.options.HeldTerms {
		g.floor.Expire(now)
		g.highestTerm = max(g.highestObservedTerm(), g.floor.Term())
	}
	if status.Role == target.RolePrimary && (g.options.HeldTerms || status.Last.Term == status.Term) {
		g.history.add(sentAt, status.Last)
	}
	if since, ok := g.provenSince(g.highestTerm, logpos.Position{}); ok {
		g.history.confirm(g.highestTerm, since)
	}
}

// highestObservedTerm returns the highest term among the newest observations.
func (g *Group) highestObservedTerm() uint64 {
	var term uint64
	for i := range g.observations {
		term = max(term, g.observations[i].status.Term)
	}
	return term
}

// ExpireObservations discards the times of all observations and the history of the primary's
// positions. It is for use when the age of the observations is no longer known. The terms and
// positions that the targets reported stay.
func (g *Group) ExpireObservations() {
	for i := range g.observations {
		g.observations[i].sentAt = time.Time{}
	}
	g.history = history{}
}

// ForgetReplica discards what polls of a replica told that were sent before now, as it may be on hold from now on. Nothing
// is discarded of a primary, which tells itself that it commits nothing more.
func (g *Group) ForgetReplica(name string, now time.Time) {
	o := g.find(name)
	if o == nil || o.status.Role == target.RolePrimary {
		return
	}
	o.sentAt, o.notBefore = time.Time{}, now
}

// Status returns the newest status of the target called name and when it was polled. It
// returns false if there is none.
func (g *Group) Status(name string) (target.Status, time.Time, bool) {
	o := g.find(name)
	if o == nil || o.sentAt.IsZero() {
		return target.Status{}, time.Time{}, false
	}
	return o.status, o.sentAt, true
}

// HighestTerm returns the highest term seen.
func (g *Group) HighestTerm() uint64 { return g.highestTerm }

// Primary returns the current primary and its term: the target in that role whose term is the
// highest seen. It returns false unless the primary and a majority were polled in that term
// within MaxObservationAge before now.
func (g *Group) Primary(now time.Time) (name string, term uint64, ok bool) {
	for i := range g.observations {
		o := &g.observations[i]
		fresh := !o.sentAt.IsZero() && now.Sub(o.sentAt) <= MaxObservationAge
		if fresh && o.status.Role == target.RolePrimary && o.status.Term == g.highestTerm {
			name = o.name
		}
	}
	if name == "" {
		return "", 0, false
	}
	since, ok := g.provenSince(g.highestTerm, logpos.Position{})
	return name, g.highestTerm, ok && now.Sub(since) <= MaxObservationAge
}

// provenSince returns the latest time such that polls sent at that time or later prove two
// things: a majority was in term, and no promotion to a higher term had been ordered. Unless
// position is zero, only targets whose logs contain it count towards the majority. Under held
// terms every target must have been polled at that time or later, unless SetSoleOrderer is set.
func (g *Group) provenSince(term uint64, position logpos.Position) (time.Time, bool) {
	since, ok := g.majoritySince(term, position)
	if !ok || !g.options.HeldTerms || g.soleOrderer {
		return since, ok
	}
	for i := range g.observations {
		if o := &g.observations[i]; o.sentAt.Before(since) {
			since = o.sentAt
		}
	}
	return since, !since.IsZero()
}

// majoritySince returns the latest time such that a majority of the targets, polled at that
// time or later, reported term. Unless position is zero, only targets whose logs contain it
// count. Under held terms a target that is itself still in another term (Status.Own) does not
// count.
func (g *Group) majoritySince(term uint64, position logpos.Position) (time.Time, bool) {
	times := g.scratch[:0]
	for i := range g.observations {
		o := &g.observations[i]
		if o.sentAt.IsZero() || o.status.Term != term || g.options.HeldTerms && o.status.OwnTerm != term {
			continue
		}
		if !position.IsZero() && !logContains(o.status.Last, position) {
			continue
		}
		times = append(times, o.sentAt)
	}
	need := len(g.observations)/2 + 1
	if len(times) < need {
		return time.Time{}, false
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[need-1], true
}

// logContains reports whether a log that ends at last is known to contain the entry at
// position. Only a last entry of the same term proves this: the entry at position may be
// unconfirmed, so a log that ends in a later term may lack it.
func logContains(last, position logpos.Position) bool {
	return last.Term == position.Term && last.Index >= position.Index
}

// Confirm decides claim at now. It must be called right before the answer is returned.
func (g *Group) Confirm(now time.Time, claim Claim) Verdict {
	if g.highestTerm > claim.Term || claim.Position.Term > claim.Term {
		return Replaced
	}
	var position logpos.Position
	if claim.Majority {
		known := false
		if position, known = g.claimedPosition(claim); !known {
			return Wait
		}
		if position.Term != claim.Term {
			return Replaced
		}
	}
	since, ok := g.provenSince(claim.Term, position)
	if !ok || now.Sub(since) > MaxObservationAge {
		return Wait
	}
	if since.Before(claim.Since) && (claim.Majority || !g.options.HeldTerms) {
		return Wait
	}
	return Confirmed
}

// claimedPosition returns the position that the logs of a majority must contain. If the answer
// reported none, it is the last position of the primary in a poll sent at claim.Since or later.
// It returns false if there is no such poll yet.
func (g *Group) claimedPosition(claim Claim) (logpos.Position, bool) {
	if !claim.Position.IsZero() {
		return claim.Position, true
	}
	o := g.find(claim.Primary)
	if o == nil || o.sentAt.IsZero() || o.sentAt.Before(claim.Since) {
		return logpos.Position{}, false
	}
	return o.status.Last, !o.status.Last.IsZero()
}

// Age returns the upper bound of the age of the data in a log that ends at last. It is the time
// since the newest poll of a primary that meets two conditions: the log covers the position that
// the primary reported, and a majority, polled at that time or later, was still in the term of
// the primary. It returns false if there is no such poll.
func (g *Group) Age(now time.Time, last logpos.Position) (time.Duration, bool) {
	at, ok := g.history.coveredAt(last)
	return now.Sub(at), ok
}

func (g *Group) find(name string) *observation {
	for i := range g.observations {
		if g.observations[i].name == name {
			return &g.observations[i]
		}
	}
	return nil
}

// CoveredAt returns the time from which Age is measured, and false if there is none.
func (g *Group) CoveredAt(last logpos.Position) (time.Time, bool) {
	return g.history.coveredAt(last)
}
