package quota

import "expvar"

// Counters counts the work of this process's quota: reports, report_errors, waits, and
// own_share, the changes between lent and own share.
var Counters = new(expvar.Map)

func count(name string) { Counters.Add(name, 1) }
