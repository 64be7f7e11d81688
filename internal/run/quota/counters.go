package quota

import "expvar"

// Counters counts the quota events of this process: reports, report_errors, outdated_reports (messages that came after a later one), transfers and transfer_errors
// (requests for tokens of a coordinator in another failure domain), waits, returned
// (tokens of requests that did not run), and own_share (switches between lending a share
// and using it).
var Counters = new(expvar.Map)

func increment(name string) { Counters.Add(name, 1) }
