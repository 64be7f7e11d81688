// Package node puts one node together: the filter chain for callers, the owner of groups
// and the controllers, over the four edges. It decides nothing itself.
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

// Node is one running node.
type Node struct {
	settings *settings.Settings
	logger   log.Logger
	clock    clock.Clock
	run      string
	started  time.Time

	peers      *quicpeer.Client
	membership *membership.Runner
	config     configSource
	exchange   exchange
	quota      *quota.Runner
	promotion  *promotion.Runner
	owner      *owner.Manager
	owners     *owners
	chain      *filter.Chain
	// drainFor is the time for a graceful stop, a time.Duration, if it was changed since the
	// start; else 0.
	drainFor atomic.Int64
	front    callersPort
	dialer   target.Dialer
	// leases are held for the groups that this node owns; nil where promotions need none.
	leases *lease.Keeper
	// requests is the log of decisions on requests; nil where the front keeps none.
	requests *requestlog.Log
	// fingerprint is that of this process's certificate; empty where an authority signs it.
	fingerprint string
	// heldTerms is true for targets of which evidence.Options.HeldTerms is true.
	heldTerms bool
	// cancel cancels a session's statement; nil where the protocol has no cancellation.
	cancel  func(pid, secret uint32) bool
	server  *quicpeer.Server
	drained chan struct{}
}

// configSource is where the live configuration comes from.
type configSource interface {
	fleet.Source
	// Version is 0 before the first configuration arrived.
	Version() uint64
	// Fresh reports whether the configuration may be relied on.
	Fresh() bool
	Subscribe(func(*fleet.Config))
	Run(ctx context.Context) error
	Vars() expvar.Var
}

// exchange is how nodes tell each other of configurations.
type exchange struct {
	// attach returns what answers to probes carry, heard takes it in.
	attach func() []byte
	heard  func(node string, attached []byte, sentAt time.Time)
	// fetch answers peer.KindConfig.
	fetch peer.ServeFunc
}

// callersPort is where callers connect.
type callersPort interface {
	Serve(ctx context.Context, listener net.Listener) error
	// Drain ends the sessions in an orderly way.
	Drain(ctx context.Context) error
	// Sweep ends the sessions of withdrawn keys.
	Sweep()
	Vars() *expvar.Map
	// Refusals counts refusals by code.
	Refusals() *expvar.Map
}

// Run runs a node until ctx ends and its graceful stop is done.
func Run(ctx context.Context, s *settings.Settings, logger log.Logger) error {
	n := &Node{
		settings: s,
		logger:   logger,
		clock:    clock.Wall{},
		run:      newRun(),
		started:  time.Now(),
		drained:  make(chan struct{}),
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

// newRun returns a random name for this start of the process.
func newRun() string {
	var b [6]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// sockets are what a node hears on.
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

// assemble builds every part; nothing runs yet.
func (n *Node) assemble(sockets *sockets) error {
	s := n.settings
	tlsPeers, err := quicpeer.LoadTLS(s.Peers.Certificate, s.Peers.Key, s.Peers.Authority)
	if err != nil {
		return err
	}
	n.peers = quicpeer.NewClient(tlsPeers, sockets.calls, n.clock, n.delayTo)
	store := httpclient.New(s.Platform.URL, nil)
	n.dialer = pgtarget.New(s.Targets.User, s.Targets.Password, s.Node.Name)
	n.assembleState(store)
	n.assembleOwner(store)
	if err := n.assembleFront(); err != nil {
		return err
	}
	n.server = quicpeer.NewServer(s.Node.Name, tlsPeers, n.clock, n.owner)
	n.handleCalls()
	return nil
}

func (n *Node) self() platform.VM {
	return platform.VM{
		Name:    n.settings.Node.Name,
		Address: n.settings.Peers.Address,
		Domain:  n.settings.Node.Domain,
		State:   platform.VMLive,

		Fingerprint: n.fingerprint,
	}
}

// assembleState builds membership, configuration and quota.
func (n *Node) assembleState(store platform.Platform) {
	s := n.settings
	n.assembleMembership(store, 0)
	config := configuration.New(configuration.Options{
		Platform:   store,
		Peers:      n.peers,
		Nodes:      n.listedNodes,
		Self:       s.Node.Name,
		Deployment: s.Node.Deployment,
		Clock:      n.clock,
		Logger:     n.logger,
		Random:     mathrand.New(mathrand.NewPCG(seed(), seed())),
	})
	n.config = config
	n.exchange = reportExchange(config)
	n.assembleQuota()
}

func (n *Node) assembleMembership(list platform.VMs, listEvery time.Duration) {
	n.membership = membership.New(membership.Options{
		Self:          n.self(),
		Platform:      list,
		Peers:         n.peers,
		Clock:         n.clock,
		Logger:        n.logger,
		ListInterval:  listEvery,
		ConfigVersion: func() uint64 { return n.config.Version() },
		Attachment:    func() []byte { return n.exchange.attach() },
		OnAttachment: func(node string, attached []byte, sentAt time.Time) {
			n.exchange.heard(node, attached, sentAt)
		},
	})
	n.peers.OnLost(n.membership.LinkLost)
}

func (n *Node) assembleQuota() {
	n.quota = quota.New(quota.Options{
		Self:      n.settings.Node.Name,
		Peers:     n.peers,
		View:      n.membership.View,
		Config:    n.config,
		Clock:     n.clock,
		Suspended: clock.Suspended,
		Logger:    n.logger,
	})
}

// assembleOwner builds the owner of groups and what orders promotions.
func (n *Node) assembleOwner(store promotion.Store) {
	s := n.settings
	n.promotion = promotion.New(promotion.Options{
		Self:        s.Node.Name,
		Domain:      s.Node.Domain,
		Incarnation: n.run,
		Deployment:  s.Node.Deployment,
		Settle:      evidence.MaxObservationAge,
		HeldTerms:   n.heldTerms,
		Lease:       n.promotionLease(),
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
		Self:            s.Node.Name,
		Domain:          s.Node.Domain,
		Dialer:          n.dialer,
		Clock:           n.clock,
		Suspended:       clock.Suspended,
		Config:          n.config,
		Logger:          n.logger,
		Scheduling:      schedule.Policy(s.Policy.Scheduling),
		Reads:           choose.Policy(s.Policy.Reads),
		Split:           s.Policy.Split,
		HeldTerms:       n.heldTerms,
		RefuseInGap:     n.heldTerms,
		Idempotent:      runIdempotent,
		IdempotentBegin: runIdempotentBegin,
		Observe:         n.promotion.Observe,
		Unreachable:     n.promotion.Unreachable,
		Sole:            n.promotion.IsSoleOrderer,
	})
	n.owners = newOwners(n)
}

// promotionLease returns what guards promotions, nil where they need no lease.
func (n *Node) promotionLease() promotion.Lease {
	if n.leases == nil {
		return nil
	}
	return n.leases
}

// seed draws a seed for pauses and jitter.
func seed() uint64 { return mathrand.Uint64() }

// serve runs every part until ctx ends, then stops gracefully.
func (n *Node) serve(ctx context.Context, sockets *sockets, parts ...part) error {
	// The parts outlive ctx: they serve what is under way during the stop.
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, run := errgroup.WithContext(run)
	group.Go(func() error { return n.membership.Run(run) })
	group.Go(func() error { return ignoreCanceled(n.config.Run(run)) })
	group.Go(func() error { return n.quota.Run(run) })
	group.Go(func() error { return n.promotion.Run(run) })
	group.Go(func() error { return n.owners.run(run) })
	group.Go(func() error { return n.server.Serve(run, sockets.peers) })
	group.Go(func() error { return n.serveOps(run, sockets.ops) })
	group.Go(func() error { return n.serveCallers(run) })
	for _, p := range parts {
		group.Go(func() error { return p(run) })
	}
	n.config.Subscribe(func(*fleet.Config) {
		n.quota.Wake()
		n.front.Sweep()
	})
	group.Go(func() error {
		defer cancel()
		select {
		case <-ctx.Done():
			n.stop(context.WithoutCancel(ctx))
		case <-run.Done():
		}
		return nil
	})
	err := group.Wait()
	_ = n.peers.Close()
	return err
}

func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
