package pgfront

import "expvar"

// Counters are the metrics of the callers' port. Open is a gauge, all others count events
// since the start. A field has the name of its metric.
type Counters struct {
	// Open is the number of sessions.
	Open expvar.Int
	// Accepted counts connections, before any check.
	Accepted  expvar.Int
	Exchanges expvar.Int
	// Local counts exchanges that were answered without a target.
	Local expvar.Int
	// Refused counts refusals by the name of their code.
	Refused         expvar.Map
	BadProtocol     expvar.Int
	TooLarge        expvar.Int
	HandshakeFailed expvar.Int
	// TooMany counts connections refused or closed at the connection limit.
	TooMany expvar.Int
	// Crossed counts answers with the ID of another request, which are dropped.
	Crossed expvar.Int
	// Cancelled counts cancel requests for a session of this node, CancelUnknown all others.
	Cancelled     expvar.Int
	CancelUnknown expvar.Int
	// Swept counts connections that CloseWithdrawn found to have a withdrawn key, once per call.
	Swept expvar.Int
	// IdleInTransaction counts connections closed at the idle transaction timeout.
	IdleInTransaction expvar.Int
	// Stalled counts connections closed because an exchange did not arrive in time.
	Stalled expvar.Int
}

// Refusals returns the refusals, counted by the name of their code.
func (c *Counters) Refusals() *expvar.Map { return &c.Refused }

// Vars returns all counters under their metric names.
func (c *Counters) Vars() *expvar.Map {
	all := new(expvar.Map)
	all.Set("open", &c.Open)
	all.Set("accepted", &c.Accepted)
	all.Set("exchanges", &c.Exchanges)
	all.Set("local", &c.Local)
	all.Set("refused", &c.Refused)
	all.Set("bad_protocol", &c.BadProtocol)
	all.Set("too_large", &c.TooLarge)
	all.Set("handshake_failed", &c.HandshakeFailed)
	all.Set("too_many", &c.TooMany)
	all.Set("crossed", &c.Crossed)
	all.Set("cancelled", &c.Cancelled)
	all.Set("cancel_unknown", &c.CancelUnknown)
	all.Set("swept", &c.Swept)
	all.Set("idle_in_transaction", &c.IdleInTransaction)
	all.Set("stalled", &c.Stalled)
	return all
}

// Vars returns all counters and levels under their metric names.
func (s *Server) Vars() *expvar.Map {
	all := s.Counters.Vars()
	all.Set("statement_bytes", expvar.Func(func() any { return s.statementBudget.Held() }))
	all.Set("read_bytes", expvar.Func(func() any { return s.reads.Held() }))
	all.Set("answer_bytes", expvar.Func(func() any { return s.answers.Held() }))
	all.Set("gate", s.gate.Vars())
	return all
}
