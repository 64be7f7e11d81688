package soak

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// The nodes of zone a that are stopped together, and the node whose group node-a-3 gains before.
	firstStopped  = "node-a-2"
	secondStopped = "node-a-3"
	neighbour     = "node-c-1"
	// leadTime is the time from the stop of neighbour to those of the two, give or take leadSpread.
	leadTime   = 6 * time.Second
	leadSpread = 500 * time.Millisecond
	// minStopGap and maxStopGap bound the time between the two stops, unless they are at the same moment.
	minStopGap = time.Second
	maxStopGap = 1400 * time.Millisecond
	// maxAside is how long before or after the first of the two stops other planned work begins.
	maxAside = 3 * time.Second
	// Percentages of the events in which something is done.
	shareNeighbour  = 60
	shareStoppedYet = 40
	shareSameMoment = 35
	shareReleases   = 60
	shareSignals    = 40
	shareConfigures = 50
	maxConfigures   = 3
)

// playRecord stops two nodes of one zone 1 to 1.4 s apart or at the same moment, often about 6 s after a
// node of another zone, beside other planned work: a primary is replaced, SIGHUP, a second SIGTERM,
// changes of the configuration.
func (r *run) playRecord(e Event) {
	random := randomOf(e)
	var wait sync.WaitGroup
	defer wait.Wait()
	at := func(delay time.Duration, do func()) {
		wait.Go(func() {
			time.Sleep(delay)
			do()
		})
	}
	around := func(moment time.Duration) time.Duration {
		return moment - maxAside + upTo(random, 2*maxAside)
	}
	moment := maxAside
	if isOneOf(random, shareNeighbour) {
		at(0, func() { r.roll(neighbour) })
		moment = leadTime - leadSpread + upTo(random, 2*leadSpread)
	}
	if isOneOf(random, shareStoppedYet) {
		at(0, func() { r.roll(secondStopped) })
		moment = max(moment, leadTime)
	}
	pair := []string{firstStopped, secondStopped}
	random.Shuffle(len(pair), func(i, j int) { pair[i], pair[j] = pair[j], pair[i] })
	at(moment, func() { r.roll(pair[0]) })
	second := moment
	if !isOneOf(random, shareSameMoment) {
		second += minStopGap + upTo(random, maxStopGap-minStopGap)
	}
	at(second, func() { r.roll(pair[1]) })
	if isOneOf(random, shareReleases) {
		d := r.databases[random.IntN(len(r.databases))]
		seed := random.Uint64()
		at(around(moment), func() { d.release(rand.New(rand.NewPCG(seed, 1))) })
	}
	for _, name := range pair {
		if n := r.nodeCalled(name); n != nil && isOneOf(random, shareSignals) {
			at(moment+upTo(random, maxAside), func() { r.hangUp(n) })
		}
		if isOneOf(random, shareSignals) {
			at(second+upTo(random, maxAside), func() { r.signalAgain(name) })
		}
	}
	if isOneOf(random, shareConfigures) {
		for range 1 + random.IntN(maxConfigures) {
			change := Event{Index: random.IntN(1 << 16), Variant: random.IntN(1 << 16)}
			at(around(moment), func() { r.changeRoutes(change) })
		}
	}
}

// roll stops a node and starts it again, unless it is down.
func (r *run) roll(name string) {
	n := r.nodeCalled(name)
	if n == nil || !n.claim() {
		return
	}
	defer n.release()
	r.terminate(n, string(KindRecord))
	r.start(n)
}

// signalAgain sends SIGTERM to a node that is being stopped.
func (r *run) signalAgain(name string) {
	n := r.nodeCalled(name)
	if n == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isTerminating {
		_ = r.super.Terminate(n.name)
	}
}
