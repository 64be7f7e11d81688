package main

import (
	"encoding/json"
	"time"
)

// writeEntriesOf is the other writer: delay after each heartbeat of the backends it writes an entry
// under the backend's id whose state has another type, until stop is closed.
func (g *group) writeEntriesOf(backends []*server, delay time.Duration, stop chan struct{}) {
	seen := make(map[string]time.Time)
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		for _, b := range backends {
			g.mu.Lock()
			latest := b.lastReport
			g.mu.Unlock()
			if !latest.After(seen[b.id]) || time.Since(latest) < delay {
				continue
			}
			seen[b.id] = latest
			value, _ := json.Marshal(map[string]any{
				"service": g.name, "addr": b.listener.Addr().String(), "zone": b.zone, "slots": slots, "state": 1, "seq": 1,
			})
			g.store.put("servers", b.id, value)
		}
	}
}
