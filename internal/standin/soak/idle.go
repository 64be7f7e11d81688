package soak

import (
	"math/rand/v2"
	"time"
)

const (
	// maxIdleClosing is the longest time between two moments at which a target closes idle connections, and
	// shareIdleClosed the percentage of them that it closes.
	maxIdleClosing  = 120 * time.Millisecond
	shareIdleClosed = 15
	// idleSeed is added to the seed for the choices of closeIdle.
	idleSeed = 2 << 20
)

// closeIdle makes targets close some of the connections that nobody uses, until the run ends.
func (r *run) closeIdle() {
	random := rand.New(rand.NewPCG(r.options.Seed+idleSeed, 1))
	for !r.hasEnded() {
		d := r.databases[random.IntN(len(r.databases))]
		ids := d.ids()
		t := d.group.Target(ids[random.IntN(len(ids))])
		for range t.CloseIdle(func() bool { return isOneOf(random, shareIdleClosed) }) {
			r.judge.count("idle connections closed by targets")
		}
		time.Sleep(upTo(random, maxIdleClosing))
	}
}
