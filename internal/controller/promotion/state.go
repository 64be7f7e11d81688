package promotion

import (
	"time"

	"crocusyoke/internal/logpos"
	"crocusyoke/internal/target"
)

// Phase is the phase of an attempt.
type Phase uint8

// Phases, in order. PhaseFence is skipped unless the primary is leaving or evacuated.
const (
	// PhaseIdle means that no attempt is in progress.
	PhaseIdle Phase = iota
	// PhaseFence means that a primary that hands over is fenced: it adopts the new term before the other
	// targets and so commits nothing more, and a replica catches up with it.
	PhaseFence
	// PhaseAdopt means that the targets are asked to adopt the new term.
	PhaseAdopt
	// PhaseSettle means that a majority has adopted. The attempt waits until poll results that
	// confirm writes of the old term are too old to be used (Options.Settle).
	PhaseSettle
	// PhasePromote means that the Promote command was sent to the candidate.
	PhasePromote
)

// String returns the name of the phase.
func (p Phase) String() string {
	return [...]string{"idle", "fence", "adopt", "settle", "promote"}[p]
}

// observation is what this node knows of a target from its polls.
type observation struct {
	status       target.Status
	previousLast logpos.Position // last log position as of the answered poll before the newest
	polledAt     time.Time       // when the newest answered poll was sent
	answered     bool
	missedPolls  int
	firstMissAt  time.Time
	followSentAt time.Time // when the newest Follow was returned
	// declinedSince is when the first poll since the newest answered one was sent that the target declined, and
	// declinedAt when the newest one was; zero if there is none.
	declinedSince, declinedAt time.Time
}

// answerKey identifies the answer of a peer about a target.
type answerKey struct {
	peer   string
	target string
}

// peerAnswer is a peer's newest reply about a target; domain is the peer's failure domain.
type peerAnswer struct {
	domain    string
	reachable bool
	at        time.Time
}

// attempt is the state of an attempt to promote a target to a new term.
type attempt struct {
	phase          Phase
	term           uint64
	startedAt      time.Time
	adoptedAt      time.Time // when a majority had adopted the term
	phaseStartedAt time.Time
	reason         Reason
	oldPrimary     string // primary to be replaced; empty if none is known
	adopted        map[string]target.Status
	candidate      string
	fencedPosition logpos.Position // last log position of the fenced old primary
	fenced         bool            // the old primary has adopted the term and commits nothing more
	// announced is true once the lease's row names the attempt's term.
	announced bool
	adoptSent map[string]bool
	// prevOrderedTerm and prevPromoteDeadline are the group's orderedTerm and promoteDeadline from
	// before this attempt sent Promote. Both are restored if that command cannot take effect; the
	// deadline also applies again once the command has taken effect.
	prevOrderedTerm     uint64
	prevPromoteDeadline time.Time
}

// Timeline holds the times of the newest successful attempt. LastHeard is when the last answered
// poll of the replaced primary was sent. Started is the start of PhaseAdopt, in which the targets
// are asked to adopt the new term.
type Timeline struct {
	LastHeard time.Time
	Started   time.Time
	Adopted   time.Time
	Promoted  time.Time
	Term      uint64
	Reason    Reason
}
