package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	// darkTime is how long the primary is dark.
	darkTime = 7 * time.Second
	// cutTime is how long the two other backends are cut off from the store.
	cutTime = 5 * time.Second
	// darkAfter and cutAfter are when this begins, counted from a heartbeat of the others. The entries of
	// the others are then away for a short while after the old primary is back.
	darkAfter = heartbeat - 650*time.Millisecond
	cutAfter  = 2*heartbeat - 50*time.Millisecond
	// thaw is how long after a disrupted link a commit isn't counted.
	thaw = 300 * time.Millisecond
)

// playDarkPrimary: the primary goes dark and is replaced. Meanwhile the two other backends are cut off
// from the store for some seconds, but not from the nodes. When the old primary is back, no commit that
// it makes may be acknowledged.
func playDarkPrimary(d *deployment, trouble bool) (bool, string, error) {
	g := d.group
	d.writeConfig(4, "route orders", []any{route("orders", "primary")}, []any{tenant("maker", 400, "key1")})
	if err := d.startNodes(); err != nil {
		return false, "", err
	}
	old := g.all[0]
	back := make(chan time.Time, 1)
	if trouble {
		// The moments are counted from a heartbeat of the others.
		start := g.nextHeartbeat(g.all[1])
		time.AfterFunc(time.Until(start.Add(darkAfter)), func() {
			time.AfterFunc(darkTime, func() { back <- time.Now() })
			old.goDark(darkTime)
		})
		time.AfterFunc(time.Until(start.Add(cutAfter)), func() { g.cutOff(g.all[1:], cutTime) })
	}
	var returned time.Time
	acked := make(map[string]bool)
	wrong := 0
	// Each write has a session of its own.
	i := 0
	for end := time.Now().Add(darkTime + 7*time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		select {
		case returned = <-back:
		default:
		}
		i++
		c, refused, err := connect(d.rec, "maker", d.nodes[i%len(d.nodes)].front, "orders", "key1")
		if err != nil || refused != "" {
			continue
		}
		item := fmt.Sprintf("item%d", i)
		r := c.query(statementTimeout, "WRITE "+item+" data")
		c.close()
		if !r.succeeded() {
			continue
		}
		acked[item] = true
		if !returned.IsZero() && r.sent.After(returned.Add(thaw)) && strings.HasPrefix(r.complete, old.id+".") {
			wrong++
		}
	}
	time.Sleep(time.Second)
	leader := g.leader()
	missing := 0
	g.mu.Lock()
	for item := range acked {
		if _, ok := leader.value(item); !ok {
			missing++
		}
	}
	g.mu.Unlock()
	how := fmt.Sprintf("%d writes were committed at the old primary after the promotion and acknowledged; %d of %d acknowledged writes are missing in the log of %s, which leads", wrong, missing, len(acked), leader.id)
	return trouble && wrong > 0, how, nil
}

// nextHeartbeat waits for the next heartbeat of a backend and returns its time.
func (g *group) nextHeartbeat(b *server) time.Time {
	last := func() time.Time {
		g.mu.Lock()
		defer g.mu.Unlock()
		return b.lastReport
	}
	before := last()
	for last().Equal(before) {
		time.Sleep(time.Millisecond)
	}
	return last()
}
