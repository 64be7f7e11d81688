package quicpeer

import "expvar"

// counters holds the package's counters, published through expvar as "peer".
var counters = expvar.NewMap("peer")

// Names of the counters.
const (
	counterConnectionsAccepted = "connections_accepted"
	counterConnectionsDialed   = "connections_dialed"
	counterConnectionsLost     = "connections_lost"
	counterForbidden           = "forbidden"
	counterCrowded             = "crowded"
	counterMalformed           = "malformed"
	counterBrokenStreams       = "broken_streams"
	counterCrossedAnswers      = "crossed_answers"
	counterCalls               = "calls"
	counterCallBytes           = "call_bytes"
)
