// Package node assembles one proxy node: the filter chain for callers, the owner of groups and
// the controllers, connected to callers, peers, targets and the platform. It makes no decisions
// itself.
package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"expvar"
	mathrand "math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/filter"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/owner"
	"crocusyoke/internal/owner/choose"
	"crocusyoke/internal/owner/coldstart"
	"crocusyoke/internal/owner/evidence"
	"crocusyoke/internal/owner/schedule"
	"crocusyoke/internal/peer"
	"crocusyoke/internal/peer/quicpeer"
	"crocusyoke/internal/platform"
	"crocusyoke/internal/platform/httpclient"
	"crocusyoke/internal/requestlog"
	"crocusyoke/internal/run/configuration"
	"crocusyoke/internal/run/lease"
	"crocusyoke/internal/run/membership"
	"crocusyoke/internal/run/promotion"
	"crocusyoke/internal/run/quota"
	"crocusyoke/internal/settings"
	"crocusyoke/internal/target"
	"crocusyoke/internal/target/pgtarget"
)

// Error is the class of errors of this package.
var Error = errs.Class("node")

// Node is one running node of the proxy.
type Node struct {
	settings    *settings.Settings
	logger      log.Logger
	clock       clock.Clock
	incarnation string
	started     time.Time

	peers      *quicpeer.Client
	membership *membership.Runner
	config     configSource
	exchange   configExchange
	quota      *quota.Runner
	// storeCalls holds a hosted node's calls to the store, counted by kind.
	storeCalls expvar.Var
	promotion  *promotion.Runner
	owner      *owner.Manager
	owners     *ownerTracker
	chain      *filter.Chain
	// drainTimeout is the timeout of a graceful stop, in nanoseconds, if it was changed after the
	// start; 0 means that the timeout in settings applies.
	drainTimeout atomic.Int64
	front        callerServer
	dialer       target.Dialer
	// leases keeps the leases of the groups that this node owns; nil if promotions need no lease.
	leases *lease.Keeper
	// requests is the log of decisions on requests; nil if the callers' server keeps no such log.
	requests *requestlog.Log
	// fingerprint identifies this process's certificate; empty if an authority signed the
	// certificate.
	fingerprint string
	// heldTerms is true if the targets adopt a term only until they restart or are released (see
	// evidence.Options.HeldTerms).
	heldTerms bool
	// cancel cancels a session's statement and reports whether this node holds that session; nil
	// if the callers' protocol has no cancellation.
	cancel func(pid, secret uint32) bool
	server *quicpeer.Server
	// polls is told the results of polls of targets; nil if the list of targets alone decides which
	// are members of their groups.
	polls pollObserver
	// targetLife returns what a target's entries tell of its process; nil if targets have no entries of their own.
	targetLife func(targetName string) coldstart.Life
	// pulse tells whether the process did not run right before a stop; nil before serve.
	pulse *pulse
	// drainStarted is closed when the graceful stop begins.
	drainStarted chan struct{}
}

// configSource provides the configuration in force.
type configSource interface {
	fleet.Source
	// Version returns the version of the newest configuration data that the source has, or 0
	// before the first configuration has arrived. It may differ from fleet.Config.Version, the
	// version that operators are shown.
	Version() uint64
	// Fresh reports whether the configuration is current enough to be relied on.
	Fresh() bool
	Subscribe(func(*fleet.Config))
	Run(ctx context.Context) error
	Vars() expvar.Var
}

// configExchange holds the functions by which nodes exchange configurations.
type configExchange struct {
	// attach returns the data that is attached to this node's answers to probes.
	attach func() []byte
	// receive processes the data that node attached to its answer to a probe sent at sentAt.
	receive func(node string, attached []byte, sentAt time.Time)
	// fetch handles calls of peer.KindConfig.
	fetch peer.ServeFunc
	// news handles calls of peer.KindNews; nil if nodes send none.
	news peer.ServeFunc
}

// pollObserver is told whether targets answer this node's polls.
type pollObserver interface {
	ObservePoll(targetName string, sentAt time.Time, answered bool)
}

// callerServer is the server that callers connect to.
type callerServer interface {
	Serve(ctx context.Context, listener net.Listener) error
	// Drain stops accepting connections and ends the sessions gracefully.
	Drain(ctx context.Context) error
	// CloseWithdrawn ends the sessions of callers that logged in with a key that has since been withdrawn.
	CloseWithdrawn()
	Vars() *expvar.Map
	// Refusals returns the number of refusals by code.
	Refusals() *expvar.Map
}

// Run runs a node until ctx ends and its graceful stop is done.
func Run(ctx context.Context, s *settings.Settings, logger log.Logger) error {
	n := &Node{
		settings:     s,
		logger:       logger,
		clock:        clock.Wall{},
		incarnation:  newIncarnation(),
		started:      time.Now(),
		drainStarted: make(chan struct{}),
	}
	sockets, err := n.listen()
	if err != nil {
		return Error.Wrap(err)
	}
	if err := n.assemble(sockets); err != nil {
		return Error.Wrap(err)
	}
	_ = logger.Log("msg", "started", "node", s.Node.Name, "domain", s.Node.Domain, "callers", s.Callers.Address, "peers", s.Peers.Address)
	return n.serve(ctx, sockets)
}

// newIncarnation returns a random identifier that distinguishes this process from earlier and
// later ones of the same node. The status report and the log call it "run".
func newIncarnation() string {
	var b [6]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// sockets holds a node's sockets: peers accepts calls from other nodes, calls is used for calls
// to them, and ops serves HTTP to operators.
type sockets struct {
	peers net.PacketConn
	calls net.PacketConn
	ops   net.Listener
}

func (n *Node) listen() (*sockets, error) {
	var group errs.Group
	peers, err := net.ListenPacket("udp", n.settings.Peers.Address)
	group.Add(err)
	host, _, err := net.SplitHostPort(n.settings.Peers.Address)
	group.Add(err)
	calls, err := net.ListenPacket("udp", net.JoinHostPort(host, "0"))
	group.Add(err)
	ops, err := net.Listen("tcp", n.settings.Ops.Address)
	group.Add(err)
	return &sockets{peers: peers, calls: calls, ops: ops}, group.Err()
}

// assemble builds all components of the node without starting them.
func (n *Node) assemble(sockets *sockets) error {
	s := n.settings
	tlsPeers, err := quicpeer.LoadTLS(s.Peers.Certificate, s.Peers.Key, s.Peers.Authority)
	if err != nil {
		return err
	}
	n.peers = n.newPeerClient(tlsPeers, sockets.calls)
	store := httpclient.New(s.Platform.URL, nil)
	n.dialer = pgtarget.New(s.Targets.User, s.Targets.Password, s.Node.Name)
	n.assembleState(store)
	n.assembleOwner(store)
	if err := n.assembleFront(); err != nil {
		return err
	}
	n.assemblePeers(tlsPeers)
	n.registerHandlers()
	return nil
}

func (n *Node) self() platform.VM {
	return platform.VM{
		Name:    n.settings.Node.Name,
		Address: n.settings.Peers.Address,
		Domain:  n.settings.Node.Domain,
		State:   platform.VMLive,

		Fingerprint: n.fingerprint,
		Capacity:    n.settings.Node.Capacity,
	}
}

// assembleState builds the membership, configuration and quota components.
func (n *Node) assembleState(store platform.Platform) {
	s := n.settings
	n.assembleMembership(store)
	config := configuration.New(configuration.Options{
		Platform:   store,
		Peers:      n.peers,
		Nodes:      n.listedNodes,
		Self:       s.Node.Name,
		Deployment: s.Node.Deployment,
		Clock:      n.clock,
		Logger:     n.logger,
		Random:     mathrand.New(mathrand.NewPCG(seed(), seed())),
		OnNewEra:   func(era uint64) { n.promotion.ObserveEra(era) },
	})
	n.config, n.exchange = config, newReportExchange(config)
	n.assembleQuota()
}

// assembleMembership builds the membership component. list is nil if changes of the list are passed
// to membership.Runner.SetListed.
func (n *Node) assembleMembership(list platform.VMs) {
	n.membership = membership.New(membership.Options{
		Self:          n.self(),
		Platform:      list,
		Peers:         n.peers,
		Clock:         n.clock,
		Logger:        n.logger,
		ConfigVersion: func() uint64 { return n.config.Version() },
		Attachment:    func() []byte { return n.exchange.attach() },
		OnAttachment: func(node string, attached []byte, sentAt time.Time) {
			n.exchange.receive(node, attached, sentAt)
		},
	})
	n.peers.OnConnectionLost(n.membership.LinkLost)
}

func (n *Node) assembleQuota() {
	n.quota = quota.New(quota.Options{
		Self:      n.settings.Node.Name,
		Peers:     n.peers,
		View:      n.membership.View,
		Config:    n.config,
		Clock:     n.clock,
		Suspended: clock.SuspendedTime,
		Logger:    n.logger,
	})
}

// assembleOwner builds two components: n.promotion, which orders promotions, and n.owner, which
// serves the groups that this node owns.
func (n *Node) assembleOwner(store promotion.Store) {
	s := n.settings
	n.promotion = promotion.New(promotion.Options{
		Self:        s.Node.Name,
		Domain:      s.Node.Domain,
		Incarnation: n.incarnation,
		Deployment:  s.Node.Deployment,
		Settle:      evidence.MaxObservationAge,
		HeldTerms:   n.heldTerms,
		Lease:       n.promotionLease(),
		Holding:     n.expectHold,
		Held:        n.observeHeld,
		Dialer:      n.dialer,
		Peers:       n.peers,
		Nodes:       n.otherNodes,
		Table:       store,
		Config:      n.config,
		Clock:       n.clock,
		Logger:      n.logger,
		Seed:        seed(),
	})
	n.owner = owner.New(owner.Options{
		Self:                   s.Node.Name,
		Domain:                 s.Node.Domain,
		Dialer:                 n.dialer,
		Clock:                  n.clock,
		Suspended:              clock.SuspendedTime,
		Config:                 n.config,
		Logger:                 n.logger,
		Scheduling:             schedule.Policy(s.Policy.Scheduling),
		Reads:                  choose.Policy(s.Policy.Reads),
		Split:                  s.Policy.Split,
		Priorities:             s.Policy.Priorities,
		EvacuationBound:        s.Places.EvacuationBound.Std(),
		HeldTerms:              n.heldTerms,
		FailFastWithoutPrimary: n.heldTerms,
		Idempotent:             runIdempotent,
		IdempotentBegin:        runIdempotentBegin,
		Observe:                n.observePoll,
		Declined:               n.observeDeclinedPoll,
		Unreachable:            n.observeFailedPoll,
		SoleOrderer:            n.promotion.IsSoleOrderer,
		Regions:                s.Places.Regions,
		EvenLoad:               s.Policy.EvenLoad,
		Cold:                   coldstart.Bound{Over: s.Cold.Over, Slack: s.Cold.Slack},
		ColdHolder:             n.coldHolder(),
		TargetLife:             n.targetLife,
		HasReader:              func(group, domain string) bool { return n.owners.readers.hasReader(group, domain) },
	})
	n.owners = newOwnerTracker(n)
}

// promotionLease returns the leases that guard promotions, or nil if promotions need no lease.
// A nil *lease.Keeper must not be returned, since the interface would then not be nil.
func (n *Node) promotionLease() promotion.Lease {
	if n.leases == nil {
		return nil
	}
	return n.leases
}

// seed returns a random seed for generators of pauses and jitter.
func seed() uint64 { return mathrand.Uint64() }

// serve runs all components and tasks until ctx ends, then stops the node gracefully.
func (n *Node) serve(ctx context.Context, sockets *sockets, tasks ...task) error {
	// The components outlive ctx, because they serve requests in flight during the stop.
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, runCtx := errgroup.WithContext(runCtx)
	n.pulse = newPulse(n.clock)
	group.Go(func() error { return n.pulse.run(runCtx) })
	group.Go(func() error { return n.membership.Run(runCtx) })
	group.Go(func() error { return ignoreCanceled(n.config.Run(runCtx)) })
	group.Go(func() error { return n.quota.Run(runCtx) })
	group.Go(func() error { return n.promotion.Run(runCtx) })
	group.Go(func() error { return n.owners.run(runCtx) })
	group.Go(func() error { return n.server.Serve(runCtx, sockets.peers) })
	group.Go(func() error { return n.serveOps(runCtx, sockets.ops) })
	group.Go(func() error { return n.serveCallers(runCtx) })
	for _, runTask := range tasks {
		group.Go(func() error { return runTask(runCtx) })
	}
	n.config.Subscribe(func(*fleet.Config) {
		n.quota.Wake()
		n.front.CloseWithdrawn()
	})
	group.Go(func() error {
		defer cancel()
		select {
		case <-ctx.Done():
			n.stop(context.WithoutCancel(ctx))
		case <-runCtx.Done():
		}
		return nil
	})
	err := n.awaitTasks(runCtx, group)
	_ = n.peers.Close()
	return err
}

// taskEndTimeout is how long a node waits for its tasks after their context has ended. It is shorter than
// what the stop leaves of the time until the platform kills the process.
const taskEndTimeout = 200 * time.Millisecond

// awaitTasks waits until all tasks of group have ended, at most for taskEndTimeout after the end of ctx,
// the context of the group. It returns the error that ended ctx, or nil if that was a stop.
func (n *Node) awaitTasks(ctx context.Context, group *errgroup.Group) error {
	ended := make(chan error, 1)
	go func() { ended <- group.Wait() }()
	<-ctx.Done()
	timer := time.NewTimer(taskEndTimeout)
	defer timer.Stop()
	select {
	case err := <-ended:
		return err
	case <-timer.C:
		_ = n.logger.Log("event", "tasks left", "waited", taskEndTimeout)
		return ignoreCanceled(context.Cause(ctx))
	}
}

func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
