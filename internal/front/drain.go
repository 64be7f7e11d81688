package front

import (
	"context"
	"time"

	"crocusyoke/internal/request"
)

const (
	// transactionTime is how long after its beginning a drain takes statements of open transactions in any
	// case. Later ones are taken only if their timeout ends before the drain does.
	transactionTime = 700 * time.Millisecond
	// answerTime is the end of a drain's time, in which the statements that still run are canceled and
	// answered.
	answerTime = 400 * time.Millisecond
	// idleReadTime is how long an idle session that is to close may still read a statement that its caller
	// has sent before.
	idleReadTime = 50 * time.Millisecond
	// loginDrainTime is how long a drain waits for the startup message of a connection.
	loginDrainTime = time.Second
)

// drainTimes are the times of a drain, in their order. They are zero if the drain may take any time.
type drainTimes struct {
	// transactionsUntil is the end of transactionTime.
	transactionsUntil time.Time
	// answersFrom is when the statements that still run are canceled, so that each has an answer before
	// its connection is closed. No statement is taken from then on.
	answersFrom time.Time
	// readsUntil is when the sessions that wait for a statement of an open transaction end.
	readsUntil time.Time
}

func newDrainTimes(ctx context.Context, now time.Time) *drainTimes {
	end, limited := ctx.Deadline()
	if !limited {
		return &drainTimes{}
	}
	reserve := min(answerTime, end.Sub(now)/4)
	return &drainTimes{
		transactionsUntil: now.Add(transactionTime),
		answersFrom:       end.Add(-reserve),
		readsUntil:        end.Add(-reserve / 2),
	}
}

// isAnswerTime reports whether no statement is to be taken any more.
func (d *drainTimes) isAnswerTime(now time.Time) bool {
	return !d.answersFrom.IsZero() && !now.Before(d.answersFrom)
}

// takesInTransaction reports whether a statement of an open transaction is taken.
func (d *drainTimes) takesInTransaction(now time.Time, timeout time.Duration) bool {
	if d.answersFrom.IsZero() || !now.Add(timeout).After(d.answersFrom) {
		return true
	}
	return now.Before(d.transactionsUntil) && now.Before(d.answersFrom)
}

// Drain stops accepting callers, ends each session as soon as it is idle and outside a transaction, and
// returns nil when no session is left. If ctx ends first, it closes the remaining sessions and returns the
// context's error. A session is then closed only between two statements: a statement that could outlast
// the drain is refused, and one that does is canceled in time for its answer.
func (s *Server) Drain(ctx context.Context) error {
	times := s.beginDrain(ctx)
	if !times.answersFrom.IsZero() {
		defer time.AfterFunc(times.answersFrom.Sub(s.options.Clock.Now()), func() { s.endSessions(times) }).Stop()
	}
	ended := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		s.closeSessions(cutAtLimit)
		return ctx.Err()
	}
}

// beginDrain closes the listeners and tells all sessions to close.
func (s *Server) beginDrain(ctx context.Context) *drainTimes {
	times := newDrainTimes(ctx, s.options.Clock.Now())
	s.mu.Lock()
	s.drain.Store(times)
	listeners := s.listeners
	for sess := range s.sessions {
		sess.closeWhenIdle()
	}
	s.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	return times
}

// endSessions ends all sessions within the time for answers: statements that run are canceled, and no
// statement is read after times.readsUntil.
func (s *Server) endSessions(times *drainTimes) {
	s.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	for sess := range s.sessions {
		sess.readUntil(times.readsUntil)
	}
}

// readUntil ends a session that waits for a statement at the given time.
func (s *session) readUntil(end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.progress.phase == phaseReading {
		_ = s.conn.SetReadDeadline(end)
	}
}

func (s *Server) isDraining() bool { return s.drain.Load() != nil }

// latestAnswer returns deadline, or when a drain cancels what still runs if that is earlier.
func (s *Server) latestAnswer(deadline time.Time) time.Time {
	d := s.drain.Load()
	if d == nil || d.answersFrom.IsZero() || deadline.Before(d.answersFrom) {
		return deadline
	}
	return d.answersFrom
}

// forwardInTime forwards a statement, unless a drain could end before its answer.
func (s *session) forwardInTime(ctx context.Context, st *Statement, kind request.Kind) {
	refusal := s.refusalByDrain(kind)
	if refusal == nil {
		s.forward(ctx, st, kind)
		return
	}
	s.mu.Lock()
	s.refusedByDrain = true
	s.mu.Unlock()
	s.handleChainError(st, refusal)
}

// refusalByDrain returns the refusal of a statement that may outlast the drain, or nil.
func (s *session) refusalByDrain(kind request.Kind) *request.Refusal {
	d, now := s.server.drain.Load(), s.server.options.Clock.Now()
	switch {
	case d == nil:
		return nil
	case !isInTransaction(kind):
		if d.isAnswerTime(now) {
			return request.Refuse(request.CodeShutdown, step, "", "node is stopping")
		}
	case !d.takesInTransaction(now, s.timeout()):
		return request.Refuse(request.CodeTransactionLost, step, "", "the node stops before the statement's timeout; rolled back")
	}
	return nil
}

func isInTransaction(kind request.Kind) bool {
	return kind == request.KindInTransaction || kind == request.KindCommit || kind == request.KindRollback
}

// timeout returns the timeout of the session's statements under the configuration in force.
func (s *session) timeout() time.Duration {
	config := s.server.options.Config.Current()
	if config == nil {
		return DefaultTimeout
	}
	service := config.Service(s.service)
	if service == nil {
		return DefaultTimeout
	}
	profile := profileOf(config, service)
	return timeoutOf(&profile)
}

// beginStatement marks the session busy. A statement that was read is served, also if the session was
// told to close meanwhile.
func (s *session) beginStatement(st *Statement) {
	now := s.server.options.Clock.Now()
	id := loggedID(st.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = true
	s.progress.phase, s.progress.statement, s.progress.verb, s.progress.began = phaseServing, id, st.Verb, now
	_ = s.conn.SetReadDeadline(time.Time{})
}

// endStatement marks the session idle, unless its transaction goes on. It reports false if the
// session must end.
func (s *session) endStatement() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = s.state.txStatus != txIdle
	s.progress.phase = phaseReading
	s.progress.observeTransaction(s.state.txStatus == txOpen)
	if end, limited := s.lastReadEnd(); limited {
		_ = s.conn.SetReadDeadline(end)
		return true
	}
	return (s.busy && !s.refusedByDrain) || !s.closing
}

// lastReadEnd returns until when the session reads a last statement, if it must end but its caller has
// something to send: what it has just prepared, or the end of a transaction. s.mu is held.
func (s *session) lastReadEnd() (end time.Time, limited bool) {
	d := s.server.drain.Load()
	if s.busy && d != nil && d.isAnswerTime(s.server.options.Clock.Now()) {
		return d.readsUntil, true
	}
	mustRollBack := s.refusedByDrain && s.state.txStatus == txFailed
	hasPrepared := !s.busy && s.preparing
	if s.closing && (hasPrepared || mustRollBack) {
		return time.Now().Add(idleReadTime), true
	}
	return time.Time{}, false
}

// closeWhenIdle ends the session as soon as it is not busy. An idle session stops reading, so that it
// ends without a statement that was read and not answered. A caller that has not logged in yet is
// rejected by admit.
func (s *session) closeWhenIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	switch {
	case !s.admitted:
		_ = s.conn.SetReadDeadline(time.Now().Add(loginDrainTime))
	case !s.busy:
		_ = s.conn.SetReadDeadline(time.Now().Add(idleReadTime))
	}
}
