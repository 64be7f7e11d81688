package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"
)

const (
	// deafTime is how long a replica receives nothing; syncCrashTime is how long the primary is away.
	deafTime      = 6500 * time.Millisecond
	syncCrashTime = 8 * time.Second
	// defaultCrashMillis is when the primary crashes, in milliseconds after the last heartbeat of the other
	// replica, which is cut off from the store before the next one, for cutTime. The node then promotes
	// at the time when the replica's entry has been away for so long that the node drops it from its
	// list. CRASH_AFTER_MS sets another moment.
	defaultCrashMillis = 6050
	// writesBefore is how long consumers write while the replica is deaf.
	writesBefore = 2 * time.Second
)

// playSyncLost: the service has sync_replicas 1. One replica receives nothing for a while, and the
// primary crashes meanwhile. The other replica, which has all acknowledged commits, is cut off from the
// store for some seconds, but not from the nodes. What was acknowledged must be in the log of the
// backend that is promoted.
func playSyncLost(d *deployment, trouble bool) (bool, string, error) {
	g := d.group
	g.sync = true
	d.writeConfig(4, "route orders, sync_replicas 1", []any{route("orders", "primary")}, []any{tenant("maker", 200, "key1")})
	if err := d.startNodes(); err != nil {
		return false, "", err
	}
	primary, inSync, deaf := g.all[0], g.all[1], g.all[2]
	if trouble {
		start := g.nextHeartbeat(inSync)
		time.AfterFunc(time.Until(start.Add(cutAfter)), func() { g.cutOff([]*server{inSync}, cutTime) })
		time.Sleep(time.Until(start.Add(heartbeat + crashAfter() - writesBefore)))
		g.mu.Lock()
		deaf.deaf = true
		g.mu.Unlock()
		d.rec.log("%s receives nothing", deaf.id)
		time.AfterFunc(deafTime, func() {
			g.mu.Lock()
			deaf.deaf = false
			g.mu.Unlock()
			d.rec.log("%s may receive again", deaf.id)
		})
	}
	written, err := d.writeItems()
	if err != nil {
		return false, "", err
	}
	if trouble {
		primary.crash()
		time.AfterFunc(syncCrashTime, func() {
			if err := primary.restart(); err != nil {
				d.rec.log("restart: %v", err)
			}
		})
	}
	time.Sleep(syncCrashTime + 4*time.Second)
	leader := g.leader()
	if leader == nil {
		return false, "no backend leads", nil
	}
	missing := 0
	g.mu.Lock()
	for item := range written {
		if _, ok := leader.value(item); !ok {
			missing++
		}
	}
	g.mu.Unlock()
	d.rec.log("%s leads; %d of %d acknowledged writes are missing in its log", leader.id, missing, len(written))
	return missing > 0, fmt.Sprintf("%d of %d acknowledged writes are missing in the log of %s, which leads", missing, len(written), leader.id), nil
}

// crashAfter returns when the primary crashes (see defaultCrashMillis).
func crashAfter() time.Duration {
	millis, err := strconv.Atoi(os.Getenv("CRASH_AFTER_MS"))
	if err != nil {
		millis = defaultCrashMillis
	}
	return time.Duration(millis) * time.Millisecond
}

// writeItems writes items for writesBefore and returns those whose writes were acknowledged.
func (d *deployment) writeItems() (map[string]bool, error) {
	written := make(map[string]bool)
	c, refused, err := connect(d.rec, "maker", d.nodes[0].front, "orders", "key1")
	if err != nil || refused != "" {
		return nil, errors.New("no session")
	}
	defer c.close()
	for end := time.Now().Add(writesBefore); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		item := fmt.Sprintf("item%d", len(written))
		if c.query(statementTimeout, "WRITE "+item+" data").succeeded() {
			written[item] = true
		}
	}
	if len(written) < 10 {
		return nil, errors.New("hardly a write was acknowledged")
	}
	return written, nil
}
