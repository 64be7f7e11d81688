// Package catalog follows the platform's tables of configuration, targets and nodes, and
// publishes the configuration in force. A node that cannot read the tables of configuration
// and targets from the platform's store fetches them from its peers. The package
// internal/catalog defines the decoder of the rows and joins them into a configuration.
//
// Invariant: within one run of the process, neither the version of the configuration nor
// any row of the list of targets reverts to an older state, whatever the feed, a full read
// or a peer returns.
package catalog

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/zeebo/errs"

	"crocusyoke/internal/catalog"
	"crocusyoke/internal/clock"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/peer"
	"crocusyoke/internal/platform"
)

// Error is the class of this package's errors.
var Error = errs.Class("catalog")

const (
	// followWait is how long the store may delay the response of a feed without changes;
	// followTimeout bounds the whole call.
	followWait    = 28 * time.Second
	followTimeout = followWait + 3*time.Second
	// nodesBatchDelay is the delay after a change of the nodes' rows. Nodes start and stop
	// in groups and each call is charged, so the delay collects several changes into one
	// call.
	nodesBatchDelay = 300 * time.Millisecond
	// tableReadTimeout bounds the read of a whole table.
	tableReadTimeout = 2 * time.Second
	// backoffMin and backoffMax bound the delay after a failed call, before jitter.
	backoffMin = 100 * time.Millisecond
	backoffMax = 1500 * time.Millisecond
	// removedTargetRetention is how long a target is kept in the configuration after its row
	// was removed. A row is also removed while its writer cannot reach the store, and is
	// written again within this time.
	removedTargetRetention = 3 * time.Second
	// peerFetchDelay is how long a peer may know a higher version before its tables are
	// fetched.
	peerFetchDelay = 250 * time.Millisecond
	// peerFetchTimeout bounds one fetch from a peer.
	peerFetchTimeout = time.Second
)

// changeCounters maps each table to the name of the counter of its changes.
var changeCounters = map[string]string{
	platform.TableConfiguration: "changes_configuration",
	platform.TableTargets:       "changes_targets",
	platform.TableNodes:         "changes_nodes",
}

// Options configures a Runner.
type Options struct {
	Feed    platform.Feed
	Decoder catalog.Decoder
	// ConfigurationKey is the key of the configuration's row.
	ConfigurationKey string
	Peers            peer.Caller
	Clock            clock.Clock
	Logger           log.Logger
	Random           *rand.Rand
	// OnNodesChanged is called after each change of the nodes' rows, with all the rows and
	// a time at which they were current; may be nil.
	OnNodesChanged func(rows []platform.Row, at time.Time)
}

// Runner maintains the local copies of the tables. Its methods are safe for concurrent use.
type Runner struct {
	o       Options
	current atomic.Pointer[fleet.Config]
	// Counters counts table reads, feed calls, changes, failures and fetches from peers.
	Counters expvar.Map
	wait     sync.WaitGroup

	mu            sync.Mutex
	random        *rand.Rand
	configuration *table
	targets       *table
	nodes         *table
	decoded       *catalog.Configuration
	// removed holds the targets whose rows were removed less than removedTargetRetention
	// ago, and the times of the removals.
	removed     map[string]removedTarget
	subscribers []func(*fleet.Config)
	fetching    bool
}

type removedTarget struct {
	target    catalog.Target
	removedAt time.Time
}

// New returns a Runner with empty tables.
func New(o Options) *Runner {
	return &Runner{
		o:             o,
		random:        o.Random,
		configuration: newTable(),
		targets:       newTable(),
		nodes:         newTable(),
		removed:       make(map[string]removedTarget),
	}
}

// Current implements fleet.Source.
func (r *Runner) Current() *fleet.Config { return r.current.Load() }

// Version returns the highest row version of the configuration and target tables that this
// node knows. It can be lower than the version up to which the tables were followed, and
// differs from fleet.Config.Version, the version number inside the configuration.
func (r *Runner) Version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(maxRowVersion(r.configuration), maxRowVersion(r.targets))
}

func maxRowVersion(t *table) uint64 {
	var version uint64
	for _, row := range t.rows {
		version = max(version, row.Version)
	}
	return version
}

// Subscribe registers f to be called after each change of the configuration, one call at a
// time. f must not block.
func (r *Runner) Subscribe(f func(*fleet.Config)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers = append(r.subscribers, f)
}

// Fresh reports whether a configuration is known. That suffices: what a node cannot read
// from the store it gets from its peers.
func (r *Runner) Fresh() bool { return r.Current() != nil }

// Vars returns the counters.
func (r *Runner) Vars() expvar.Var { return &r.Counters }

// Run follows the tables until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	defer r.wait.Wait()
	r.wait.Go(func() { r.followTable(ctx, platform.TableConfiguration, r.configuration) })
	r.wait.Go(func() { r.followTable(ctx, platform.TableTargets, r.targets) })
	r.wait.Go(func() { r.followTable(ctx, platform.TableNodes, r.nodes) })
	<-ctx.Done()
	return nil
}

// followTable keeps one table up to date until ctx ends. It reads the whole table first and
// again whenever the feed no longer has the changes since the known version. Only a
// successful feed call resets the backoff; a successful read does not. The reason is a store
// that has lost its history of changes: its reads may succeed but keep returning a table that
// is too old for the feed to continue from.
func (r *Runner) followTable(ctx context.Context, name string, t *table) {
	backoff := backoffMin
	needsRead := true
	lost := false
	for ctx.Err() == nil {
		var err error
		reading := needsRead
		if reading {
			err = r.readTable(ctx, name, t)
		} else {
			err = r.followChanges(ctx, name, t)
		}
		if ctx.Err() != nil {
			return
		}
		needsRead = err != nil && (reading || platform.ErrHistoryExpired.Has(err))
		if lost != (err != nil) {
			lost = err != nil
			_ = r.o.Logger.Log("event", "feed", "table", name, "lost", lost, "err", err)
		}
		if err == nil {
			if !reading {
				backoff = backoffMin
			}
			continue
		}
		r.Counters.Add("feed_errors", 1)
		if r.o.Clock.Sleep(ctx, r.jitter(backoff)) != nil {
			return
		}
		backoff = min(2*backoff, backoffMax)
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
	rows, version, err := r.o.Feed.Read(ctx, name)
	if err != nil {
		return err
	}
	r.updateTable(name, sentAt, func() bool { return t.replace(Snapshot{Rows: rows, Version: version}) })
	return nil
}

func (r *Runner) followChanges(ctx context.Context, name string, t *table) error {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	r.mu.Lock()
	after := t.followedVersion
	r.mu.Unlock()
	r.Counters.Add("feed_calls", 1)
	changes, version, err := r.o.Feed.Follow(ctx, name, after, followWait)
	if err != nil {
		return err
	}
	r.updateTable(name, r.o.Clock.Now(), func() bool { return t.apply(changes, version) })
	if name == platform.TableNodes && len(changes) > 0 {
		return r.o.Clock.Sleep(ctx, nodesBatchDelay)
	}
	return nil
}

// updateTable applies change to a table and publishes the result if anything changed. The
// rows were current at time at, which is used only for the table of nodes.
func (r *Runner) updateTable(name string, at time.Time, change func() bool) {
	r.mu.Lock()
	before := r.decodedTargets()
	changed := change()
	if !changed {
		r.mu.Unlock()
		return
	}
	r.Counters.Add(changeCounters[name], 1)
	if name == platform.TableNodes {
		rows := r.nodes.snapshot().Rows
		r.mu.Unlock()
		if r.o.OnNodesChanged != nil {
			r.o.OnNodesChanged(rows, at)
		}
		return
	}
	r.retainRemoved(before)
	r.publish()
	r.mu.Unlock()
}

// decodedTargets returns the targets whose rows can be decoded. The caller holds r.mu.
func (r *Runner) decodedTargets() map[string]catalog.Target {
	out := make(map[string]catalog.Target, len(r.targets.rows))
	for key, row := range r.targets.rows {
		if t, ok := r.o.Decoder.Target(key, row.Value); ok {
			out[key] = t
		}
	}
	return out
}

// retainRemoved moves targets whose rows were removed to r.removed, where they stay for
// removedTargetRetention unless their rows are written again. before is the result of
// decodedTargets before the change. The caller holds r.mu.
func (r *Runner) retainRemoved(before map[string]catalog.Target) {
	now := r.o.Clock.Now()
	for key, t := range before {
		if _, still := r.targets.rows[key]; !still {
			r.removed[key] = removedTarget{t, now}
			r.wait.Go(r.dropRemoved)
		}
	}
	for key := range r.targets.rows {
		delete(r.removed, key)
	}
}

// dropRemoved waits for removedTargetRetention, then drops the targets that were removed at
// least that long ago.
func (r *Runner) dropRemoved() {
	_ = r.o.Clock.Sleep(context.Background(), removedTargetRetention)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.o.Clock.Now()
	for key, g := range r.removed {
		if now.Sub(g.removedAt) >= removedTargetRetention {
			delete(r.removed, key)
			r.publish()
		}
	}
}

// publish derives the configuration from the tables, puts it in force and notifies the
// subscribers. If the configuration's row cannot be decoded or has no higher version than
// the last one that was decoded, publish uses that last one. The caller holds r.mu.
func (r *Runner) publish() {
	row, ok := r.configuration.rows[r.o.ConfigurationKey]
	if !ok {
		return
	}
	decoded, err := r.o.Decoder.Configuration(row.Value)
	switch {
	case err != nil:
		_ = r.o.Logger.Log("event", "configuration unreadable", "row_version", row.Version, "err", err)
	case r.decoded == nil || decoded.Version > r.decoded.Version:
		_ = r.o.Logger.Log("event", "configuration", "version", decoded.Version, "row_version", row.Version)
		r.decoded = decoded
	}
	if r.decoded == nil {
		return
	}
	var targets []catalog.Target
	for _, t := range r.decodedTargets() {
		targets = append(targets, t)
	}
	for _, g := range r.removed {
		targets = append(targets, g.target)
	}
	config := catalog.BuildConfig(r.decoded, targets)
	r.current.Store(config)
	for _, f := range r.subscribers {
		f(config)
	}
}
