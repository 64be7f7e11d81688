package node

import (
	"context"
	"errors"
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
	"crocusyoke/internal/filter"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/front"
	"crocusyoke/internal/ownership"
	"crocusyoke/internal/peer/quicpeer"
	"crocusyoke/internal/platform"
	"crocusyoke/internal/requestlog"
	runcatalog "crocusyoke/internal/run/catalog"
	"crocusyoke/internal/run/lease"
	"crocusyoke/internal/run/register"
	"crocusyoke/internal/settings"
	"crocusyoke/internal/target"
)

// HostedStore is the platform's store as a hosted node uses it.
type HostedStore interface {
	register.Table
	platform.Objects
	platform.Feed
}

// Hosted is a node whose platform keeps configuration, targets and nodes in feeds, and
// orders promotions itself.
type Hosted struct {
	Settings *settings.Settings
	Store    HostedStore
	Decoder  catalog.Decoder
	// ConfigurationKey is the key of the configuration's row.
	ConfigurationKey string
	// Targets returns the way to the targets. Promotions are sent under the fences of
	// leases.
	Targets func(leases *lease.Keeper) target.Dialer
	// NewCodec speaks the callers' protocol; Rollback is its text that ends a transaction.
	NewCodec func(net.Conn) front.Codec
	Rollback string
	// ReadyAddress and ReadyPath are where the platform asks whether the node is ready.
	ReadyAddress string
	ReadyPath    string
	// Reload reads the settings again; it is called on each value of Reloads and whenever
	// Changed reports that they have changed.
	Reload  func() (*settings.Settings, error)
	Reloads <-chan os.Signal
	Changed func() bool
	Logger  log.Logger
}

// changedEvery is the pause between two looks whether the settings have changed.
const changedEvery = 2 * time.Second

// listEvery is the time between two reads of the nodes' rows beside their feed.
const listEvery = 10 * time.Second

// RunHosted runs a hosted node until ctx ends and its graceful stop is done.
func RunHosted(ctx context.Context, h *Hosted) error {
	n := &Node{
		settings: h.Settings,
		logger:   h.Logger,
		clock:    clock.Wall{},
		run:      newRun(),
		started:  time.Now(),
		drained:  make(chan struct{}),
	}
	sockets, err := n.listen()
	if err != nil {
		return Error.Wrap(err)
	}
	ready, err := net.Listen("tcp", h.ReadyAddress)
	if err != nil {
		return Error.Wrap(err)
	}
	parts, err := n.assembleHosted(h, sockets)
	if err != nil {
		return Error.Wrap(err)
	}
	parts = append(parts,
		func(ctx context.Context) error { return n.serveReady(ctx, ready, h.ReadyPath) },
		func(ctx context.Context) error { return n.followSettings(ctx, h) })
	_ = n.logger.Log("event", "started", "node", n.settings.Node.Name, "run", n.run, "domain", n.settings.Node.Domain)
	err = n.serve(ctx, sockets, parts...)
	_ = n.logger.Log("event", "stopped", "node", n.settings.Node.Name, "err", err)
	return err
}

// part is something that runs until its context ends.
type part func(ctx context.Context) error

// assembleHosted builds every part and returns those that a node of another platform does
// not have; nothing runs yet.
func (n *Node) assembleHosted(h *Hosted, sockets *sockets) ([]part, error) {
	tls, err := quicpeer.EphemeralTLS(n.settings.Node.Name, quicpeer.RoleNode)
	if err != nil {
		return nil, err
	}
	n.fingerprint = quicpeer.Fingerprint(tls)
	n.peers = quicpeer.NewClient(tls, sockets.calls, n.clock, n.delayTo)
	n.peers.Accept = n.acceptsAt
	n.leases = lease.New(lease.Options{
		Self:        n.settings.Node.Name,
		Incarnation: n.run,
		Table:       h.Store,
		Clock:       n.clock,
		Suspended:   clock.Suspended,
		Logger:      n.logger,
	})
	nodes := n.newRegister(h)
	n.assembleMembership(nodes, listEvery)
	config := n.newCatalog(h)
	n.config = config
	n.exchange = copyExchange(n, config)
	n.assembleQuota()
	n.dialer = h.Targets(n.leases)
	n.heldTerms = true
	n.assembleOwner(h.Store)
	n.requests = requestlog.New(n.logger)
	n.assembleHostedFront(h)
	n.server = quicpeer.NewServer(n.settings.Node.Name, tls, n.clock, n.owner)
	n.server.Allow = n.allows
	n.server.ResetKey = quicpeer.ResetKeyOf(n.settings.Node.Name, n.settings.Peers.Address)
	n.handleCalls()
	return []part{
		func(ctx context.Context) error { return nodes.Run(ctx, n.selfCurrent) },
		n.leases.Run,
		n.requests.Run,
	}, nil
}

func (n *Node) newRegister(h *Hosted) *register.Register {
	return register.New(register.Options{
		Self:           n.self(),
		Table:          h.Store,
		Clock:          n.clock,
		Logger:         n.logger,
		Random:         mathrand.New(mathrand.NewPCG(seed(), seed())),
		RemovableNodes: n.toRemove,
	})
}

func (n *Node) newCatalog(h *Hosted) *runcatalog.Runner {
	return runcatalog.New(runcatalog.Options{
		Feed:             h.Store,
		Decoder:          h.Decoder,
		ConfigurationKey: h.ConfigurationKey,
		Peers:            n.peers,
		Clock:            n.clock,
		Logger:           n.logger,
		Random:           mathrand.New(mathrand.NewPCG(seed(), seed())),
		OnNodesChanged:   func(rows []platform.Row, at time.Time) { n.membership.SetListed(register.VMs(rows), at) },
	})
}

// news is what answers to probes carry between hosted nodes.
type news struct {
	// Version is how far the node knows the platform's tables.
	Version uint64 `cbor:"1,keyasint"`
	// Unfit names the groups that the node can't serve as their owner.
	Unfit []string `cbor:"2,keyasint,omitempty"`
}

// copyExchange tells peers how far this node knows the platform's tables, and lets them
// take copies.
func copyExchange(n *Node, config *runcatalog.Runner) exchange {
	return exchange{
		attach: func() []byte {
			body, err := cbor.Marshal(news{Version: config.Version(), Unfit: n.owners.unfitGroups()})
			if err != nil {
				return nil
			}
			return body
		},
		heard: func(node string, attached []byte, _ time.Time) {
			var heard news
			if cbor.Unmarshal(attached, &heard) != nil {
				return
			}
			n.owners.heardUnfit(node, heard.Unfit)
			version := heard.Version
			if m, ok := n.membership.View().Member(node); ok {
				config.ObservePeerVersion(context.Background(), m.Address, version)
			}
		},
		fetch: func(_ context.Context, _ string, payload []byte) (any, error) {
			var request runcatalog.FetchRequest
			if err := cbor.Unmarshal(payload, &request); err != nil {
				return nil, err
			}
			return config.AnswerFetch(request), nil
		},
	}
}

func (n *Node) assembleHostedFront(h *Hosted) {
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
	})
	n.front = front.New(front.Options{
		Node:           n.settings.Node.Name + "." + n.run,
		Config:         n.config,
		Chain:          n.chain,
		Auth:           n.chain.Auth,
		Clock:          n.clock,
		Log:            n.requests,
		NewCodec:       h.NewCodec,
		Rollback:       h.Rollback,
		MaxConnections: n.settings.Callers.MaxConnections,
	})
}

// toRemove returns the nodes that this one finds gone and is the one to remove.
func (n *Node) toRemove() []string {
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

// serveReady answers the platform's question whether callers may be sent here.
func (n *Node) serveReady(ctx context.Context, listener net.Listener, path string) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, n.health)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: opsTimeout}
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return Error.Wrap(err)
	}
	return nil
}

// followSettings reads the settings again when it is told to, and when they have changed.
// Of what may change while a node runs only the time for a graceful stop is taken over;
// settings that can't be read change nothing.
func (n *Node) followSettings(ctx context.Context, h *Hosted) error {
	ticker := time.NewTicker(changedEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.Reloads:
		case <-ticker.C:
			if !h.Changed() {
				continue
			}
		}
		s, err := h.Reload()
		_ = n.logger.Log("event", "reload", "err", err)
		if err == nil {
			n.drainFor.Store(int64(s.Node.Drain))
		}
	}
}

// followLeases keeps the leases of the groups that this node owns.
func (n *Node) followLeases(group string, owned bool) {
	if n.leases != nil {
		n.leases.SetWanted(group, owned)
	}
}

var _ fleet.Source = (*runcatalog.Runner)(nil)
