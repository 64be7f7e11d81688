package soak

import (
	"net/http"
	"sync"
	"time"

	"crocusyoke/internal/standin/hosted"
)

const (
	// copyInterval is the interval between two copies of the store, of which keptCopies are kept.
	copyInterval = time.Second
	keptCopies   = 9
	// maxRestoreOutage is how long the store is away at most before it is restored.
	maxRestoreOutage = time.Second
)

// copies holds the newest copies of the store, oldest first.
type copies struct {
	mu     sync.Mutex
	copies []hosted.Copy
}

// keepCopies copies the store at intervals until the run ends.
func (r *run) keepCopies() {
	for !r.hasEnded() {
		copied := r.store.Copy()
		r.copies.mu.Lock()
		r.copies.copies = append(r.copies.copies, copied)
		if len(r.copies.copies) > keptCopies {
			r.copies.copies = r.copies.copies[1:]
		}
		r.copies.mu.Unlock()
		time.Sleep(copyInterval)
	}
}

// restore takes the store away and brings it back from a copy some seconds old. What the operator and the
// targets wrote since is written again.
func (r *run) restore(e Event) {
	r.copies.mu.Lock()
	defer r.copies.mu.Unlock()
	if len(r.copies.copies) == 0 {
		return
	}
	copied := r.copies.copies[e.Variant%len(r.copies.copies)]
	r.store.SetFault(func(*http.Request) hosted.Fault { return hosted.FaultBusy })
	defer r.store.SetFault(nil)
	time.Sleep(upTo(randomOf(e), maxRestoreOutage))
	r.writing.Lock()
	defer r.writing.Unlock()
	for _, d := range r.databases {
		d.mu.Lock()
		defer d.mu.Unlock()
	}
	r.store.Restore(copied)
	r.store.Put("op", "config", r.document)
	for _, d := range r.databases {
		d.rewriteEntries()
	}
	// Copies that were taken after this one are of a history that is gone.
	r.copies.copies = []hosted.Copy{r.store.Copy()}
	r.judge.count("store restored from a copy")
}

// rewriteEntries writes the entries of all targets again and removes those of targets that were replaced. The
// caller holds d.mu.
func (d *database) rewriteEntries() {
	for _, id := range d.removed {
		d.store.Delete("servers", id)
	}
	for id, zone := range d.zones {
		d.store.Put("servers", id, d.group.Entry(id, zone, d.states[id]))
	}
}
