package membership

import "expvar"

// Counters counts the membership events of this process: list_errors, probe_errors,
// probes_late, changes, and links_left_out (lost links that were not probed at once because too many
// were pending).
var Counters = new(expvar.Map).Init()

func count(name string) { Counters.Add(name, 1) }
