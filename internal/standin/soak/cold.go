package soak

import (
	"sync"
	"time"

	"crocusyoke/internal/standin/hosted"
)

const (
	// coldStart is how long a target is cold after its start, and coldRate how many requests a second it then takes.
	coldStart = 8 * time.Second
	coldRate  = 6
	// coldOver and coldSlack bound what a cold target may get in any second: coldRate x coldOver + coldSlack.
	coldOver  = 1.5
	coldSlack = 5
	coldBound = coldRate*coldOver + coldSlack
	// minColdOutage is how long a target that is down stays down at least where targets are cold after their start:
	// longer than it takes until its last entry is old.
	minColdOutage = 1500 * time.Millisecond
	// maxReplicaOutage is how much longer than that a replica that is started again may be down.
	maxReplicaOutage = time.Second
)

// coldTargets judges what targets get while they are cold, by when it arrives. It is safe for concurrent use.
type coldTargets struct {
	judge *judge

	mu sync.Mutex
	// recent holds, for each target, the requests that its process got in the last second, oldest first.
	recent map[string][]hosted.Statement
}

func newColdTargets(j *judge) *coldTargets {
	return &coldTargets{judge: j, recent: make(map[string][]hosted.Statement)}
}

// observe judges a statement that a target read: with it, the target may not have got more requests within a second
// than a cold one takes.
func (c *coldTargets) observe(st hosted.Statement) {
	if !st.IsRequest() || st.ReceivedAt.Sub(st.StartedAt) >= coldStart {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	recent := append(c.recent[st.Target], st)
	for !recent[0].StartedAt.Equal(st.StartedAt) || st.ReceivedAt.Sub(recent[0].ReceivedAt) >= time.Second {
		recent = recent[1:]
	}
	c.recent[st.Target] = recent
	c.judge.countMost("most requests in a second to a cold target", len(recent))
	c.judge.check(ruleCold, len(recent) <= coldBound, "%s got more than %v requests in a second, %s after its start; the last was %s %s",
		st.Target, coldBound, st.ReceivedAt.Sub(st.StartedAt).Round(time.Second), st.ID, shorten(st.Text))
}

// minOutage returns how long a target that crashes is down at least.
func (r *run) minOutage() time.Duration {
	if r.options.hasPlaces() {
		return minColdOutage
	}
	return time.Second
}

// restartReplica ends a replica of another group than that of e, and starts it again, where targets are cold after
// their start.
func (r *run) restartReplica(e Event) {
	if !r.options.hasPlaces() {
		return
	}
	d := r.databases[(e.Variant+1)%len(r.databases)]
	if !d.changing.TryLock() {
		return
	}
	defer d.changing.Unlock()
	for _, id := range d.ids() {
		if t := d.group.Target(id); t.Runs() && !t.Leads() {
			t.Kill()
			time.Sleep(minColdOutage + upTo(randomOf(e), maxReplicaOutage))
			t.Restart()
			return
		}
	}
}
