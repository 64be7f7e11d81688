package front

import (
	"time"

	"crocusyoke/internal/request"
	"crocusyoke/internal/requestlog"
)

// slowThreshold is the response time from which an answer is logged as slow.
const slowThreshold = 500 * time.Millisecond

// logServed logs a statement that a target answered. The log samples these entries; slow
// answers have an outcome of their own, so that the sampling of the others does not drop them.
func (s *session) logServed(st *Statement, req *request.Request, resp *request.Response, began time.Time) {
	now := s.server.options.Clock.Now()
	took := now.Sub(began)
	outcome := requestlog.OutcomeOK
	if took >= slowThreshold {
		outcome = requestlog.OutcomeSlow
	}
	if !s.server.options.Log.Allow(outcome, now) {
		return
	}
	s.server.options.Log.Write(requestlog.Entry{ID: loggedID(st.ID), Session: s.id, Outcome: outcome, Fields: []any{
		"customer", s.customer, "service", s.service, "group", req.Group, "kind", req.Kind,
		"target", resp.Target, "replica", resp.Replica, "position", resp.Position, "took", took,
		"at_owner", resp.Times.AtOwner, "at_target", resp.Times.AtTarget, "exchanges", resp.Times.Exchanges,
		"config", req.ConfigVersion,
	}})
}

// logRefused logs a statement that was refused.
func (s *session) logRefused(st *Statement, refusal *request.Refusal) {
	outcome := refusal.Code.Name
	if !s.server.options.Log.Allow(outcome, s.server.options.Clock.Now()) {
		return
	}
	var config uint64
	if c := s.server.options.Config.Current(); c != nil {
		config = c.Version
	}
	s.server.options.Log.Write(requestlog.Entry{ID: loggedID(st.ID), Session: s.id, Outcome: outcome, Fields: []any{
		"fate", refusal.Code.Fate, "customer", s.customer, "service", s.service,
		"step", refusal.Step, "peer", refusal.Peer, "detail", refusal.Detail, "cause", loggedCause(refusal.Cause),
		"retry_after", refusal.RetryAfter, "config", config,
	}})
}

// outcomePanic is the log outcome of input of a caller that made the codec panic.
const outcomePanic = "panic"

// logPanic logs input that made the codec panic. The session ends, the process does not.
func (s *session) logPanic(err error) {
	if s.server.options.Log.Allow(outcomePanic, s.server.options.Clock.Now()) {
		s.server.options.Log.Write(requestlog.Entry{Session: s.id, Outcome: outcomePanic, Fields: []any{"step", step, "cause", loggedCause(err)}})
	}
}

// outcomeAcceptFailed is the log outcome of a connection that could not be accepted.
const outcomeAcceptFailed = "accept_failed"

// recordAcceptError counts and logs a connection that could not be accepted.
func (s *Server) recordAcceptError(err error) {
	s.Counts.Add("accepts_failed", 1)
	if s.options.Log.Allow(outcomeAcceptFailed, s.options.Clock.Now()) {
		s.options.Log.Write(requestlog.Entry{Outcome: outcomeAcceptFailed, Fields: []any{"step", step, "cause", loggedCause(err)}})
	}
}
