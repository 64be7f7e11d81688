package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	// stallTime is how long the collector of one node's log has been stopped when the operator
	// withdraws a key. The pipe to the collector has its usual size.
	stallTime = 20 * time.Second
	// afterBound is how long past the bound of the desired state the withdrawn key is tried.
	afterBound = 500 * time.Millisecond
)

// playStalledLog: the process that collects the log of one node stops reading it. The node must go
// on: a key that the operator withdraws later must not be served by it, and a stop must end in time.
func playStalledLog(d *deployment, trouble bool) (bool, string, error) {
	routes := []any{route("orders", "primary"), route("rates", "bounded_staleness")}
	d.writeConfig(4, "keys key1 and key2 of maker, key3 of shop", routes,
		[]any{tenant("maker", 100, "key1", "key2"), tenant("shop", 30, "key3")})
	if err := d.startNodes(); err != nil {
		return false, "", err
	}
	stalled := d.nodes[0]
	usual := startLoad(d, "orders", "key1", 10)
	// This tenant asks for more than its limit, so that a part of its requests is refused.
	beyond := startLoad(d, "rates", "key3", 30)
	if trouble {
		stalled.output.stall()
		d.rec.log("the log of %s is no longer read", stalled.name)
	}
	time.Sleep(stallTime)
	d.writeConfig(9, "key2 of maker is withdrawn", routes, []any{tenant("maker", 100, "key1"), tenant("shop", 30, "key3")})
	time.Sleep(configApply + afterBound)
	var wrong []string
	for _, n := range d.nodes {
		if d.isServed(n, "orders", "key2") {
			wrong = append(wrong, fmt.Sprintf("%s still serves a withdrawn key %s after the ack", n.name, configApply+afterBound))
		}
	}
	time.Sleep(8 * time.Second)
	if d.isServed(stalled, "orders", "key2") {
		wrong = append(wrong, fmt.Sprintf("%s does so 12 s after the ack", stalled.name))
	}
	d.rec.log("usual load: %s", usual.end())
	d.rec.log("load beyond its limit: %s", beyond.end())
	d.rec.log("SIGTERM to %s", stalled.name)
	process, _ := stalled.current()
	_ = process.Signal(syscall.SIGTERM)
	if !waitFor(grace+time.Second, func() bool { return !stalled.isRunning() }) {
		d.rec.log("%s still runs %s after SIGTERM", stalled.name, grace+time.Second)
	}
	if len(wrong) > 0 {
		return true, fmt.Sprint(wrong), nil
	}
	return false, "the withdrawn key was refused everywhere", nil
}

// isServed reports whether a read in a new session at n succeeds.
func (d *deployment) isServed(n *node, database, key string) bool {
	c, refused, err := connect(d.rec, "maker at "+n.name, n.front, database, key)
	if err != nil || refused != "" {
		d.rec.log("session with %s at %s: %s %v", key, n.name, refused, err)
		return false
	}
	defer c.close()
	return c.query(statementTimeout, "READ 1").succeeded()
}
