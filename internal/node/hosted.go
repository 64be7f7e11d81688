package node

import (
	"context"
	"expvar"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"

	"crocusyoke/internal/catalog"
	"crocusyoke/internal/clock"
	"crocusyoke/internal/controller/membership"
	"crocusyoke/internal/controller/promotion"
	"crocusyoke/internal/controller/reader"
	"crocusyoke/internal/filter"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/front"
	"crocusyoke/internal/ownership"
	"crocusyoke/internal/peer"
	"crocusyoke/internal/peer/quicpeer"
	"crocusyoke/internal/platform"
	"crocusyoke/internal/requestlog"
	runcatalog "crocusyoke/internal/run/catalog"
	"crocusyoke/internal/run/lease"
	"crocusyoke/internal/run/register"
	"crocusyoke/internal/settings"
	"crocusyoke/internal/target"
)

// HostedStore is the part of the platform's store that a hosted node uses.
type HostedStore interface {
	register.Table
	platform.Objects
	platform.Feed
	// OnNewEra registers f to be called when a response has a higher era than all before. The era
	// counts how often the store was restored from a copy. f must not block.
	OnNewEra(f func(era uint64))
}

// HostedOptions holds the settings and dependencies of a hosted node. A hosted node runs on a
// platform that publishes configuration, targets and nodes in feeds. Nodes order promotions of
// targets there too, but the platform carries them out.
type HostedOptions struct {
	Settings *settings.Settings
	Store    HostedStore
	// StoreCalls holds the calls to Store, counted by kind; it may be nil.
	StoreCalls expvar.Var
	Decoder    catalog.Decoder
	// ConfigurationKey is the key of the row that holds the configuration.
	ConfigurationKey string
	// EvacuationPrefix is what the keys of the rows start with that evacuate a failure domain each.
	EvacuationPrefix string
	// NewDialer returns the dialer of the targets. The dialer takes the fence that it sends with
	// a promotion from leases.
	NewDialer func(leases *lease.Keeper) target.Dialer
	// NewCodec returns a codec of the callers' protocol for a connection. Rollback is the
	// statement of that protocol that ends a transaction.
	NewCodec func(net.Conn) front.Codec
	Rollback string
	// FirstStart is true if the whole fleet starts for the first time.
	FirstStart bool
	// ReadyAddress and ReadyPath are the address and the HTTP path of the readiness endpoint
	// that the platform queries.
	ReadyAddress string
	ReadyPath    string
	// Reload reads the settings again. It is called for each value received from Reloads and
	// whenever HasChanged reports that the settings have changed since its last call.
	Reload     func() (*settings.Settings, error)
	Reloads    <-chan os.Signal
	HasChanged func() bool
	Logger     log.Logger
}

// restoreWait is lease.Options.RestoreWait: a lease lasts lease.TTL, and a promotion that was called at
// its end takes effect promotion.HeldMaxPromoteDelay later.
const restoreWait = lease.TTL + promotion.HeldMaxPromoteDelay + time.Second

// settingsPollInterval is the interval between checks for changed settings.
const settingsPollInterval = 2 * time.Second

// RunHosted runs a hosted node until ctx ends and its graceful stop is done.
func RunHosted(ctx context.Context, h *HostedOptions) error {
	n := &Node{
		settings:     h.Settings,
		logger:       h.Logger,
		clock:        clock.Wall{},
		incarnation:  newIncarnation(),
		started:      time.Now(),
		drainStarted: make(chan struct{}),
	}
	sockets, err := n.listen()
	if err != nil {
		return Error.Wrap(err)
	}
	ready, err := net.Listen("tcp", h.ReadyAddress)
	if err != nil {
		return Error.Wrap(err)
	}
	tasks, err := n.assembleHosted(h, sockets)
	if err != nil {
		return Error.Wrap(err)
	}
	tasks = append(tasks,
		func(ctx context.Context) error { return n.serveReadiness(ctx, ready, h.ReadyPath) },
		func(ctx context.Context) error { return n.watchSettings(ctx, h) })
	_ = n.logger.Log("event", "started", "node", n.settings.Node.Name, "run", n.incarnation, "domain", n.settings.Node.Domain)
	err = n.serve(ctx, sockets, tasks...)
	n.requests.Flush()
	_ = n.logger.Log("event", "stopped", "node", n.settings.Node.Name, "err", err)
	return err
}

// task is a background function of a node. It runs until its context ends.
type task func(ctx context.Context) error

// assembleHosted builds all components of a hosted node without starting them. It returns the
// tasks that only hosted nodes run.
func (n *Node) assembleHosted(h *HostedOptions, sockets *sockets) ([]task, error) {
	tls, err := quicpeer.EphemeralTLS(n.settings.Node.Name, quicpeer.RoleNode)
	if err != nil {
		return nil, err
	}
	n.fingerprint = quicpeer.Fingerprint(tls)
	n.storeCalls = h.StoreCalls
	n.peers = n.newPeerClient(tls, sockets.calls)
	n.peers.Accept = n.canAnswerAt
	n.peers.SeparateCalls = func() bool { return len(n.membership.View().Members) > reader.MaxAllReaders }
	n.leases = lease.New(lease.Options{
		Self:        n.settings.Node.Name,
		Incarnation: n.incarnation,
		Table:       h.Store,
		Clock:       n.clock,
		Suspended:   clock.SuspendedTime,
		RestoreWait: restoreWait,
		Logger:      n.logger,
	})
	n.assembleMembership(nil)
	config := n.newCatalog(h)
	n.config, n.polls, n.targetLife = config, config, config.TargetLife
	n.membership.Subscribe(func(v *membership.View) { config.SetNodes(readerNodes(v)) })
	nodes := n.newRegister(h, config)
	n.exchange = newCatalogExchange(n, config)
	n.assembleQuota()
	n.dialer = h.NewDialer(n.leases)
	n.heldTerms = true
	n.assembleOwner(h.Store)
	h.Store.OnNewEra(func(era uint64) {
		config.ObserveEra(era, "store")
		n.leases.ObserveEra(era)
		n.promotion.ObserveEra(era)
	})
	n.requests = requestlog.New(n.logger)
	n.assembleHostedFront(h)
	n.server = n.newPeerServer(tls)
	n.server.Allow = n.isPeerAllowed
	n.server.ResetKey = quicpeer.DeriveResetKey(n.settings.Node.Name, n.settings.Peers.Address)
	n.registerHandlers()
	return []task{
		func(ctx context.Context) error { return nodes.Run(ctx, n.isOwnRowCurrent) },
		n.leases.Run,
		n.requests.Run,
	}, nil
}

// readerNodes returns the live nodes of a View, from which the readers of the tables are chosen.
func readerNodes(v *membership.View) []reader.Node {
	live := v.Live()
	nodes := make([]reader.Node, len(live))
	for i, m := range live {
		nodes[i] = reader.Node{Name: m.Name, Domain: m.Domain}
	}
	return nodes
}

func (n *Node) newRegister(h *HostedOptions, config *runcatalog.Runner) *register.Register {
	return register.New(register.Options{
		Self:           n.self(),
		Table:          h.Store,
		Clock:          n.clock,
		Logger:         n.logger,
		Random:         mathrand.New(mathrand.NewPCG(seed(), seed())),
		RemovableNodes: n.nodesToRemove,
		KnownRow:       config.NodeRow,
		OnAnswer:       config.ObserveStoreAnswer,
		FirstStart:     h.FirstStart,
	})
}

func (n *Node) newCatalog(h *HostedOptions) *runcatalog.Runner {
	return runcatalog.New(runcatalog.Options{
		Feed:             h.Store,
		Decoder:          h.Decoder,
		ConfigurationKey: h.ConfigurationKey,
		EvacuationPrefix: h.EvacuationPrefix,
		Self:             n.settings.Node.Name,
		FirstStart:       h.FirstStart,
		Peers:            n.peers,
		Clock:            n.clock,
		Logger:           n.logger,
		Random:           mathrand.New(mathrand.NewPCG(seed(), seed())),
		Contacts:         n.membership.Contacts,
		OnNodesChanged:   func(rows []platform.Row, at time.Time) { n.membership.SetListed(register.VMs(rows), at) },
	})
}

// peerUpdate is what a hosted node tells its peers about itself. It is attached to answers to
// probes and sent as the payload of peer.KindUnfit.
type peerUpdate struct {
	// Version is the version of the last change that the node knows of the platform's tables of
	// configuration and targets. It is not set in payloads of peer.KindUnfit.
	Version uint64 `cbor:"1,keyasint"`
	// Unfit names the groups that the node is unfit to own, because it can't reach a target that
	// may be the group's primary while peers can.
	Unfit []string `cbor:"2,keyasint,omitempty"`
	// Knowledge is what the node knows of the platform's tables. It is not set in payloads of
	// peer.KindUnfit.
	Knowledge runcatalog.Knowledge `cbor:"3,keyasint"`
}

// newCatalogExchange returns an exchange that attaches a peerUpdate to this node's answers to
// probes. Peers that know only lower row versions can fetch a copy of the tables of configuration
// and targets from this node.
func newCatalogExchange(n *Node, config *runcatalog.Runner) configExchange {
	return configExchange{
		attach: func() []byte {
			body, err := cbor.Marshal(peerUpdate{
				Version: config.Version(), Unfit: n.owners.unfitGroups(), Knowledge: config.Knowledge(),
			})
			if err != nil {
				return nil
			}
			return body
		},
		receive: func(node string, attached []byte, sentAt time.Time) {
			var update peerUpdate
			if cbor.Unmarshal(attached, &update) != nil {
				return
			}
			n.owners.receiveUnfit(node, update.Unfit)
			if m, ok := n.membership.View().Member(node); ok {
				config.ObservePeer(context.Background(), m.Address, update.Knowledge, sentAt)
			}
		},
		fetch: func(_ context.Context, _ string, payload []byte) (any, error) {
			var request runcatalog.FetchRequest
			if err := cbor.Unmarshal(payload, &request); err != nil {
				return nil, err
			}
			return config.AnswerFetch(request)
		},
		news: n.newsHandler(config),
	}
}

// newsHandler returns the handler of calls of peer.KindNews, by which a listed node tells of a
// configuration that it has just taken.
func (n *Node) newsHandler(config *runcatalog.Runner) peer.ServeFunc {
	return func(_ context.Context, from string, payload []byte) (any, error) {
		var k runcatalog.Knowledge
		if err := cbor.Unmarshal(payload, &k); err != nil {
			return nil, err
		}
		if m, ok := n.membership.View().Member(from); ok {
			config.ObserveAnnouncement(context.Background(), m.Address, k)
		}
		return struct{}{}, nil
	}
}

func (n *Node) assembleHostedFront(h *HostedOptions) {
	n.chain = filter.New(filter.Options{
		Config:        n.config,
		Fresh:         n.config.Fresh,
		Quota:         n.quota,
		Clock:         n.clock,
		Random:        mathrand.New(mathrand.NewPCG(seed(), seed())),
		Local:         n.owner,
		Sessions:      n.peers,
		OwnWritesOnly: true,
		Owners:        n.owners,
		Readers:       n.owners.readers,
	})
	n.front = front.New(front.Options{
		Node:           n.settings.Node.Name + "." + n.incarnation,
		Config:         n.config,
		Chain:          n.chain,
		EndTransaction: n.chain.Route.End,
		Owner:          n.chain.Route.OwnerOf,
		Auth:           n.chain.Auth,
		Clock:          n.clock,
		Log:            n.requests,
		NewCodec:       h.NewCodec,
		Rollback:       h.Rollback,
		MaxConnections: n.connectionLimit(),
		CustomerShare:  n.settings.Callers.CustomerShare,
		Logger:         n.logger,
		Priorities:     n.settings.Policy.Priorities,
	})
}

// nodesToRemove returns the nodes that are gone and whose rows this node has to remove. Only
// one node, chosen like the owner of a group, removes rows; on all others it returns nil.
func (n *Node) nodesToRemove() []string {
	view := n.membership.View()
	var live []ownership.Node
	for _, m := range view.Live() {
		live = append(live, ownership.Node{Name: m.Name, Domain: m.Domain})
	}
	if ownership.Owner("register", "", live) != n.settings.Node.Name {
		return nil
	}
	var names []string
	for _, m := range view.Members {
		if m.State == membership.Gone && m.Name != n.settings.Node.Name {
			names = append(names, m.Name)
		}
	}
	return names
}

// serveReadiness serves the endpoint at which the platform asks whether it may send callers to
// this node.
func (n *Node) serveReadiness(ctx context.Context, listener net.Listener, path string) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, n.handleHealth)
	return n.serveHTTP(ctx, "readiness", listener, mux)
}

// watchSettings reloads the settings at each value from h.Reloads and when they have changed,
// until ctx ends. Only the timeout of the graceful stop takes effect while the node runs. If
// the settings can't be read, the current ones stay in effect.
func (n *Node) watchSettings(ctx context.Context, h *HostedOptions) error {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.Reloads:
		case <-ticker.C:
			if !h.HasChanged() {
				continue
			}
		}
		s, err := h.Reload()
		_ = n.logger.Log("event", "reload", "err", err)
		if err == nil {
			n.drainTimeout.Store(int64(s.Node.Drain))
		}
	}
}

// coldHolder returns owner.Options.ColdHolder: who holds the lease of a group may use its cold targets.
func (n *Node) coldHolder() func(group string) (fence uint64, held bool) {
	if n.leases == nil {
		return nil
	}
	return func(group string) (uint64, bool) {
		fence, err := n.leases.Fence(group)
		return fence, err == nil
	}
}

// setLeaseWanted starts or stops keeping the lease of a group. It does nothing on nodes that
// use no leases.
func (n *Node) setLeaseWanted(group string, wanted bool) {
	if n.leases != nil {
		n.leases.SetWanted(group, wanted)
	}
}

var _ fleet.Source = (*runcatalog.Runner)(nil)
