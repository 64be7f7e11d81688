package pgfront

import "expvar"

// Counters of the callers' port. All count events but Open, which is a level.
type Counters struct {
	Open              expvar.Int
	Accepted          expvar.Int
	Exchanges         expvar.Int
	Local             expvar.Int
	Refused           expvar.Map
	BadProtocol       expvar.Int
	TooLarge          expvar.Int
	HandshakeFailed   expvar.Int
	TooMany           expvar.Int
	Crossed           expvar.Int
	Cancelled         expvar.Int
	CancelUnknown     expvar.Int
	Swept             expvar.Int
	IdleInTransaction expvar.Int
}

// Refusals counts refusals by code.
func (c *Counters) Refusals() *expvar.Map { return &c.Refused }

// Vars returns the counters for publication.
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
	return all
}
