package soak

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// readinessInterval is the interval at which the balancer asks nodes whether they are ready. A node
	// that fails missesUntilOut times in a row is out of rotation.
	readinessInterval = time.Second
	missesUntilOut    = 2
)

// balancer chooses nodes for new connections as the platform does: the nodes of the caller's zone that
// are in rotation; all of that zone if fewer than half of them are in rotation; those of the other zones
// if none is.
type balancer struct{ nodes []*node }

// pick returns a node for a new connection of a caller in a zone.
func (b *balancer) pick(zone string, random *rand.Rand) *node {
	choice := b.choice(zone)
	return choice[random.IntN(len(choice))]
}

// choice returns the nodes that get the new connections of a zone.
func (b *balancer) choice(zone string) []*node {
	all, in := b.zone(zone)
	if len(in) == 0 {
		for _, other := range zones {
			if otherAll, otherIn := b.zone(other); other != zone {
				in = append(in, usable(otherAll, otherIn)...)
			}
		}
		if len(in) == 0 {
			return slices.DeleteFunc(slices.Clone(b.nodes), func(n *node) bool { return !n.isMember() })
		}
		return in
	}
	return usable(all, in)
}

// usable returns the nodes of a zone that are used if those in are in rotation; none if none is.
func usable(all, in []*node) []*node {
	if len(in) > 0 && 2*len(in) < len(all) {
		return all
	}
	return in
}

// zone returns the nodes of a zone, and those of them that are in rotation.
func (b *balancer) zone(zone string) (all, in []*node) {
	for _, n := range b.nodes {
		if n.zone != zone || !n.isMember() {
			continue
		}
		all = append(all, n)
		if n.inRotation() {
			in = append(in, n)
		}
	}
	return slices.Clip(all), slices.Clip(in)
}

// ask asks every node once whether it is ready.
func (b *balancer) ask() {
	var wait sync.WaitGroup
	for _, n := range b.nodes {
		wait.Go(func() { n.noteReadiness(n.isReady()) })
	}
	wait.Wait()
}
