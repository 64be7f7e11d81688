package catalog

import (
	"context"
	"time"

	"crocusyoke/internal/platform"
)

const (
	// followWait is how long the store may delay the response of a feed without changes. For the
	// table of configuration it is reliedFollowWait if other nodes rely on this one, which then
	// tells them that the store has answered. followSlack is added for the timeout of the whole
	// call.
	followWait       = 28 * time.Second
	reliedFollowWait = 4 * time.Second
	followSlack      = 3 * time.Second
	// roleCheckInterval is the delay between two checks whether this node has to follow the tables
	// itself.
	roleCheckInterval = 250 * time.Millisecond
	// firstStartDelay is how long a node waits before it first reads the table of nodes if the
	// whole fleet starts for the first time, so that it finds the rows of the others there. It
	// then waits at most firstTablesWait for the other tables from its peers.
	firstStartDelay = 800 * time.Millisecond
	firstTablesWait = 5 * time.Second
	// nodesBatchDelay is the delay after a change of the nodes' rows. Nodes start and stop
	// in groups and each call is charged, so the delay collects several changes into one
	// call.
	nodesBatchDelay = 300 * time.Millisecond
	// targetsBatchDelay is the same for rows of targets, which change together when a deployment
	// starts and after an outage of the store.
	targetsBatchDelay = 100 * time.Millisecond
	// tableReadTimeout bounds the read of a whole table.
	tableReadTimeout = 2 * time.Second
	// backoffMin and backoffMax bound the delay after a failed call, before jitter.
	backoffMin = 100 * time.Millisecond
	backoffMax = 1500 * time.Millisecond
	// standInBackoffMax is the longest delay of a node that follows the tables only because it
	// has not heard from the readers: there may be hundreds of them.
	standInBackoffMax = 6 * time.Second
)

// batchDelays maps each table to the delay after a change of it.
var batchDelays = map[string]time.Duration{
	platform.TableTargets: targetsBatchDelay,
	platform.TableNodes:   nodesBatchDelay,
}

// followTable keeps one table up to date until ctx ends, while this node has to follow it itself.
// It reads the whole table first and again whenever the feed no longer has the changes since the
// known version. Only a successful feed call resets the backoff; a successful read does not. The
// reason is a store that has lost its history of changes: its reads may succeed but keep returning
// a table that is too old for the feed to continue from.
func (r *Runner) followTable(ctx context.Context, name string, t *table) {
	if r.o.FirstStart {
		r.awaitFirstStart(ctx, name, t)
	}
	backoff := backoffMin
	needsRead := true
	for ctx.Err() == nil {
		if r.reliesOnPeers(t) {
			needsRead = false
			_ = r.o.Clock.Sleep(ctx, roleCheckInterval)
			continue
		}
		var err error
		inEra, release, outdated := r.startCall(ctx, t)
		reading := needsRead || outdated
		if reading {
			err = r.readTable(ctx, name, t)
		} else {
			err = r.followChanges(inEra, name, t)
		}
		if ctx.Err() != nil {
			release()
			return
		}
		needsRead = err != nil && (reading || platform.ErrHistoryExpired.Has(err))
		r.noteLost(name, t, err)
		switch {
		case err == nil && !reading:
			backoff = backoffMin
		case err != nil:
			r.Counters.Add("feed_errors", 1)
			_ = r.o.Clock.Sleep(inEra, r.jitter(backoff))
			backoff = min(2*backoff, r.maxBackoff())
		}
		release()
	}
}

// noteLost records whether the last call about t has failed, with err, and logs changes of that.
func (r *Runner) noteLost(name string, t *table, err error) {
	r.mu.Lock()
	changed := t.lostAt.IsZero() == (err != nil)
	switch {
	case err == nil:
		t.lostAt = time.Time{}
	case changed:
		t.lostAt = r.o.Clock.Now()
	}
	version := t.followed.Version
	r.mu.Unlock()
	if changed {
		_ = r.o.Logger.Log("event", "feed", "table", name, "lost", err != nil, "version", version, "err", err)
	}
}

// followed returns the revision up to which t was followed.
func (r *Runner) followed(t *table) platform.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return t.followed
}

// awaitFirstStart waits before the first read of a table on the first start of the whole fleet.
func (r *Runner) awaitFirstStart(ctx context.Context, name string, t *table) {
	if r.o.Clock.Sleep(ctx, firstStartDelay) != nil || name == platform.TableNodes {
		return
	}
	for until := r.o.Clock.Now().Add(firstTablesWait); r.o.Clock.Now().Before(until); {
		if r.followsItself(t) || r.o.Clock.Sleep(ctx, roleCheckInterval) != nil {
			return
		}
	}
}

// followsItself reports whether the node has read the table of nodes and has found itself among
// the readers, or has got t from a peer.
func (r *Runner) followsItself(t *table) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return t.isKnown() || r.knowsNodes && r.role.IsReader()
}

// reliesOnPeers reports whether the node has a copy of t that its peers keep up to date.
func (r *Runner) reliesOnPeers(t *table) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return t.isKnown() && !r.role.ShouldFollow(r.o.Clock.Now())
}

func (r *Runner) maxBackoff() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.role.IsReader() {
		return backoffMax
	}
	return standInBackoffMax
}

// NodeRow returns the row of the table of nodes with the given key, as this node knows it; only its
// Era is set if there is none. known is false as long as the table has not been read.
func (r *Runner) NodeRow(key string) (row platform.Row, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row = r.nodes.rows[key]
	row.Era = r.nodes.followed.Era
	return row, r.nodes.isKnown()
}

// confirm records that the store has answered a call that was sent at sentAt.
func (r *Runner) confirm(sentAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.role.Confirm(sentAt)
}

func (r *Runner) jitter(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return d/2 + time.Duration(r.random.Int64N(int64(d)))
}

func (r *Runner) readTable(ctx context.Context, name string, t *table) error {
	ctx, cancel := context.WithTimeout(ctx, tableReadTimeout)
	defer cancel()
	r.Counters.Add("table_reads", 1)
	sentAt := r.o.Clock.Now()
	rows, revision, err := r.o.Feed.Read(ctx, name)
	if err != nil {
		return err
	}
	r.ObserveEra(revision.Era, sourceStore)
	if r.isLate(revision) {
		return errLateAnswer.New("table %s of era %d", name, revision.Era)
	}
	r.confirm(sentAt)
	r.logUnusedRead(name, t, revision)
	r.updateTable(name, t, sourceStore, sentAt, func() bool {
		return t.replace(Snapshot{Rows: rows, Version: revision.Version, Era: revision.Era})
	})
	return nil
}

// logUnusedRead logs that a read returned an older state of a table than is known, so that it is
// not applied.
func (r *Runner) logUnusedRead(name string, t *table, revision platform.Revision) {
	known := r.followed(t)
	if !revision.Precedes(known) {
		return
	}
	r.Counters.Add("reads_unused", 1)
	_ = r.o.Logger.Log("event", "read unused", "table", name, "era", revision.Era, "version", revision.Version,
		"known_era", known.Era, "known_version", known.Version)
}

func (r *Runner) followChanges(ctx context.Context, name string, t *table) error {
	r.mu.Lock()
	after := t.followed
	wait := followWait
	if r.role.PeersRely() && name == platform.TableConfiguration {
		wait = reliedFollowWait
	}
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait+followSlack)
	defer cancel()
	r.Counters.Add("feed_calls", 1)
	changes, revision, err := r.o.Feed.Follow(ctx, name, after, wait)
	if err != nil {
		return err
	}
	r.ObserveEra(revision.Era, sourceStore)
	if revision.Era != after.Era {
		return platform.ErrHistoryExpired.New("table %s: followed in era %d, the store is in era %d", name, after.Era, revision.Era)
	}
	now := r.o.Clock.Now()
	r.confirm(now)
	r.updateTable(name, t, sourceStore, now, func() bool { return t.apply(changes, revision) })
	if len(changes) == 0 {
		return nil
	}
	return r.o.Clock.Sleep(ctx, batchDelays[name])
}
