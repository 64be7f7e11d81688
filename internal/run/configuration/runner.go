// Package configuration runs the configuration controller. One row of the platform's table
// stands for the current configuration: its value states the version of the configuration and
// names the object that holds the configuration itself, the body. The package polls the row,
// fetches bodies from the store or from peers, publishes the versions that the controller
// puts in force, and writes the newest one back to a store that was restored from a copy. All
// decisions are the controller's.
package configuration

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"crocusyoke/internal/clock"
	controller "crocusyoke/internal/controller/configuration"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/peer"
	"crocusyoke/internal/platform"
)

// Error is the class of this package's errors.
var Error = errs.Class("configuration")

// Options configures a Runner. All fields except Random and OnNewEra are required.
type Options struct {
	Platform platform.Platform
	Peers    peer.Caller
	// Nodes returns the platform's list as last read, including VMs that are leaving.
	Nodes func() []platform.VM
	// Self is this node's name in the list.
	Self string
	// Deployment is the deployment whose row is read.
	Deployment string
	Clock      clock.Clock
	Logger     log.Logger
	// Random provides jitter, so that nodes do not poll at the same time; nil uses the
	// global source.
	Random *rand.Rand
	// OnNewEra is called with the store's era after each restore of the store that the node learns of; nil if
	// nothing depends on it.
	OnNewEra func(era uint64)
}

// Runner keeps the configuration of one node up to date. It implements fleet.Source.
type Runner struct {
	options  Options
	counters *counters

	// snapshot is read by every request without a lock; update replaces it after each
	// change of state.
	snapshot atomic.Pointer[snapshot]

	mu          sync.Mutex
	state       *controller.State
	subscribers []func(*fleet.Config)
	// publishMu serializes the calls of subscribers and guards lastRejected.
	publishMu sync.Mutex
	// lastRejected is the highest version whose rejection was logged.
	lastRejected uint64
	// storeEra is the era of the store's newest answer; 0 if it stated none. Only the polling goroutine uses it.
	storeEra uint64
	// wakeFetcher wakes the fetching goroutine.
	wakeFetcher chan struct{}
}

// snapshot is an immutable copy of the part of the controller's state that requests need.
type snapshot struct {
	config    *fleet.Config
	freshness controller.FreshnessBasis
}

// New returns a Runner without a configuration.
func New(options Options) *Runner {
	r := &Runner{
		options:     options,
		counters:    newCounters(),
		state:       controller.New(options.Self, options.Clock.Now()),
		wakeFetcher: make(chan struct{}, 1),
	}
	r.snapshot.Store(&snapshot{})
	return r
}

// update applies change to the controller's state, then renews the snapshot.
func (r *Runner) update(change func(s *controller.State)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r.state)
	r.snapshot.Store(&snapshot{config: r.state.Config(), freshness: r.state.FreshnessBasis()})
}

// Run polls and fetches until ctx ends, and returns the error of ctx.
func (r *Runner) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.pollRow(ctx) })
	group.Go(func() error { return r.fetchAll(ctx) })
	return group.Wait()
}

// Current implements fleet.Source.
func (r *Runner) Current() *fleet.Config { return r.snapshot.Load().config }

// Version returns the version in force, or 0 if there is none.
func (r *Runner) Version() uint64 {
	config := r.Current()
	if config == nil {
		return 0
	}
	return config.Version
}

// Fresh reports whether the node has every version that was accepted longer ago than the
// controller's FreshnessBound. A version is accepted once a majority of the listed nodes
// have it, or a later one, in force. Requests that need a key are refused while Fresh returns
// false.
func (r *Runner) Fresh() bool {
	v := r.snapshot.Load()
	return v.config != nil && v.freshness.IsFresh(r.options.Clock.Now())
}

// Report returns the report to attach to the response to a peer's probe. Callers must call
// it immediately before sending, because the report contains ages as of the call.
func (r *Runner) Report() controller.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Report(r.options.Clock.Now())
}

// HandleReport processes the report in node's response to a probe that was sent at sentAt.
// The caller must read sentAt from this node's clock before it sends the probe: evidence in
// the report may then appear older than it is, but never newer.
func (r *Runner) HandleReport(node string, report controller.Report, sentAt time.Time) {
	names := r.listedNames()
	r.update(func(s *controller.State) {
		s.SetListed(names)
		s.OnReport(node, report, sentAt)
	})
	r.wakeUp()
}

// Subscribe registers publish to be called, in order, with each Config that comes into
// force from now on, and calls it with the Config in force if there is one. publish must
// not call Subscribe.
func (r *Runner) Subscribe(publish func(*fleet.Config)) {
	r.publishMu.Lock()
	defer r.publishMu.Unlock()
	r.mu.Lock()
	r.subscribers = append(r.subscribers, publish)
	config := r.state.Config()
	r.mu.Unlock()
	if config != nil {
		publish(config)
	}
}

// FetchRequest is the request of peer.KindConfig.
type FetchRequest struct {
	// Version is the lowest version that the requester accepts.
	Version uint64 `cbor:"1,keyasint"`
}

// FetchReply is the response to a FetchRequest. It contains the version in force.
type FetchReply struct {
	Version uint64            `cbor:"1,keyasint"`
	Record  controller.Record `cbor:"2,keyasint"`
	Body    []byte            `cbor:"3,keyasint"`
}

// HandleFetch handles peer.KindConfig; it is a peer.ServeFunc. It fails if the version in
// force is lower than the requested one.
func (r *Runner) HandleFetch(_ context.Context, from string, payload []byte) (any, error) {
	var request FetchRequest
	if err := cbor.Unmarshal(payload, &request); err != nil {
		return nil, Error.New("fetch from peer %s: %w", from, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	version, record, body := r.state.Body()
	if version < request.Version {
		return nil, Error.New("fetch from peer %s: version %d was requested, but version %d is in force", from, request.Version, version)
	}
	return FetchReply{version, record, body}, nil
}

// listedNames returns the names of the nodes on the platform's list.
func (r *Runner) listedNames() []string {
	vms := r.options.Nodes()
	names := make([]string, len(vms))
	for i, vm := range vms {
		names[i] = vm.Name
	}
	return names
}

func (r *Runner) wakeUp() {
	select {
	case r.wakeFetcher <- struct{}{}:
	default:
	}
}
