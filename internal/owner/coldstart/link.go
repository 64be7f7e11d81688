package coldstart

import "time"

// minRestart is the least time between the end of a target's process and the first connection that the next one takes.
// It is more than the interval of a target's entries. A control connection that this node closed itself is as good as
// one that stands if it was replaced within that time, and an entry that is no older than that shows which process a
// connection leads to. Once this node has seen a connection break, only two entries in a row that came later do: the target's
// former process may have left one.
const minRestart = 1300 * time.Millisecond

// Link is the control connection to a target. As long as it stands, one process is at its other end.
type Link struct {
	// connectedAt is when the connection was open, zero if there is none.
	connectedAt time.Time
	// answeredAt is when the last question was sent that was answered.
	answeredAt time.Time
	// broken is true if an earlier connection broke, so that the target may have started again.
	broken bool
	// warm is true once the process at the other end was proven to be warm, which it stays.
	warm bool
	// warmAt is when the last request was sent that a process answered which was proven to be warm. It outlasts the link.
	warmAt time.Time
}

// Connect records a new connection, which was open at now. A former one, if there was one, was closed by this node.
func (l *Link) Connect(now time.Time) {
	if !l.answeredAt.IsZero() && now.Sub(l.answeredAt) <= minRestart {
		return
	}
	*l = Link{connectedAt: now, broken: l.broken, warmAt: l.warmAt}
}

// Answer records an answer on the connection to a question sent at sentAt.
func (l *Link) Answer(sentAt time.Time) { l.answeredAt = sentAt }

// Break records that the connection broke or that none could be opened.
func (l *Link) Break() {
	*l = Link{broken: true, warmAt: l.warmAt}
}

// AnswerWarm records the answer to a request that was sent at sentAt on a data connection that leads to a warm process.
func (l *Link) AnswerWarm(sentAt time.Time) {
	if sentAt.After(l.warmAt) {
		l.warmAt = sentAt
	}
}

// IsWarm reports whether the process at the other end of the link is proven to be warm: it has been there for
// coldStart and the target's entries state no longer cold time, they are of that process and say so, or a process that
// was proven to be warm has answered since the link was connected.
func (l *Link) IsWarm(now time.Time, life Life, coldStart time.Duration) bool {
	if l.connectedAt.IsZero() || l.answeredAt.IsZero() {
		return false
	}
	l.warm = l.warm || hasStood(now, l.connectedAt, life, coldStart) || !l.connectedAt.After(l.warmAt) ||
		l.isOf(life) && !now.Before(life.coldUntil(coldStart))
	return l.warm
}

// isOf reports whether life is that of the process at the other end.
func (l *Link) isOf(life Life) bool {
	switch {
	case life.timelyAt.IsZero():
		return false
	case l.broken:
		return !life.beforeAt.Before(l.connectedAt)
	default:
		return !life.timelyAt.Before(l.connectedAt.Add(-minRestart))
	}
}

// LeadsToWarm reports whether a data connection that was opened before openedAt is proven to lead to a warm process: to
// that of the link or of another data connection, which has answered since, or to one that has been there for coldStart.
func (l *Link) LeadsToWarm(now, openedAt time.Time, life Life, coldStart time.Duration) bool {
	return hasStood(now, openedAt, life, coldStart) || !openedAt.After(l.warmAt) ||
		!openedAt.After(l.answeredAt) && l.IsWarm(now, life, coldStart)
}

// hasStood reports whether a connection that was opened at openedAt stands for so long that its process is warm.
func hasStood(now, openedAt time.Time, life Life, coldStart time.Duration) bool {
	return now.Sub(openedAt) >= coldStart && !life.statesCold(now)
}
