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
