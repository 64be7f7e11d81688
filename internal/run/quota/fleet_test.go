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

const oneWay = time.Millisecond

// fakePlatform is a list of nodes in memory.
type fakePlatform struct {
	mu     sync.Mutex
	vms    map[string]platform.VM
	outage bool
	reads  int
}

var errOutage = platform.ErrOutage.New("ordered")

func (f *fakePlatform) ListVMs(context.Context) ([]platform.VM, error) {
	time.Sleep(oneWay)
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

// network connects nodes in memory and counts what they send.
type network struct {
	mu    sync.Mutex
	nodes map[string]*node
	cut   map[string]bool
	// traffic counts requests and replies, encoded, by kind.
	traffic map[peer.Kind]traffic
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
	time.Sleep(oneWay)
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
	time.Sleep(oneWay)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return cbor.Unmarshal(payload, reply)
}

type source struct{ config *fleet.Config }

func (s source) Current() *fleet.Config { return s.config }

// testFleet is a fleet of nodes in one process.
type testFleet struct {
	platform *fakePlatform
	network  *network
	config   *fleet.Config
}

func newFleet(customers ...fleet.Customer) *testFleet {
	return &testFleet{
		platform: &fakePlatform{vms: map[string]platform.VM{}},
		network:  &network{nodes: map[string]*node{}, cut: map[string]bool{}, traffic: map[peer.Kind]traffic{}},
		config:   &fleet.Config{Version: 1, Customers: customers},
	}
}

// start runs a node; its address is its name.
func (f *testFleet) start(name string) *node {
	vm := platform.VM{Name: name, Address: name, Domain: "d" + name[len(name)-1:], State: platform.VMLive}
	f.platform.set(func() { f.platform.vms[name] = vm })
	n := &node{name: name, network: f.network}
	n.membership = membership.New(membership.Options{
		Self: vm, Platform: f.platform, Peers: n, Clock: clock.Wall{}, Logger: log.NewNopLogger(),
	})
	n.quota = quota.New(quota.Options{
		Self: name, Peers: n, View: n.membership.View, Config: source{f.config},
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

// kill stops a node at once.
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

// load sends requests at rate for d to nodes in turn and returns how many were refused.
func load(t *testing.T, nodes []*node, rate float64, d time.Duration, admit admitFunc) (sent, refused int64) {
	t.Helper()
	var wait sync.WaitGroup
	var no atomic.Int64
	gap := time.Duration(float64(time.Second) / rate)
	for end := time.Now().Add(d); time.Now().Before(end); sent++ {
		n := nodes[int(sent)%len(nodes)]
		wait.Go(func() {
			if !admit(n) {
				no.Add(1)
			}
		})
		time.Sleep(gap)
	}
	wait.Wait()
	return sent, no.Load()
}

type admitFunc func(n *node) bool

// take does not wait.
func take(n *node) bool {
	ok, _ := n.quota.Take("c")
	if ok {
		n.quota.Settle("c", true)
	}
	return ok
}

// admit waits as the Runner sees fit.
func admit(n *node) bool {
	ok, _ := n.quota.Admit(context.Background(), "c")
	if ok {
		n.quota.Settle("c", true)
	}
	return ok
}
