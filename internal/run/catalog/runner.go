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
	"crocusyoke/internal/contain"
	"crocusyoke/internal/controller/reader"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/peer"
	"crocusyoke/internal/platform"
)

// Error is the class of this package's errors.
var Error = errs.Class("catalog")

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
	// removedTargetRetention is how long a target is kept in the configuration after its row
	// was removed. A row is also removed while its writer cannot reach the store, and is
	// written again within this time.
	removedTargetRetention = 3 * time.Second
	// peerFetchDelay is how long a peer may know a newer row before a node that follows the
	// tables itself fetches it from the peer. nodesFetchDelay is how long any node waits if only
	// rows of nodes are newer.
	peerFetchDelay  = 250 * time.Millisecond
	nodesFetchDelay = 600 * time.Millisecond
	// peerFetchTimeout bounds one fetch from a peer.
	peerFetchTimeout = time.Second
)

// batchDelays maps each table to the delay after a change of it.
var batchDelays = map[string]time.Duration{
	platform.TableTargets: targetsBatchDelay,
	platform.TableNodes:   nodesBatchDelay,
}

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
	// Self is this node's name.
	Self string
	// FirstStart is true if the whole fleet starts for the first time.
	FirstStart bool
	Peers      peer.Caller
	Clock      clock.Clock
	Logger     log.Logger
	Random     *rand.Rand
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
	role          *reader.Role
	configuration *table
	targets       *table
	nodes         *table
	decoded       *catalog.Configuration
	// decodedRowVersion is the version of the configuration's row that was last decoded.
	decodedRowVersion uint64
	// removed holds the targets whose rows were removed less than removedTargetRetention
	// ago, and the times of the removals.
	removed     map[string]removedTarget
	subscribers []func(*fleet.Config)
	fetching    bool
	// knowsNodes is set once the first rows of nodes have been passed to OnNodesChanged, from
	// when role is based on them.
	knowsNodes bool
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
		role:          reader.NewRole(o.Self, o.Clock.Now(), o.Random),
		configuration: newTable(),
		targets:       newTable(),
		nodes:         newTable(),
		removed:       make(map[string]removedTarget),
	}
}

// Current implements fleet.Source.
func (r *Runner) Current() *fleet.Config { return r.current.Load() }

// Version returns the version of the last change that this node knows of the configuration and
// target tables. It can be lower than the version up to which the tables were followed, and
// differs from fleet.Config.Version, the version number inside the configuration.
func (r *Runner) Version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.configuration.changedVersion, r.targets.changedVersion)
}

// SetNodes applies the live nodes, from which the readers are chosen.
func (r *Runner) SetNodes(nodes []reader.Node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	was := r.role.IsReader()
	r.role.SetNodes(nodes)
	if is := r.role.IsReader(); is != was {
		_ = r.o.Logger.Log("event", "reader", "reads", is, "nodes", len(nodes))
	}
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
	lost := false
	for ctx.Err() == nil {
		if r.reliesOnPeers(t) {
			needsRead = false
			_ = r.o.Clock.Sleep(ctx, roleCheckInterval)
			continue
		}
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
		backoff = min(2*backoff, r.maxBackoff())
	}
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
	return t.followedVersion > 0 || r.knowsNodes && r.role.IsReader()
}

// reliesOnPeers reports whether the node has a copy of t that its peers keep up to date.
func (r *Runner) reliesOnPeers(t *table) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return t.followedVersion > 0 && !r.role.ShouldFollow(r.o.Clock.Now())
}

func (r *Runner) maxBackoff() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.role.IsReader() {
		return backoffMax
	}
	return standInBackoffMax
}

// NodeRow returns the row of the table of nodes with the given key, as this node knows it. known is
// false as long as the table has not been read.
func (r *Runner) NodeRow(key string) (row platform.Row, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.nodes.rows[key], r.nodes.followedVersion > 0
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
	rows, version, err := r.o.Feed.Read(ctx, name)
	if err != nil {
		return err
	}
	r.confirm(sentAt)
	r.updateTable(name, sentAt, func() bool { return t.replace(Snapshot{Rows: rows, Version: version}) })
	return nil
}

func (r *Runner) followChanges(ctx context.Context, name string, t *table) error {
	r.mu.Lock()
	after := t.followedVersion
	wait := followWait
	if r.role.PeersRely() && name == platform.TableConfiguration {
		wait = reliedFollowWait
	}
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait+followSlack)
	defer cancel()
	r.Counters.Add("feed_calls", 1)
	changes, version, err := r.o.Feed.Follow(ctx, name, after, wait)
	if err != nil {
		return err
	}
	now := r.o.Clock.Now()
	r.confirm(now)
	r.updateTable(name, now, func() bool { return t.apply(changes, version) })
	if len(changes) == 0 {
		return nil
	}
	return r.o.Clock.Sleep(ctx, batchDelays[name])
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
		r.mu.Lock()
		r.knowsNodes = true
		r.mu.Unlock()
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
		if t, ok := r.decodeTarget(key, row); ok {
			out[key] = t
		}
	}
	return out
}

// decodeTarget decodes a target's row. A row that cannot be decoded names no target to use.
func (r *Runner) decodeTarget(key string, row platform.Row) (t catalog.Target, ok bool) {
	t, err := contain.Call("decode target", func() (catalog.Target, error) {
		decoded, valid := r.o.Decoder.Target(key, row.Value)
		ok = valid
		return decoded, nil
	})
	if err != nil {
		_ = r.o.Logger.Log("event", "target unreadable", "target", key, "row_version", row.Version, "err", err)
	}
	return t, ok && err == nil
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
	if row.Version != r.decodedRowVersion {
		r.decodedRowVersion = row.Version
		r.decodeConfiguration(row)
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

// decodeConfiguration decodes the configuration's row. The caller holds r.mu.
func (r *Runner) decodeConfiguration(row platform.Row) {
	decoded, err := contain.Call("decode configuration", func() (*catalog.Configuration, error) {
		return r.o.Decoder.Configuration(row.Value)
	})
	switch {
	case err != nil:
		_ = r.o.Logger.Log("event", "configuration unreadable", "row_version", row.Version, "err", err)
	case r.decoded == nil || decoded.Version > r.decoded.Version:
		_ = r.o.Logger.Log("event", "configuration", "version", decoded.Version, "row_version", row.Version)
		r.decoded = decoded
	}
}
