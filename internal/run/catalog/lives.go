package catalog

import (
	"sync"
	"time"

	"crocusyoke/internal/owner/coldstart"
)

// lives holds what targets' entries tell of their processes. It has a mutex of its own, since requests ask for it.
type lives struct {
	mu       sync.Mutex
	byTarget map[string]coldstart.Life
}

// observe records an entry that this node learned of at now. An entry that names no target to use tells nothing.
func (l *lives) observe(now time.Time, key string, entry decodedTarget) {
	if !entry.usable {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byTarget == nil {
		l.byTarget = make(map[string]coldstart.Life)
	}
	t := &entry.target
	l.byTarget[key] = l.byTarget[key].Observe(now, coldstart.Entry{
		StartedAt: t.StartedAt, Sequence: t.Sequence, Left: t.ColdLeft, Stated: t.ColdLeftKnown,
	})
}

// retain forgets the targets that have no entry any more.
func (l *lives) retain(entries map[string]decodedTarget) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key := range l.byTarget {
		if _, ok := entries[key]; !ok {
			delete(l.byTarget, key)
		}
	}
}

// TargetLife returns what the entries of the target called name tell of its process.
func (r *Runner) TargetLife(name string) coldstart.Life {
	r.lives.mu.Lock()
	defer r.lives.mu.Unlock()
	return r.lives.byTarget[name]
}
