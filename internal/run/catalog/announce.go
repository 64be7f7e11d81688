package catalog

import (
	"context"
	"time"

	"crocusyoke/internal/peer"
)

const (
	// announceInterval is the shortest time between two announcements of one node. The last of several
	// changes that follow each other more quickly is always announced.
	announceInterval = 200 * time.Millisecond
	// announceTimeout bounds the announcement to one peer.
	announceTimeout = 500 * time.Millisecond
)

// announceChange lets announceVersions tell this node's contacts of the configuration or the evacuations
// that it has just taken. The caller holds r.mu.
func (r *Runner) announceChange() {
	r.newsCount++
	if r.announcing || r.o.Contacts == nil || r.running.Err() != nil {
		return
	}
	r.announcing = true
	r.wait.Go(r.announceVersions)
}

// announceVersions announces what this node knows until it has announced the last change.
func (r *Runner) announceVersions() {
	for {
		news := r.newsToAnnounce()
		k := r.Knowledge()
		for _, address := range r.o.Contacts() {
			r.wait.Go(func() { r.announce(address, k) })
		}
		if r.o.Clock.Sleep(r.running, announceInterval) != nil || r.endAnnouncing(news) {
			return
		}
	}
}

// newsToAnnounce returns the number of the last change that is to be announced.
func (r *Runner) newsToAnnounce() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newsCount
}

// endAnnouncing ends the announcing if announced is the number of the last change, and reports whether it
// has.
func (r *Runner) endAnnouncing(announced uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.announcing = r.newsCount > announced
	return !r.announcing
}

func (r *Runner) announce(address string, k Knowledge) {
	ctx, cancel := context.WithTimeout(r.running, announceTimeout)
	defer cancel()
	r.Counters.Add("announcements", 1)
	var reply struct{}
	if err := r.o.Peers.Call(ctx, address, peer.KindNews, k, &reply); err != nil {
		r.Counters.Add("announcements_failed", 1)
	}
}

// ObserveAnnouncement is called when the node at address has told k without having been asked. It is as
// ObservePeer, but how old k is is not known, so the store's confirmation in it counts for nothing.
func (r *Runner) ObserveAnnouncement(ctx context.Context, address string, k Knowledge) {
	r.ObserveEra(k.Changed.Era, address)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteHeard(address, k)
	r.considerOffer(ctx, address, k)
}
