// Package catalog follows the platform's tables of configuration and targets and
// publishes the configuration to work by. A node that the platform's store turns away
// takes both from its peers.
//
// Invariant: within one run of the process neither the configuration's version nor a row
// of the list steps back, whatever feed, full read and peers say.
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

// Times of the runner.
const (
	// followWait is how long the store may hold a feed's answer back, followTimeout bounds
	// the whole call.
	followWait    = 28 * time.Second
	followTimeout = followWait + 3*time.Second
	// gatherNodes is the pause after a change of the nodes' rows: nodes start and stop in
	// groups, and each call that brings one row more is charged.
	gatherNodes = 300 * time.Millisecond
	// readTimeout bounds the read of a whole table.
	readTimeout = 2 * time.Second
	// backoffMin and backoffMax bound the pause after a call that failed, before jitter.
	backoffMin = 100 * time.Millisecond
	backoffMax = 1500 * time.Millisecond
	// keepGone is how long a target is kept after its entry went: entries also go while
	// their writers can't reach the store, and come back within this time.
	keepGone = 3 * time.Second
	// fetchAfter is how long a peer may be ahead before its copy is asked for.
	fetchAfter = 250 * time.Millisecond
	// fetchTimeout bounds that call.
	fetchTimeout = time.Second
)

// changeCounters names the counter of each table's changes.
var changeCounters = map[string]string{
	platform.TableConfiguration: "changes_configuration",
	platform.TableTargets:       "changes_targets",
	platform.TableNodes:         "changes_nodes",
}

// Options of a Runner.
type Options struct {
	Feed    platform.Feed
	Decoder catalog.Decoder
	// Key is the key of the configuration's row.
	Key    string
	Peers  peer.Caller
	Clock  clock.Clock
	Logger log.Logger
	Random *rand.Rand
	// OnNodes is told the nodes' rows after each change, and when they
	// were known to stand; may be nil.
	OnNodes func(rows []platform.Row, at time.Time)
}

// Runner keeps the copies. Its methods are safe for concurrent use.
type Runner struct {
	o       Options
	current atomic.Pointer[fleet.Config]
	// Counts counts reads, changes, failures and fetches.
	Counts expvar.Map
	wait   sync.WaitGroup

	mu            sync.Mutex
	random        *rand.Rand
	configuration *table
	targets       *table
	nodes         *table
	decoded       *catalog.Configuration
	// gone holds targets whose entries went, and since when.
	gone        map[string]goneTarget
	subscribers []func(*fleet.Config)
	fetching    bool
}

type goneTarget struct {
	target catalog.Target
	since  time.Time
}

// New returns a Runner that knows nothing yet.
func New(o Options) *Runner {
	return &Runner{
		o:             o,
		random:        o.Random,
		configuration: newTable(),
		targets:       newTable(),
		nodes:         newTable(),
		gone:          make(map[string]goneTarget),
	}
}

// Current implements fleet.Source.
func (r *Runner) Current() *fleet.Config { return r.current.Load() }

// Version returns how far this node knows both tables: the highest version of any row.
func (r *Runner) Version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(newest(r.configuration), newest(r.targets))
}

func newest(t *table) uint64 {
	var version uint64
	for _, row := range t.rows {
		version = max(version, row.Version)
	}
	return version
}

// Subscribe has f called after each change, one call at a time. f must not block.
func (r *Runner) Subscribe(f func(*fleet.Config)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers = append(r.subscribers, f)
}

// Fresh reports whether a configuration is known: what a node can't learn from the store
// it learns from its peers.
func (r *Runner) Fresh() bool { return r.Current() != nil }

// Vars returns the counters.
func (r *Runner) Vars() expvar.Var { return &r.Counts }

// Run follows the tables until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	defer r.wait.Wait()
	r.wait.Go(func() { r.follow(ctx, platform.TableConfiguration, r.configuration) })
	r.wait.Go(func() { r.follow(ctx, platform.TableTargets, r.targets) })
	r.wait.Go(func() { r.follow(ctx, platform.TableNodes, r.nodes) })
	<-ctx.Done()
	return nil
}

// follow keeps one table up to date. Only a feed that answered ends the back-off: a store
// that has forgotten its history may go on to give copies that are too old to follow from.
func (r *Runner) follow(ctx context.Context, name string, t *table) {
	backoff := backoffMin
	whole := true
	lost := false
	for ctx.Err() == nil {
		var err error
		reading := whole
		if reading {
			err = r.read(ctx, name, t)
		} else {
			err = r.followOnce(ctx, name, t)
		}
		if ctx.Err() != nil {
			return
		}
		whole = err != nil && (reading || platform.ErrHistory.Has(err))
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
		r.Counts.Add("feed_errors", 1)
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

func (r *Runner) read(ctx context.Context, name string, t *table) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	r.Counts.Add("table_reads", 1)
	asked := r.o.Clock.Now()
	rows, version, err := r.o.Feed.Read(ctx, name)
	if err != nil {
		return err
	}
	r.update(name, asked, func() bool { return t.replace(Copy{Rows: rows, Version: version}) })
	return nil
}

func (r *Runner) followOnce(ctx context.Context, name string, t *table) error {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	r.mu.Lock()
	after := t.version
	r.mu.Unlock()
	r.Counts.Add("feed_calls", 1)
	changes, version, err := r.o.Feed.Follow(ctx, name, after, followWait)
	if err != nil {
		return err
	}
	r.update(name, r.o.Clock.Now(), func() bool { return t.apply(changes, version) })
	if name == platform.TableNodes && len(changes) > 0 {
		return r.o.Clock.Sleep(ctx, gatherNodes)
	}
	return nil
}

// update changes a table and publishes what follows from it. The rows stood at the
// time at.
func (r *Runner) update(name string, at time.Time, change func() bool) {
	r.mu.Lock()
	before := r.listed()
	changed := change()
	if !changed {
		r.mu.Unlock()
		return
	}
	r.Counts.Add(changeCounters[name], 1)
	if name == platform.TableNodes {
		rows := r.nodes.copy().Rows
		r.mu.Unlock()
		if r.o.OnNodes != nil {
			r.o.OnNodes(rows, at)
		}
		return
	}
	r.noteGone(before)
	r.publish()
	r.mu.Unlock()
}

// listed returns the targets that can be read. r.mu is held.
func (r *Runner) listed() map[string]catalog.Target {
	out := make(map[string]catalog.Target, len(r.targets.rows))
	for key, row := range r.targets.rows {
		if t, ok := r.o.Decoder.Target(key, row.Value); ok {
			out[key] = t
		}
	}
	return out
}

// noteGone keeps the targets whose entries went for a while. r.mu is held.
func (r *Runner) noteGone(before map[string]catalog.Target) {
	now := r.o.Clock.Now()
	for key, t := range before {
		if _, still := r.targets.rows[key]; !still {
			r.gone[key] = goneTarget{t, now}
			r.wait.Go(r.forgetGone)
		}
	}
	for key := range r.targets.rows {
		delete(r.gone, key)
	}
}

// forgetGone drops the targets that have been gone for long enough.
func (r *Runner) forgetGone() {
	_ = r.o.Clock.Sleep(context.Background(), keepGone)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.o.Clock.Now()
	for key, g := range r.gone {
		if now.Sub(g.since) >= keepGone {
			delete(r.gone, key)
			r.publish()
		}
	}
}

// publish puts the configuration that follows from the tables in force. r.mu is held.
func (r *Runner) publish() {
	row, ok := r.configuration.rows[r.o.Key]
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
	for _, t := range r.listed() {
		targets = append(targets, t)
	}
	for _, g := range r.gone {
		targets = append(targets, g.target)
	}
	config := catalog.Join(r.decoded, targets)
	r.current.Store(config)
	for _, f := range r.subscribers {
		f(config)
	}
}
