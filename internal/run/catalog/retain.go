package catalog

import (
	"maps"
	"strings"
	"time"

	"crocusyoke/internal/platform"
)

// lostNodeRetention is how long a node stays known whose row a restore of the store has lost. The node
// has to learn of the restore, possibly from peers, before it writes its row again.
const lostNodeRetention = 10 * time.Second

// retainNodes keeps the rows of nodes that a restore has lost. before holds the rows from before the
// restore. This node's own row is not kept, so that it is found missing. The caller holds r.mu.
func (r *Runner) retainNodes(before map[string]platform.Row) {
	for key, row := range before {
		if !strings.HasSuffix(key, "/"+r.o.Self) {
			r.retainedNodes[key] = row
		}
	}
	r.nodesRetainedUntil = r.o.Clock.Now().Add(lostNodeRetention)
	r.wait.Go(r.dropRetainedNodes)
}

// knownNodes returns the rows of all nodes, those kept after a restore included. The caller holds
// r.mu.
func (r *Runner) knownNodes() []platform.Row {
	rows := r.nodes.snapshot().Rows
	maps.DeleteFunc(r.retainedNodes, func(key string, _ platform.Row) bool {
		_, listed := r.nodes.rows[key]
		return listed
	})
	for _, row := range r.retainedNodes {
		rows = append(rows, row)
	}
	return rows
}

// dropRetainedNodes waits for lostNodeRetention, then drops the rows of nodes that have not been
// written again.
func (r *Runner) dropRetainedNodes() {
	if r.o.Clock.Sleep(r.running, lostNodeRetention) != nil {
		return
	}
	r.mu.Lock()
	now := r.o.Clock.Now()
	if len(r.retainedNodes) == 0 || now.Before(r.nodesRetainedUntil) {
		r.mu.Unlock()
		return
	}
	clear(r.retainedNodes)
	r.mu.Unlock()
	r.notifyNodes(now)
}
