package catalog

import (
	"maps"
	"strings"
	"time"

	"crocusyoke/internal/catalog"
	"crocusyoke/internal/platform"
)

const (
	// removedTargetRetention is how long a target is kept in the configuration after its row
	// was removed, or was replaced by an older one in a restore of the store. A row is also removed
	// while its writer cannot reach the store, and is written again within this time.
	removedTargetRetention = 3 * time.Second
	// lostNodeRetention is how long a node stays known whose row a restore of the store has lost.
	// The node has to learn of the restore, possibly from peers, before it writes its row again.
	lostNodeRetention = 10 * time.Second
)

// retainedTarget is a target that is kept in the configuration.
type retainedTarget struct {
	target catalog.Target
	// rowVersion is the version of the older row in whose place the target is kept; 0 if it has
	// no row.
	rowVersion uint64
	since      time.Time
}

// decodedTargets returns the targets whose rows can be decoded. A retained target stands in the
// place of its older row. The caller holds r.mu.
func (r *Runner) decodedTargets() map[string]catalog.Target {
	out := make(map[string]catalog.Target, len(r.targets.rows))
	for key, row := range r.targets.rows {
		if kept, ok := r.retained[key]; ok && kept.rowVersion == row.Version {
			out[key] = kept.target
			continue
		}
		if t, ok := r.decodeTarget(key, row); ok {
			out[key] = t
		}
	}
	return out
}

// retainTargets keeps the targets whose rows were removed, or were replaced by older ones in a
// restore, for removedTargetRetention unless their rows are written again. before is the result of
// decodedTargets before the change. The caller holds r.mu.
func (r *Runner) retainTargets(before map[string]catalog.Target, restored bool) {
	now := r.o.Clock.Now()
	if restored {
		r.prolongRetained(now)
	}
	for key, t := range before {
		row, listed := r.targets.rows[key]
		if !listed || restored && r.isOlderRow(key, row, t) {
			r.retained[key] = retainedTarget{target: t, rowVersion: row.Version, since: now}
		}
	}
	for key, kept := range r.retained {
		if r.targets.rows[key].Version != kept.rowVersion {
			delete(r.retained, key)
		}
	}
	if len(r.retained) > 0 {
		r.wait.Go(r.dropRetained)
	}
}

// prolongRetained restarts the retention of all targets: a restore may have lost their new rows. The
// caller holds r.mu.
func (r *Runner) prolongRetained(now time.Time) {
	for key, kept := range r.retained {
		kept.since = now
		r.retained[key] = kept
	}
}

// isOlderRow reports whether row is an earlier entry of the target t than the one known. The caller
// holds r.mu.
func (r *Runner) isOlderRow(key string, row platform.Row, t catalog.Target) bool {
	decoded, ok := r.decodeTarget(key, row)
	return ok && decoded.Precedes(t)
}

// dropRetained waits for removedTargetRetention, then drops the targets that have been retained for
// at least that long. While the store does not answer, rows cannot be written again and none is
// dropped.
func (r *Runner) dropRetained() {
	if r.o.Clock.Sleep(r.running, removedTargetRetention) != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.o.Clock.Now()
	if r.isStoreAway(now) {
		r.prolongRetained(now)
		r.wait.Go(r.dropRetained)
		return
	}
	before := len(r.retained)
	maps.DeleteFunc(r.retained, func(_ string, kept retainedTarget) bool {
		return now.Sub(kept.since) >= removedTargetRetention
	})
	if len(r.retained) != before {
		r.publish()
	}
}

// isStoreAway reports whether the calls about targets fail and neither this node nor a peer has had an
// answer of the store since. The caller holds r.mu.
func (r *Runner) isStoreAway(now time.Time) bool {
	lostAt := r.targets.lostAt
	return !lostAt.IsZero() && r.role.ConfirmedAge(now) > now.Sub(lostAt)
}

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
