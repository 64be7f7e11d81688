// Package catalog follows the platform's tables of configuration, targets and nodes, and
// publishes the configuration in force. A node that cannot read the tables of configuration
// and targets from the platform's store fetches them from its peers. The package
// internal/catalog defines the decoder of the rows and joins them into a configuration.
//
// Invariant: within one run of the process, neither the version of the configuration nor
// any row of the list of targets or of an evacuation reverts to an older state, whatever the feed, a full read
// or a peer returns. What a table is followed up to is compared by its revision: after the store
// was restored from a copy, its versions go back and are assigned again, in a later era. What its
// writer numbers, such as a configuration or an entry of a target, is compared by the writer's own
// numbers, which a restore does not change.
package catalog

import (
	"context"
	"expvar"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/zeebo/errs"

	"crocusyoke/internal/catalog"
	"crocusyoke/internal/clock"
	"crocusyoke/internal/controller/evacuation"
	"crocusyoke/internal/controller/reader"
	"crocusyoke/internal/controller/roster"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/peer"
	"crocusyoke/internal/platform"
)

// Error is the class of this package's errors.
var Error = errs.Class("catalog")

const (
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
	// EvacuationPrefix is what the keys of the rows in the same table start with that evacuate a failure
	// domain each. The domain's name follows. No domain is ever evacuated if it is empty.
	EvacuationPrefix string
	// Self is this node's name.
	Self string
	// FirstStart is true if the whole fleet starts for the first time.
	FirstStart bool
	Peers      peer.Caller
	Clock      clock.Clock
	Logger     log.Logger
	Random     *rand.Rand
	// Contacts returns the addresses of the peers that this node tells of a new configuration at once; may
	// be nil.
	Contacts func() []string
	// OnNodesChanged is called after each change of the nodes' rows, with all the rows and
	// a time at which they were current; may be nil.
	OnNodesChanged func(rows []platform.Row, at time.Time)
}

// Runner maintains the local copies of the tables. Its methods are safe for concurrent use.
type Runner struct {
	o       Options
	current atomic.Pointer[fleet.Config]
	// Counters counts table reads, feed calls, changes, failures and fetches from peers, and shows
	// the version of the newest known configuration and the age of the store's last confirmation.
	Counters expvar.Map
	wait     sync.WaitGroup
	// running ends, by stop, when Run ends.
	running context.Context
	stop    context.CancelFunc

	mu            sync.Mutex
	random        *rand.Rand
	role          *reader.Role
	configuration *table
	targets       *table
	nodes         *table
	// era is the latest era of the store that was observed.
	era uint64
	// callsContext ends, by endCalls, when the calls that the store holds may never be answered.
	callsContext context.Context
	endCalls     context.CancelFunc
	document     document
	// heard is the newest configuration that a peer has told of.
	heard heardVersion
	// decodedRow is the revision of the configuration's row that was last decoded.
	decodedRow platform.Revision
	// evacuations holds the evacuated failure domains.
	evacuations evacuation.Set
	// newsCount counts the changes that this node has had to announce.
	newsCount uint64
	// roster holds the members of the groups. decodedTargets holds the entries that its last change
	// was made from, by key. advancing is true while advanceRoster runs.
	roster         *roster.Roster
	decodedTargets map[string]decodedTarget
	advancing      bool
	// lives holds what the entries of each target tell of its process, for TargetLife.
	lives lives
	// retainedNodes holds the rows of nodes that a restore has lost, until nodesRetainedUntil.
	retainedNodes      map[string]platform.Row
	nodesRetainedUntil time.Time
	subscribers        []func(*fleet.Config)
	// answeredAt is when the store last answered a call about any table, of this node or of one whose
	// knowledge reached it.
	answeredAt time.Time
	// offer is what is to be fetched next from a peer; nil if there is nothing. fetching is true while
	// fetchOffers runs. It is woken, by wakeFetch, when a better offer has come.
	offer     *offer
	fetching  bool
	wakeFetch context.CancelFunc
	// wakeUnread ends the delays after failed first reads of tables, one for each.
	wakeUnread map[*table]context.CancelFunc
	// announcing is true while announceVersions runs.
	announcing bool
	// knowsNodes is set once the first rows of nodes have been passed to OnNodesChanged, from
	// when role is based on them.
	knowsNodes bool
}

// New returns a Runner with empty tables.
func New(o Options) *Runner {
	callsContext, endCalls := context.WithCancel(context.Background())
	running, stop := context.WithCancel(context.Background())
	r := &Runner{
		o:             o,
		random:        o.Random,
		role:          reader.NewRole(o.Self, o.Clock.Now()),
		configuration: newTable(),
		targets:       newTable(),
		nodes:         newTable(),
		callsContext:  callsContext,
		endCalls:      endCalls,
		running:       running,
		stop:          stop,
		retainedNodes: make(map[string]platform.Row),
		answeredAt:    o.Clock.Now(),
		wakeUnread:    make(map[*table]context.CancelFunc),
	}
	r.Counters.Set("known_version", expvar.Func(r.knownVersion))
	r.Counters.Set("confirmed_age_ms", expvar.Func(r.confirmedAgeMillis))
	r.roster = roster.New(roster.Options{IsGroup: r.isGroup, IsSynchronous: r.isSynchronous})
	return r
}

// Current implements fleet.Source.
func (r *Runner) Current() *fleet.Config { return r.current.Load() }

// Version returns the version of the last change that this node knows of the configuration and
// target tables, in the eras up to which these were followed; 0 before the first read. It can be
// lower than the version up to which the tables were followed, and differs from fleet.Config.Version, the version number inside the configuration.
func (r *Runner) Version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.configuration.changedVersion, r.targets.changedVersion)
}

// SetNodes applies the live nodes, from which the readers are chosen. Once other nodes rely on this one,
// calls that the store could hold for longer than that allows are ended.
func (r *Runner) SetNodes(nodes []reader.Node) {
	r.mu.Lock()
	was, reliedBefore := r.role.IsReader(), r.role.PeersRely()
	r.role.SetNodes(nodes)
	is, relied := r.role.IsReader(), r.role.PeersRely()
	r.mu.Unlock()
	if is != was {
		_ = r.o.Logger.Log("event", "reader", "reads", is, "nodes", len(nodes))
	}
	if relied && !reliedBefore {
		r.endCallsUnderWay()
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
	defer r.end()
	r.wait.Go(func() { r.followTable(ctx, platform.TableConfiguration, r.configuration) })
	r.wait.Go(func() { r.followTable(ctx, platform.TableTargets, r.targets) })
	r.wait.Go(func() { r.followTable(ctx, platform.TableNodes, r.nodes) })
	<-ctx.Done()
	return nil
}

// end ends r.running. No fetch from a peer is started after it has returned.
func (r *Runner) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stop()
}

// updateTable applies change to a table and publishes the result if anything changed. The
// rows come from source, the store or the address of a peer, and were current at time at, which is
// used only for the table of nodes.
func (r *Runner) updateTable(name string, t *table, source string, at time.Time, change func() bool) {
	if name == platform.TableNodes {
		r.updateNodes(at, change)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	former := t.followed
	if !change() {
		return
	}
	r.Counters.Add(changeCounters[name], 1)
	restored := r.noteRestored(name, t, former)
	r.decodeConfigurationRow(source)
	if name == platform.TableConfiguration {
		r.updateEvacuations(source)
	}
	if name == platform.TableTargets {
		r.updateRoster(restored)
	}
	r.publish()
}

// updateNodes is updateTable for the table of nodes.
func (r *Runner) updateNodes(at time.Time, change func() bool) {
	r.mu.Lock()
	former, before := r.nodes.followed, maps.Clone(r.nodes.rows)
	changed := change()
	if changed && r.noteRestored(platform.TableNodes, r.nodes, former) {
		r.retainNodes(before)
	}
	r.mu.Unlock()
	if !changed {
		return
	}
	r.Counters.Add(changeCounters[platform.TableNodes], 1)
	r.notifyNodes(at)
}

// noteRestored reports whether t, which was followed up to former before, now has the rows of a
// store that was restored since.
func (r *Runner) noteRestored(name string, t *table, former platform.Revision) bool {
	if former.Version == 0 || former.Era == t.followed.Era {
		return false
	}
	_ = r.o.Logger.Log("event", "table restored", "table", name, "era", t.followed.Era, "version", t.followed.Version,
		"former_version", former.Version, "rows", len(t.rows))
	return true
}

// notifyNodes passes the rows of the nodes on, which were current at time at.
func (r *Runner) notifyNodes(at time.Time) {
	r.mu.Lock()
	rows := r.knownNodes()
	r.mu.Unlock()
	if r.o.OnNodesChanged != nil {
		r.o.OnNodesChanged(rows, at)
	}
	r.mu.Lock()
	r.knowsNodes = true
	r.mu.Unlock()
}
