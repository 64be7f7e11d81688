package front

import (
	"time"

	"crocusyoke/internal/requestlog"
)

// phase is what a session is doing.
type phase uint8

const (
	// phaseLogin lasts until the caller has logged in.
	phaseLogin phase = iota
	// phaseReading waits for the caller's next statement.
	phaseReading
	// phaseServing serves a statement.
	phaseServing
	// phaseAnswering writes the answer to a statement.
	phaseAnswering
)

// String returns the phase's name in log lines.
func (p phase) String() string {
	names := [...]string{"login", "reading", "serving", "answering"}
	return names[min(p, phaseAnswering)]
}

// progress describes what a session is doing, for the line that is logged if it is cut.
type progress struct {
	phase phase
	// statement is the last statement's identifier, cut for the log; verb is its verb, and began when it was read.
	statement string
	verb      Verb
	began     time.Time
	// transactionBegan is when the open transaction was begun; zero outside a transaction.
	transactionBegan time.Time
}

// observeTransaction records whether a transaction is open after the last statement.
func (p *progress) observeTransaction(open bool) {
	switch {
	case !open:
		p.transactionBegan = time.Time{}
	case p.transactionBegan.IsZero():
		p.transactionBegan = p.began
	}
}

// isCut reports whether ending the session now leaves a statement without an answer, or a transaction
// without its end.
func (p *progress) isCut() bool {
	return p.phase == phaseServing || p.phase == phaseAnswering || !p.transactionBegan.IsZero()
}

// Reasons for which a session is cut.
const (
	// cutAtLimit means that the time for a graceful stop is over.
	cutAtLimit = "the stop's time is over"
	// cutAtExit means that the node ends. Its own line says why.
	cutAtExit = "the node ends"
	// cutByWrite means that the answer could not be written.
	cutByWrite = "the answer could not be written"
	// cutByPanic means that the session's goroutine panicked.
	cutByPanic = "panic"
)

// cut closes the session's connection at once, and logs it if that cuts a statement or a transaction.
func (s *session) cut(why string) {
	s.logCut(why, nil)
	_ = s.conn.Close()
}

// logCut counts and logs that the session ends under a statement or in a transaction. It does nothing if
// neither is the case, or after its first line. An engineer reads from the line what the caller lost:
// the request, its age, the step that it had reached, the owner that served it, and why it was cut.
func (s *session) logCut(why string, cause error) {
	s.mu.Lock()
	p, closing := s.progress, s.closing
	first := p.isCut() && !s.cutReported
	s.cutReported = s.cutReported || first
	s.mu.Unlock()
	if !first {
		return
	}
	s.server.Counts.Add("sessions_cut", 1)
	now := s.server.options.Clock.Now()
	if !s.server.options.Log.Allow(requestlog.OutcomeCut, now) {
		return
	}
	fields := []any{
		"why", why, "step", p.phase, "verb", p.verb, "age", now.Sub(p.began), "owner", s.server.options.Owner(s.id),
		"customer", s.customer, "service", s.service, "stopping", closing,
	}
	if !p.transactionBegan.IsZero() {
		fields = append(fields, "transaction_age", now.Sub(p.transactionBegan))
	}
	if cause != nil {
		fields = append(fields, "cause", loggedCause(cause))
	}
	s.server.options.Log.Write(requestlog.Entry{ID: p.statement, Session: s.id, Outcome: requestlog.OutcomeCut, Fields: fields})
}

// setPhase records the session's phase.
func (s *session) setPhase(p phase) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.progress.phase = p
}
