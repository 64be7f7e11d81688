package quota_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/peer"
	"crocusyoke/internal/platform"
	"crocusyoke/internal/run/membership"
	"crocusyoke/internal/run/quota"
)

const oneWayDelay = time.Millisecond

// fakePlatform is an in-memory list of nodes.
type fakePlatform struct {
	mu     sync.Mutex
	vms    map[string]platform.VM
	outage bool
	reads  int
}

var errOutage = platform.ErrOutage.New("injected")

func (f *fakePlatform) ListVMs(context.Context) ([]platform.VM, error) {
	time.Sleep(oneWayDelay)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if f.outage {
		return nil, errOutage
	}
	out := make([]platform.VM, 0, len(f.vms))
	for _, vm := range f.vms {
		out = append(out, vm)
	}
	return out, nil
}

func (f *fakePlatform) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// network connects nodes in memory and counts their messages.
type network struct {
	mu    sync.Mutex
	nodes map[string]*node
	cut   map[string]bool
	// traffic counts requests and replies and their encoded bytes, by kind.
	traffic map[peer.Kind]traffic
	// delay is the time that a message takes from one node to another; nil means oneWayDelay.
	delay func(from, to string) time.Duration
}

// pass waits while a message passes from one node to another.
func (n *network) pass(from, to string) {
	if n.delay == nil {
		time.Sleep(oneWayDelay)
		return
	}
	time.Sleep(n.delay(from, to))
}

type traffic struct{ messages, bytes int }

func (n *network) count(kind peer.Kind, payload []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.traffic[kind]
	n.traffic[kind] = traffic{messages: t.messages + 1, bytes: t.bytes + len(payload)}
}

func (n *network) sent(kind peer.Kind) traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.traffic[kind]
}

func (n *network) reset() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.traffic)
}

type node struct {
	name       string
	network    *network
	membership *membership.Runner
	quota      *quota.Runner
	stop       context.CancelFunc
	done       sync.WaitGroup
}

func (n *network) node(address string) *node {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut[address] {
		return nil
	}
	return n.nodes[address]
}

func (n *node) Call(ctx context.Context, address string, kind peer.Kind, request, reply any) error {
	payload, err := cbor.Marshal(request)
	if err != nil {
		return err
	}
	n.network.count(kind, payload)
	n.network.pass(n.name, address)
	to := n.network.node(address)
	if to == nil || n.network.node(n.name) == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	serve := to.quota.HandleShare
	if kind == peer.KindProbe {
		serve = to.membership.HandleProbe
	}
	answer, err := serve(ctx, n.name, payload)
	if err != nil {
		return err
	}
	if payload, err = cbor.Marshal(answer); err != nil {
		return err
	}
	n.network.count(kind, payload)
	n.network.pass(address, n.name)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return cbor.Unmarshal(payload, reply)
}

// source provides the configuration that the fleet has at the moment.
type source struct{ fleet *testFleet }

func (s source) Current() *fleet.Config { return s.fleet.config.Load() }

// testFleet is a fleet of nodes in one process.
type testFleet struct {
	platform *fakePlatform
	network  *network
	config   atomic.Pointer[fleet.Config]
}

func newFleet(customers ...fleet.Customer) *testFleet {
	f := &testFleet{
		platform: &fakePlatform{vms: map[string]platform.VM{}},
		network:  &network{nodes: map[string]*node{}, cut: map[string]bool{}, traffic: map[peer.Kind]traffic{}},
	}
	f.config.Store(&fleet.Config{Version: 1, Customers: customers})
	return f
}

// start starts a node; its address is its name.
func (f *testFleet) start(name string) *node { return f.startWith(name, 0) }

// startWith is start for a node with the given capacity.
func (f *testFleet) startWith(name string, capacity int) *node {
	return f.startIn("d"+name[len(name)-1:], name, capacity)
}

// startIn is startWith for a node in the given failure domain.
func (f *testFleet) startIn(domain, name string, capacity int) *node {
	vm := platform.VM{Name: name, Address: name, Domain: domain, State: platform.VMLive, Capacity: capacity}
	f.platform.set(func() { f.platform.vms[name] = vm })
	n := &node{name: name, network: f.network}
	n.membership = membership.New(membership.Options{
		Self: vm, Platform: f.platform, Peers: n, Clock: clock.Wall{}, Logger: log.NewNopLogger(),
	})
	n.quota = quota.New(quota.Options{
		Self: name, Peers: n, View: n.membership.View, Config: source{f},
		Clock: clock.Wall{}, Logger: log.NewNopLogger(),
	})
	f.network.mu.Lock()
	f.network.nodes[name] = n
	f.network.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	n.done.Go(func() { _ = n.membership.Run(ctx) })
	n.done.Go(func() { _ = n.quota.Run(ctx) })
	return n
}

func (f *testFleet) startAll(count int) []*node {
	nodes := make([]*node, 0, count)
	for i := range count {
		nodes = append(nodes, f.start(fmt.Sprintf("node%03d", i)))
	}
	return nodes
}

// kill cuts a node off the network and stops it.
func (f *testFleet) kill(n *node) {
	f.network.mu.Lock()
	f.network.cut[n.name] = true
	f.network.mu.Unlock()
	n.stop()
	n.done.Wait()
}

func stopAll(nodes []*node) {
	for _, n := range nodes {
		n.stop()
	}
	for _, n := range nodes {
		n.done.Wait()
	}
}

// sendLoad sends requests at the given rate for d, to nodes in turn, and returns how many
// were sent and how many were refused.
func sendLoad(t *testing.T, nodes []*node, rate float64, d time.Duration, admit admitFunc) (sent, refused int64) {
	t.Helper()
	var wait sync.WaitGroup
	var refusedCount atomic.Int64
	gap := time.Duration(float64(time.Second) / rate)
	for end := time.Now().Add(d); time.Now().Before(end); sent++ {
		n := nodes[int(sent)%len(nodes)]
		wait.Go(func() {
			if !admit(n) {
				refusedCount.Add(1)
			}
		})
		time.Sleep(gap)
	}
	wait.Wait()
	return sent, refusedCount.Load()
}

type admitFunc func(n *node) bool

// take asks for a token without waiting for one.
func take(n *node) bool {
	ok, _ := n.quota.Take("c")
	if ok {
		n.quota.Settle("c", true)
	}
	return ok
}

// admit asks for a token and waits as long as Runner.Admit allows.
func admit(n *node) bool {
	ok, _ := n.quota.Admit(context.Background(), "c", 0)
	if ok {
		n.quota.Settle("c", true)
	}
	return ok
}
