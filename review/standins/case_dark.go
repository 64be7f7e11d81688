package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

const (
	// darkTime is how long the primary is dark.
	darkTime = 7 * time.Second
	// darkAgentDelay is how long after the heartbeats of the two other backends another writer writes
	// their entries; it begins once one of them leads.
	darkAgentDelay = 150 * time.Millisecond
	// thaw is how long after a disrupted link a commit isn't counted.
	thaw = 300 * time.Millisecond
)

// playDarkPrimary: the primary goes dark and is replaced. When it is back, entries of the two other
// backends can't be used for a while. No commit at the old primary may be acknowledged then.
func playDarkPrimary(d *deployment, trouble bool) (bool, string, error) {
	g := d.group
	d.writeConfig(4, "route orders", []any{route("orders", "primary")}, []any{tenant("maker", 400, "key1")})
	if err := d.startNodes(); err != nil {
		return false, "", err
	}
	old := g.all[0]
	stop := make(chan struct{})
	defer close(stop)
	back := make(chan time.Time, 1)
	if trouble {
		go func() {
			time.AfterFunc(darkTime, func() { back <- time.Now() })
			old.goDark(darkTime)
		}()
		if !waitFor(darkTime-time.Second, func() bool { return g.leader() != old }) {
			return false, "", errors.New("no other backend was promoted")
		}
		go g.writeEntriesOf(g.all[1:], darkAgentDelay, stop)
	}
	var returned time.Time
	acked := make(map[string]bool)
	wrong := 0
	// Each write has a session of its own.
	i := 0
	for end := time.Now().Add(darkTime + 5*time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
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
