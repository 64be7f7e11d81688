package main

import (
	"encoding/json"
	"fmt"
	"time"
)

const (
	// agentDelay is how long after the replicas' heartbeats the other writer writes their entries.
	agentDelay = 250 * time.Millisecond
	// crashTime is how long a crashed primary is away, crashPause the pause before the next one crashes.
	crashTime  = 3 * time.Second
	crashPause = 2500 * time.Millisecond
	// entriesTime is the length of the case.
	entriesTime = 85 * time.Second
	// restartDelay is the platform's delay before it starts a process again that has ended.
	restartDelay = 500 * time.Millisecond
)

// playEntries: another writer writes entries that name no backend to use, and primaries crash. The
// processes of the system must not end by themselves.
func playEntries(d *deployment, trouble bool) (bool, string, error) {
	var routes []any
	for _, g := range d.groups {
		routes = append(routes, routeTo(g.name, "db-"+g.name, "primary"))
	}
	d.writeConfig(4, "a route to each service", routes, []any{tenant("maker", 200, "key1")})
	if err := d.startNodes(); err != nil {
		return false, "", err
	}
	ends := make(map[string]int)
	stop := make(chan struct{})
	for _, n := range d.nodes {
		go d.keepRunning(n, stop, ends)
	}
	var loads []*load
	for _, g := range d.groups {
		loads = append(loads, startLoad(d, "db-"+g.name, "key1", 5))
		if trouble {
			go g.writeOtherEntries(stop)
		}
	}
	if trouble {
		go d.crashPrimaries(stop)
	}
	time.Sleep(entriesTime)
	close(stop)
	for i, l := range loads {
		d.rec.log("load of %s: %s", d.groups[i].name, l.end())
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	machines := 0
	for _, n := range ends {
		if n >= 3 {
			machines++
		}
	}
	return machines >= 2, fmt.Sprintf("processes that ended by themselves: %v", ends), nil
}

// writeOtherEntries writes, shortly after each heartbeat of the replicas, entries under their ids
// whose state has another type.
func (g *group) writeOtherEntries(stop chan struct{}) {
	var seen time.Time
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		replicas, latest := g.replicas()
		if !latest.After(seen) || time.Since(latest) < agentDelay {
			continue
		}
		seen = latest
		for _, b := range replicas {
			value, _ := json.Marshal(map[string]any{
				"service": g.name, "addr": b.listener.Addr().String(), "zone": b.zone, "slots": slots, "state": 1, "seq": 1,
			})
			g.store.put("servers", b.id, value)
		}
	}
}

// replicas returns the replicas that run, and the time of the latest heartbeat among them.
func (g *group) replicas() (replicas []*server, latest time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, b := range g.all {
		if b.primary || b.down {
			continue
		}
		replicas = append(replicas, b)
		if b.lastReport.After(latest) {
			latest = b.lastReport
		}
	}
	return replicas, latest
}

// crashPrimaries crashes the primaries of the groups, one at a time.
func (d *deployment) crashPrimaries(stop chan struct{}) {
	for i := 0; ; i++ {
		time.Sleep(crashPause)
		select {
		case <-stop:
			return
		default:
		}
		p := d.groups[i%len(d.groups)].leader()
		if p == nil {
			continue
		}
		p.crash()
		time.Sleep(crashTime)
		if err := p.restart(); err != nil {
			d.rec.log("restart of %s: %v", p.id, err)
			return
		}
	}
}

// keepRunning starts the process of n again whenever it ends, as the platform does.
func (d *deployment) keepRunning(n *node, stop chan struct{}, ends map[string]int) {
	for {
		_, done := n.current()
		select {
		case <-stop:
			return
		case <-done:
		}
		d.mu.Lock()
		ends[n.name]++
		d.mu.Unlock()
		time.Sleep(restartDelay)
		if err := d.startNode(n, false); err != nil {
			d.rec.log("start of %s: %v", n.name, err)
			return
		}
	}
}
