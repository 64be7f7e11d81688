package catalog

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/controller/membership"
	"crocusyoke/internal/controller/reader"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/peer"
	"crocusyoke/internal/platform"
	runmembership "crocusyoke/internal/run/membership"
)

const (
	// testNodePrefix is the prefix of the keys of nodes' rows.
	testNodePrefix = "node/"
	// testHop is the longest delay of a message between two nodes.
	testHop = 2 * time.Millisecond
	// testStartup is how long a fleet takes to start and to choose its readers.
	testStartup = 6 * time.Second
)

// testFleet is a fleet of Runners with their membership in one process, over one store.
type testFleet struct {
	feed  *fakeFeed
	nodes map[string]*testNode
	names []string
}

// testNode is one node of a testFleet.
type testNode struct {
	fleet      *testFleet
	name       string
	runner     *Runner
	membership *runmembership.Runner
	// isCut is true while the store does not answer the node.
	isCut atomic.Bool
	// silentUntil holds the calls that the store never answers: those that began before this time, in
	// nanoseconds since 1970, as over connections that have gone silent. silentTable restricts this to
	// one table unless it is empty.
	silentUntil atomic.Int64
	silentTable string
	// lag is how long the node takes to answer a message, in nanoseconds.
	lag atomic.Int64

	mu sync.Mutex
	// inForceAt holds when each version of the configuration came into force, by version.
	inForceAt map[uint64]time.Time
	random    *rand.Rand
}

var errNoNode = errors.New("no node at this address")

// startFleet starts count nodes in six failure domains and waits until they have chosen their readers.
func startFleet(t *testing.T, count int) *testFleet {
	t.Helper()
	f := &testFleet{feed: newFakeFeed(), nodes: make(map[string]*testNode, count)}
	setInitialRows(f.feed)
	for i := range count {
		f.names = append(f.names, fmt.Sprintf("n%03d", i))
		f.writeNodeRow(f.names[i])
	}
	ctx, stop := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	t.Cleanup(func() {
		stop()
		wait.Wait()
	})
	for i, name := range f.names {
		f.nodes[name] = f.newNode(name, i)
		time.Sleep(time.Millisecond)
	}
	for _, name := range f.names {
		n := f.nodes[name]
		wait.Go(func() { _ = n.runner.Run(ctx) })
		wait.Go(func() { _ = n.membership.Run(ctx) })
	}
	time.Sleep(testStartup)
	return f
}

func (f *testFleet) writeNodeRow(name string) {
	f.feed.set(platform.TableNodes, testNodePrefix+name, name, false)
}

func (f *testFleet) newNode(name string, index int) *testNode {
	n := &testNode{
		fleet: f, name: name, inForceAt: make(map[uint64]time.Time),
		random: rand.New(rand.NewPCG(uint64(index), 1)),
	}
	n.membership = runmembership.New(runmembership.Options{
		Self: testVM(name), Peers: n, Clock: clock.Wall{}, Logger: log.NewNopLogger(),
		Attachment: n.attachment, OnAttachment: n.receiveAttachment,
	})
	n.runner = New(Options{
		Feed: n, Decoder: fakeDecoder{}, ConfigurationKey: "config", EvacuationPrefix: testEvacuationPrefix, Self: name, Peers: n, Clock: clock.Wall{},
		Logger: log.NewNopLogger(), Random: rand.New(rand.NewPCG(uint64(index), 2)), OnNodesChanged: n.receiveNodes,
		Contacts: n.membership.Contacts,
	})
	n.membership.Subscribe(func(v *membership.View) {
		var live []reader.Node
		for _, m := range v.Live() {
			live = append(live, reader.Node{Name: m.Name, Domain: m.Domain})
		}
		n.runner.SetNodes(live)
	})
	n.runner.Subscribe(n.receiveConfig)
	return n
}

// testVM returns the node called name as the platform lists it. Its address is its name.
func testVM(name string) platform.VM {
	return platform.VM{Name: name, Address: name, Domain: fmt.Sprint("d", int(name[len(name)-1]-48)%6), State: platform.VMLive}
}

func (n *testNode) receiveNodes(rows []platform.Row, at time.Time) {
	var vms []platform.VM
	for _, row := range rows {
		vms = append(vms, testVM(string(row.Key[len(testNodePrefix):])))
	}
	n.membership.SetListed(vms, at)
}

func (n *testNode) receiveConfig(config *fleet.Config) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, known := n.inForceAt[config.Version]; !known {
		n.inForceAt[config.Version] = time.Now()
	}
}

func (n *testNode) attachment() []byte {
	body, err := cbor.Marshal(n.runner.Knowledge())
	if err != nil {
		panic(err)
	}
	return body
}

func (n *testNode) receiveAttachment(from string, attached []byte, sentAt time.Time) {
	var k Knowledge
	if err := cbor.Unmarshal(attached, &k); err != nil {
		panic(err)
	}
	n.runner.ObservePeer(context.Background(), from, k, sentAt)
}

// Call implements peer.Caller.
func (n *testNode) Call(ctx context.Context, address string, kind peer.Kind, request, reply any) error {
	to := n.fleet.nodes[address]
	if to == nil {
		return errNoNode
	}
	payload, err := cbor.Marshal(request)
	if err != nil {
		return err
	}
	n.mu.Lock()
	hop := time.Duration(n.random.Int64N(int64(testHop)))
	n.mu.Unlock()
	if err := (clock.Wall{}).Sleep(ctx, hop+time.Duration(n.lag.Load()+to.lag.Load())); err != nil {
		return err
	}
	answer, err := to.serve(ctx, n.name, kind, payload)
	if err != nil {
		return err
	}
	body, err := cbor.Marshal(answer)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(body, reply)
}

func (n *testNode) serve(ctx context.Context, from string, kind peer.Kind, payload []byte) (any, error) {
	switch kind {
	case peer.KindProbe:
		return n.membership.HandleProbe(ctx, from, payload)
	case peer.KindNews:
		var k Knowledge
		if err := cbor.Unmarshal(payload, &k); err != nil {
			return nil, err
		}
		n.runner.ObserveAnnouncement(context.Background(), from, k)
		return struct{}{}, nil
	}
	var request FetchRequest
	if err := cbor.Unmarshal(payload, &request); err != nil {
		return nil, err
	}
	return n.runner.AnswerFetch(request)
}

// Read implements platform.Feed.
func (n *testNode) Read(ctx context.Context, table string) ([]platform.Row, platform.Revision, error) {
	if err := n.awaitStore(ctx); err != nil {
		return nil, platform.Revision{}, err
	}
	return n.fleet.feed.Read(ctx, table)
}

// Follow implements platform.Feed.
func (n *testNode) Follow(
	ctx context.Context, table string, after platform.Revision, wait time.Duration,
) ([]platform.Change, platform.Revision, error) {
	began := time.Now().UnixNano()
	changes, revision, err := n.fleet.feed.Follow(ctx, table, after, wait)
	if began < n.silentUntil.Load() && (n.silentTable == "" || n.silentTable == table) {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return nil, platform.Revision{}, ctx.Err()
	}
	if cutErr := n.awaitStore(ctx); cutErr != nil {
		return nil, platform.Revision{}, cutErr
	}
	return changes, revision, err
}

// awaitStore waits until ctx ends if the store does not answer the node.
func (n *testNode) awaitStore(ctx context.Context) error {
	if !n.isCut.Load() {
		return nil
	}
	<-ctx.Done()
	return platform.ErrOutage.Wrap(ctx.Err())
}

func (n *testNode) inForce(version uint64) (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	at, known := n.inForceAt[version]
	return at, known
}

// readers returns the nodes that are readers by their own view.
func (f *testFleet) readers() []*testNode {
	var out []*testNode
	for _, name := range f.names {
		n := f.nodes[name]
		n.runner.mu.Lock()
		if n.runner.role.IsReader() {
			out = append(out, n)
		}
		n.runner.mu.Unlock()
	}
	return out
}

// changeConfiguration writes version to the store, waits for bound, and returns how long the last of
// the nodes that reach the store took to have it in force, and how many of them do not have it.
func (f *testFleet) changeConfiguration(version uint64, bound time.Duration) (last time.Duration, missing int) {
	ackedAt := time.Now()
	f.feed.set(platform.TableConfiguration, "config", fmt.Sprint(version), false)
	time.Sleep(bound)
	for _, name := range f.names {
		n := f.nodes[name]
		if n.isCut.Load() {
			continue
		}
		at, known := n.inForce(version)
		if !known {
			missing++
			continue
		}
		last = max(last, at.Sub(ackedAt))
	}
	return last, missing
}

// mustSpread changes the configuration and checks that each node that reaches the store has it in
// force within bound.
func (f *testFleet) mustSpread(t *testing.T, version uint64, bound time.Duration) {
	t.Helper()
	last, missing := f.changeConfiguration(version, bound)
	t.Logf("version %d: last node after %v, %d nodes without it after %v", version, last, missing, bound)
	must.Zero(t, missing)
}
