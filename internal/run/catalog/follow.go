package catalog

import (
	"context"
	"errors"
	"time"

	"crocusyoke/internal/controller/reader"
	"crocusyoke/internal/platform"
)

const (
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
	// maxBatchDelay bounds the delay after a change that closely follows others. A call that the store
	// held for as long ends such a series.
	maxBatchDelay = 800 * time.Millisecond
	// tableReadTimeout bounds the read of a whole table.
	tableReadTimeout = 2 * time.Second
	// backoffMin and backoffMax bound the delay after a failed call, before jitter.
	backoffMin = 100 * time.Millisecond
	backoffMax = 1500 * time.Millisecond
	// standInBackoffMin and standInBackoffMax are the same for a node that follows the tables only
	// because it has not heard from the readers: there may be hundreds of them.
	standInBackoffMin = time.Second
	standInBackoffMax = 6 * time.Second
)

// batchDelays maps each table to the delay after a change of it, if no other one came closely before.
var batchDelays = map[string]time.Duration{
	platform.TableTargets: targetsBatchDelay,
	platform.TableNodes:   nodesBatchDelay,
}

// follower follows one table at the store.
type follower struct {
	runner *Runner
	name   string
	table  *table
	// needsRead is true if the whole table has to be read next.
	needsRead bool
	// calledAt is when the last call began.
	calledAt time.Time
	// backoff is the last delay after a failed call, before jitter; 0 if the feed has answered since.
	backoff time.Duration
	// batchDelay is the last delay after a change; 0 if the last call brought none.
	batchDelay time.Duration
}

// followTable keeps one table up to date until ctx ends, while this node has to follow it itself.
func (r *Runner) followTable(ctx context.Context, name string, t *table) {
	if r.o.FirstStart {
		r.awaitFirstStart(ctx, name, t)
	}
	f := &follower{runner: r, name: name, table: t, needsRead: true}
	for ctx.Err() == nil {
		if r.reliesOnPeers(name, t) {
			f.needsRead, f.backoff = false, 0
			_ = r.o.Clock.Sleep(ctx, roleCheckInterval)
			continue
		}
		f.step(ctx)
	}
}

// step makes the next call: it reads the whole table first and again whenever the feed no longer has the
// changes since the known version, and follows the feed otherwise.
func (f *follower) step(ctx context.Context) {
	r, t := f.runner, f.table
	call, release, outdated := r.startCall(ctx, t)
	defer release()
	reading := f.needsRead || outdated
	f.calledAt = r.o.Clock.Now()
	var err error
	if reading {
		err = r.readTable(ctx, f.name, t)
	} else {
		err = f.followChanges(call)
	}
	switch {
	case ctx.Err() != nil:
	case !reading && err != nil && call.Err() != nil:
		// The call was ended by endCallsUnderWay, which says nothing about the store.
		r.setHold(t, holdNot)
	default:
		f.needsRead = err != nil && (reading || platform.ErrHistoryExpired.Has(err))
		r.noteLost(f.name, t, err)
		f.finish(call, reading, err)
	}
}

// followChanges makes one call of the feed. After changes it waits, so that the next call may get several.
func (f *follower) followChanges(ctx context.Context) error {
	clock := f.runner.o.Clock
	calledAt := clock.Now()
	count, err := f.runner.followChanges(ctx, f.name, f.table)
	if err != nil || count == 0 {
		f.batchDelay = 0
		return err
	}
	f.batchDelay = nextBatchDelay(batchDelays[f.name], f.batchDelay, clock.Now().Sub(calledAt))
	return clock.Sleep(ctx, f.batchDelay)
}

// nextBatchDelay returns the delay after a change for which the store held the call for the time held. It is
// first for a change on its own, and up to maxBatchDelay, growing from the last delay, for each that follows
// closely.
func nextBatchDelay(first, last, held time.Duration) time.Duration {
	if held >= maxBatchDelay {
		return first
	}
	return min(max(first, 2*last), max(first, maxBatchDelay))
}

// finish prepares the call after one that ended with err, and waits if that failed. Only a call of the feed
// that was answered resets the backoff; a read does not. The reason is a store that has lost its history
// of changes: its reads may succeed but keep returning a table that is too old for the feed to continue
// from.
func (f *follower) finish(call context.Context, reading bool, err error) {
	r := f.runner
	switch {
	case err != nil:
		r.Counters.Add("feed_errors", 1)
		f.backoff = r.nextBackoff(f.backoff)
		r.backOff(call, f.table, f.calledAt, r.jitter(f.backoff))
	case reading:
		r.setHold(f.table, holdPartly)
	default:
		f.backoff = 0
	}
}

// noteLost records whether the last call about t has failed, with err, and logs changes of that. If the
// store has not answered a call about the configuration in time, the other calls are ended too: their
// connections may be as silent.
func (r *Runner) noteLost(name string, t *table, err error) {
	r.mu.Lock()
	changed := t.lostAt.IsZero() == (err != nil)
	t.isAway = err != nil && !platform.ErrHistoryExpired.Has(err) && !errLateAnswer.Has(err)
	if err != nil {
		t.hold = holdNot
	}
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
	if changed && name == platform.TableConfiguration && errors.Is(err, context.DeadlineExceeded) {
		r.endCallsUnderWay()
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
func (r *Runner) reliesOnPeers(name string, t *table) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.o.Clock.Now()
	follows := r.role.FollowsOtherTables(now)
	if name == platform.TableConfiguration {
		follows = r.role.FollowsConfiguration(now)
	}
	relies := t.isKnown() && !follows
	if relies != t.isRelied {
		t.isRelied, t.hold, t.isAway = relies, holdNot, false
		_ = r.o.Logger.Log("event", "follow", "table", name, "itself", !relies, "reader", r.role.IsReader(),
			"confirmed_ago", r.role.ConfirmedAge(now))
	}
	return relies
}

// nextBackoff returns the delay, before jitter, that follows a failed call after the delay last, which is
// 0 if the call before was answered.
func (r *Runner) nextBackoff(last time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.role.IsReader() {
		return min(max(2*last, backoffMin), backoffMax)
	}
	return min(max(2*last, standInBackoffMin), standInBackoffMax)
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

// noteStoreAnswer records that the store has answered a call at time at, or later. The caller holds r.mu.
func (r *Runner) noteStoreAnswer(at time.Time) {
	if at.After(r.answeredAt) {
		r.answeredAt = at
	}
	r.endBackOffs()
}

// confirm records that the store has answered a call about the table called name; what it answered was
// current at time at. Only answers about the configuration confirm the tables, and only while the store
// answers for the other tables too.
func (r *Runner) confirm(name string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteStoreAnswer(at)
	if name == platform.TableConfiguration && !r.targets.isAway && !r.nodes.isAway {
		r.role.Confirm(reader.Confirmation{At: at, By: reader.IDOf(r.o.Self)})
	}
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
	r.confirm(name, sentAt)
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

// followChanges makes one call of the feed and returns the number of changes.
func (r *Runner) followChanges(ctx context.Context, name string, t *table) (int, error) {
	after := r.followed(t)
	wait, slack := r.holdTimes(name, t)
	ctx, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	r.Counters.Add("feed_calls", 1)
	changes, revision, err := r.o.Feed.Follow(ctx, name, after, wait)
	if err != nil {
		return 0, err
	}
	r.ObserveEra(revision.Era, sourceStore)
	if revision.Era != after.Era {
		return 0, platform.ErrHistoryExpired.New("table %s: followed in era %d, the store is in era %d", name, after.Era, revision.Era)
	}
	now := r.o.Clock.Now()
	r.confirm(name, now)
	r.noteAnswered(t, wait, len(changes))
	r.updateTable(name, t, sourceStore, now, func() bool { return t.apply(changes, revision) })
	return len(changes), nil
}
