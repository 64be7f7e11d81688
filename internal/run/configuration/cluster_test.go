package configuration

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"crocusyoke/internal/clock"
	controller "crocusyoke/internal/controller/configuration"
	"crocusyoke/internal/peer"
	"crocusyoke/internal/platform"
	"crocusyoke/internal/platform/platformtest"
)

// probeInterval is the time between two rounds of probes.
const probeInterval = 500 * time.Millisecond

// cluster is a store and a set of nodes in one synctest bubble.
type cluster struct {
	t     *testing.T
	ctx   context.Context
	store *store
	vms   []platform.VM
	// lossEvery drops every lossEvery-th probe; 0 drops none.
	lossEvery atomic.Int64

	mu    sync.Mutex
	nodes []*node
}

// all returns the nodes started so far.
func (c *cluster) all() []*node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*node(nil), c.nodes...)
}

// store is the fake platform with a configurable delay.
type store struct {
	*platformtest.Fake
	delay atomic.Int64
}

func (s *store) setDelay(d time.Duration) { s.delay.Store(int64(d)) }

func (s *store) wait(ctx context.Context) {
	_ = clock.Wall{}.Sleep(ctx, time.Duration(s.delay.Load()))
}

func (s *store) Get(ctx context.Context, key string) (platform.Row, error) {
	s.wait(ctx)
	return s.Fake.Get(ctx, key)
}

func (s *store) GetObject(ctx context.Context, name string) ([]byte, error) {
	s.wait(ctx)
	return s.Fake.GetObject(ctx, name)
}

// write replaces the preceding version of the configuration by body(version).
func (s *store) write(t *testing.T, version uint64) {
	t.Helper()
	ctx := context.Background()
	name, err := platform.PutHashed(ctx, s, body(version))
	must.NoError(t, err)
	value, err := controller.Record{Body: name}.Encode()
	must.NoError(t, err)
	_, err = s.Put(ctx, controller.RowKey("trust"), version-1, value)
	must.NoError(t, err)
}

// node is a Runner with its own connection to the store, which can be cut.
type node struct {
	name     string
	runner   *Runner
	store    *cutStore
	isolated atomic.Bool

	mu sync.Mutex
	// newEras holds the eras that the runner told of.
	newEras []uint64
}

func (n *node) onNewEra(era uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.newEras = append(n.newEras, era)
}

// eras returns the eras that the runner told of.
func (n *node) eras() []uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.newEras)
}

// cutStore fails all reads while cut is set, for one node only.
type cutStore struct {
	*store
	cut atomic.Bool
}

func (c *cutStore) Get(ctx context.Context, key string) (platform.Row, error) {
	if c.cut.Load() {
		return platform.Row{}, platform.ErrOutage.New("cut")
	}
	return c.store.Get(ctx, key)
}

func (c *cutStore) GetObject(ctx context.Context, name string) ([]byte, error) {
	if c.cut.Load() {
		return nil, platform.ErrOutage.New("cut")
	}
	return c.store.GetObject(ctx, name)
}

func newCluster(t *testing.T, size int) *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		synctest.Wait()
	})
	c := &cluster{t: t, ctx: ctx, store: &store{Fake: platformtest.New()}}
	for i := range size {
		name := fmt.Sprintf("n%d", i)
		c.vms = append(c.vms, platform.VM{Name: name, Address: name})
	}
	for _, vm := range c.vms {
		c.start(vm.Name)
	}
	go c.probeAll()
	return c
}

func (c *cluster) start(name string) *node {
	n := c.add(name, false)
	c.run(n)
	return n
}

// add adds a node that does not run yet. No other node reaches it if it is isolated.
func (c *cluster) add(name string, isolated bool) *node {
	n := &node{name: name, store: &cutStore{store: c.store}}
	n.isolated.Store(isolated)
	n.runner = New(Options{
		Platform:   n.store,
		Peers:      &fakeCaller{c, n},
		Nodes:      func() []platform.VM { return c.vms },
		Self:       name,
		Deployment: "trust",
		Clock:      clock.Wall{},
		Logger:     log.NewNopLogger(),
		Random:     rand.New(rand.NewPCG(1, uint64(len(c.nodes)))),
		OnNewEra:   n.onNewEra,
	})
	c.mu.Lock()
	c.nodes = append(c.nodes, n)
	c.mu.Unlock()
	return n
}

func (c *cluster) run(n *node) {
	go func() { _ = n.runner.Run(c.ctx) }()
}

// replaceAll ends all nodes and starts new ones of the same names, which know nothing.
func (c *cluster) replaceAll() {
	c.mu.Lock()
	former := c.nodes
	c.nodes = nil
	c.mu.Unlock()
	for _, n := range former {
		n.store.cut.Store(true)
		n.isolated.Store(true)
		c.start(n.name)
	}
}

// probeAll makes every node probe every node in rounds, probeInterval apart.
func (c *cluster) probeAll() {
	probes := int64(0)
	for c.ctx.Err() == nil {
		for _, asker := range c.all() {
			for _, asked := range c.all() {
				probes++
				every := c.lossEvery.Load()
				lost := every > 0 && probes%every == 0
				if !lost && !asker.isolated.Load() && !asked.isolated.Load() {
					asker.runner.HandleReport(asked.name, asked.runner.Report(), time.Now())
				}
			}
		}
		_ = clock.Wall{}.Sleep(c.ctx, probeInterval)
	}
}

// writeAndWait writes version, waits until all nodes have it, and lets the cluster settle
// for two more seconds.
func (c *cluster) writeAndWait(version uint64) {
	c.store.write(c.t, version)
	c.waitVersion(version)
	time.Sleep(2 * time.Second)
}

// startOutageAtVersion starts an outage of the store as soon as one node has version.
func (c *cluster) startOutageAtVersion(version uint64) {
	for c.ctx.Err() == nil {
		for _, n := range c.all() {
			if n.runner.Version() >= version {
				c.store.SetOutage(true)
				return
			}
		}
		_ = clock.Wall{}.Sleep(c.ctx, time.Millisecond)
	}
}

func (c *cluster) waitVersion(version uint64) {
	deadline := time.Now().Add(time.Minute)
	for _, n := range c.all() {
		for n.runner.Version() < version {
			must.True(c.t, time.Now().Before(deadline), must.Sprintf("%s has version %d", n.name, n.runner.Version()))
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// fakeCaller delivers calls of one node to the others.
type fakeCaller struct {
	cluster *cluster
	from    *node
}

func (c *fakeCaller) Call(ctx context.Context, address string, _ peer.Kind, request, reply any) error {
	time.Sleep(time.Millisecond)
	for _, n := range c.cluster.all() {
		if n.name == address && !n.isolated.Load() && !c.from.isolated.Load() {
			answer, err := n.runner.HandleFetch(ctx, c.from.name, encode(c.cluster.t, request))
			if err != nil {
				return err
			}
			return cbor.Unmarshal(encode(c.cluster.t, answer), reply)
		}
	}
	return errors.New("no answer")
}

func encode(t *testing.T, value any) []byte {
	t.Helper()
	payload, err := cbor.Marshal(value)
	must.NoError(t, err)
	return payload
}
