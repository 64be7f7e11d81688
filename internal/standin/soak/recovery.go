package soak

import (
	"sync"
	"time"

	"crocusyoke/internal/standin/hosted"
)

// recoveryTime is how long after the last event a node may take until it serves every group again.
const recoveryTime = 12 * time.Second

// judgeRecovery judges that a write succeeds through each node in each group within recoveryTime after the
// last event.
func (r *run) judgeRecovery(lastEvent time.Time) {
	deadline := lastEvent.Add(recoveryTime)
	var wait sync.WaitGroup
	for _, n := range r.members() {
		for _, d := range r.databases {
			to := route{name: d.group.Name + "-" + kindOrders, kind: kindOrders, database: d}
			wait.Go(func() {
				served := hosted.WaitFor(time.Until(deadline), func() bool { return r.isServed(n, to) })
				r.judge.check(ruleRecovery, served, "%s did not serve %s in the %s after the last event", n.name, to.name, recoveryTime)
			})
		}
	}
	wait.Wait()
}

// isServed reports whether a write through a node succeeds.
func (r *run) isServed(n *node, to route) bool {
	c, refused, err := connect(n.callers, to, customers[0])
	if err != nil || refused != "" {
		return false
	}
	defer c.bye()
	item := r.newItem()
	a := r.send(c, to, request{text: "WRITE " + item + " data", item: item})
	if !a.acknowledged() {
		return false
	}
	r.noteWritten(to, a, item)
	return true
}
