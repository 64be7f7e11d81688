package front

import (
	"time"

	"crocusyoke/internal/request"
	"crocusyoke/internal/requestlog"
)

// slowAfter is the time after which an answer counts as slow in the log.
const slowAfter = 500 * time.Millisecond

// logServed notes a statement that a target answered; few of them are written, but for those
// that took long.
func (s *session) logServed(st *Statement, req *request.Request, resp *request.Response, began time.Time) {
	now := s.server.options.Clock.Now()
	took := now.Sub(began)
	outcome := requestlog.OutcomeOK
	if took >= slowAfter {
		outcome = requestlog.OutcomeSlow
	}
	if !s.server.options.Log.Allow(outcome, now) {
		return
	}
	s.server.options.Log.Write(requestlog.Entry{ID: st.ID, Session: s.id, Outcome: outcome, Fields: []any{
		"customer", s.customer, "service", s.service, "group", req.Group, "kind", req.Kind,
		"target", resp.Target, "replica", resp.Replica, "position", resp.Position, "took", took,
		"at_owner", resp.Times.AtOwner, "at_target", resp.Times.AtTarget, "exchanges", resp.Times.Exchanges,
		"config", req.ConfigVersion,
	}})
}

// logRefused notes a statement that got no answer from a target.
func (s *session) logRefused(st *Statement, refusal *request.Refusal) {
	outcome := refusal.Code.Name
	if !s.server.options.Log.Allow(outcome, s.server.options.Clock.Now()) {
		return
	}
	var config uint64
	if c := s.server.options.Config.Current(); c != nil {
		config = c.Version
	}
	s.server.options.Log.Write(requestlog.Entry{ID: st.ID, Session: s.id, Outcome: outcome, Fields: []any{
		"fate", refusal.Code.Fate, "customer", s.customer, "service", s.service,
		"step", refusal.Step, "peer", refusal.Peer, "detail", refusal.Detail, "cause", refusal.Cause,
		"retry_after", refusal.RetryAfter, "config", config,
	}})
}

// outcomeAcceptFailed is the outcome of a connection that could not be taken.
const outcomeAcceptFailed = "accept_failed"

// acceptFailed notes a connection that could not be taken.
func (s *Server) acceptFailed(err error) {
	s.Counts.Add("accepts_failed", 1)
	if s.options.Log.Allow(outcomeAcceptFailed, s.options.Clock.Now()) {
		s.options.Log.Write(requestlog.Entry{Outcome: outcomeAcceptFailed, Fields: []any{"step", step, "cause", err}})
	}
}
