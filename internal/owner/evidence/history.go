package evidence

import (
	"time"

	"crocusyoke/internal/logpos"
)

// Limits of the history of the primary's positions. It reaches back a minute at least when
// samples are taken at this spacing.
const (
	historySpacing = 50 * time.Millisecond
	historySize    = 1200
)

// sample is the last position of the primary as reported to a poll sent at sentAt.
type sample struct {
	sentAt   time.Time
	position logpos.Position
}

// history keeps samples in order of time. The first numConfirmed of them are confirmed: a
// majority, polled no earlier than the sample, was still in the sample's term. Hence no newer
// primary existed when the poll that returned the sample was sent.
type history struct {
	samples      []sample
	numConfirmed int
}

// add appends a sample, unless it is of an older term than the last one, or of the same term and
// less than historySpacing after it. Unconfirmed samples are dropped when one of a newer term
// arrives.
func (h *history) add(sentAt time.Time, position logpos.Position) {
	if n := len(h.samples); n > h.numConfirmed && h.samples[n-1].position.Term < position.Term {
		h.samples = h.samples[:h.numConfirmed]
	}
	if n := len(h.samples); n > 0 {
		last := h.samples[n-1]
		sameTerm := last.position.Term == position.Term
		if last.position.Term > position.Term || (sameTerm && sentAt.Sub(last.sentAt) < historySpacing) {
			return
		}
	}
	h.samples = append(h.samples, sample{sentAt, position})
	if len(h.samples) > 2*historySize {
		drop := len(h.samples) - historySize
		h.samples = append(h.samples[:0], h.samples[drop:]...)
		h.numConfirmed = max(0, h.numConfirmed-drop)
	}
}

// confirm marks the samples of term that were polled at since or earlier as confirmed.
func (h *history) confirm(term uint64, since time.Time) {
	for h.numConfirmed < len(h.samples) {
		next := h.samples[h.numConfirmed]
		if next.position.Term != term || next.sentAt.After(since) {
			return
		}
		h.numConfirmed++
	}
}

// coveredAt returns when the newest confirmed sample that is covered by last was polled.
func (h *history) coveredAt(last logpos.Position) (time.Time, bool) {
	for i := h.numConfirmed - 1; i >= 0; i-- {
		if last.Covers(h.samples[i].position) {
			return h.samples[i].sentAt, true
		}
	}
	return time.Time{}, false
}
