package membership

import "expvar"

// Counters are the process's counters of membership: list_errors, probe_errors, changes,
// links_left_out (lost links that were not looked after at once).
var Counters = new(expvar.Map).Init()

func count(name string) { Counters.Add(name, 1) }
