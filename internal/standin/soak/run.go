package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"crocusyoke/internal/standin/hosted"
	"crocusyoke/internal/standin/supervise"
)

// Error is the class of errors of this package: the run could not be played. ErrBroken means that it was
// played and that a rule was broken.
var (
	Error     = errs.Class("soak")
	ErrBroken = errs.Class("rule broken")
)

// Options configures a run.
type Options struct {
	Seed   uint64
	Length time.Duration
	// Nodes is the number of nodes, Sessions that of callers' sessions at the same time.
	Nodes, Sessions int
	// Binary is the path of the shipped binary.
	Binary string
	// Dir receives settings, logs and the report; it is created.
	Dir string
}

// Report is the result of a run.
type Report struct {
	Seed       uint64           `json:"seed"`
	Length     string           `json:"length"`
	Events     []Event          `json:"events"`
	Rules      map[string]*Rule `json:"rules"`
	Written    int              `json:"acknowledged_writes"`
	Promotions int              `json:"promotions"`
}

const (
	readyTimeout = 20 * time.Second
	// settleTime is the time without events at the end, in which everything has to work again.
	settleTime = 8 * time.Second
	// steadyKey is never withdrawn, changingKey is.
	steadyKey   = "steady-key"
	changingKey = "changing-key"
	groupName   = "ledger"
)

var (
	zones    = []string{"a", "b", "c"}
	services = []string{"orders", "jobs"}
	targets  = []string{"t1", "t2", "t3"}
)

// run is one run of the soak.
type run struct {
	options  Options
	judge    *judge
	store    *hosted.Store
	group    *hosted.Group
	nodes    []*node
	balancer *balancer
	super    *supervise.Supervisor
	ended    chan struct{}
	wait     sync.WaitGroup
	items    atomic.Uint64
	version  atomic.Uint64
	// configuring is held while a key is withdrawn.
	configuring sync.Mutex
	// crashing is held while a target is down.
	crashing sync.Mutex

	mu      sync.Mutex
	written map[string]bool
}

// Play plays one run. Its error is of class ErrBroken if a rule was broken.
func Play(ctx context.Context, o Options) (*Report, error) {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, Error.Wrap(err)
	}
	r := &run{options: o, judge: newJudge(), ended: make(chan struct{}), written: make(map[string]bool), super: supervise.New()}
	defer r.super.Close()
	r.store, r.group = hosted.NewStore(), hosted.NewGroup(groupName, targets...)
	defer r.store.Close()
	defer r.group.Close()
	if err := r.startNodes(); err != nil {
		return nil, Error.Wrap(err)
	}
	events := Draw(o.Seed, o.Length)
	r.play(ctx, events)
	return r.finish(events)
}

// startNodes starts all nodes and waits until they are ready.
func (r *run) startNodes() error {
	r.group.PromoteAfter = 300 * time.Millisecond
	for i, id := range targets {
		r.store.Put("servers", id, r.group.Entry(id, zones[i], "ready"))
	}
	r.configure(configuration{})
	// Each run has addresses of its own, because a node's metrics port is fixed.
	network := fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, 1+os.Getpid()/200%250)
	for i := range r.options.Nodes {
		n, err := newNode(i, network, r.options.Dir, r.options.Binary, r.store.Address(), r.group.PromotionAddress())
		if err != nil {
			return err
		}
		r.nodes = append(r.nodes, n)
		if err := r.super.Start(n.spec); err != nil {
			return err
		}
	}
	r.balancer = &balancer{nodes: r.nodes}
	for _, n := range r.nodes {
		if !hosted.WaitFor(readyTimeout, n.isReady) {
			return Error.New("%s is not ready", n.name)
		}
	}
	return nil
}

// configuration says what differs from the usual configuration.
type configuration struct {
	withoutKey  bool // changingKey is withdrawn
	withoutJobs bool // the service jobs is dropped
	extraRoutes int
}

// configure writes the next version of the configuration.
func (r *run) configure(c configuration) {
	keys := []string{steadyKey}
	if !c.withoutKey {
		keys = append(keys, changingKey)
	}
	route := func(name, kind string) map[string]any {
		return map[string]any{"name": name, "database": name, "type": kind, "timeout_ms": 1000, "service": groupName, "max_staleness_ms": 1500}
	}
	routes := []any{route("orders", "primary")}
	if !c.withoutJobs {
		routes = append(routes, route("jobs", "read_your_writes"))
	}
	for i := range c.extraRoutes {
		routes = append(routes, route(fmt.Sprint("extra", i), "primary"))
	}
	value, _ := json.Marshal(map[string]any{
		"version": r.version.Add(1), "routes": routes, "services": []any{map[string]any{"name": groupName, "max_conns": 50}},
		"tenants": []any{map[string]any{"name": "maker", "api_keys": keys, "rate_per_s": 10000, "burst": 10000}},
	})
	r.store.Put("op", "config", value)
}

// play runs the load and carries out the events.
func (r *run) play(ctx context.Context, events []Event) {
	start := time.Now()
	var sessions, rest sync.WaitGroup
	for i := range r.options.Sessions {
		sessions.Go(func() { r.runSession(uint64(2 + i)) })
	}
	rest.Go(func() {
		for !r.hasEnded() {
			r.balancer.ask()
			time.Sleep(readinessInterval)
		}
	})
	rest.Go(r.watch)
	for _, n := range r.nodes {
		rest.Go(func() { r.sendRefused(n) })
	}
	for _, event := range events {
		select {
		case <-time.After(time.Until(start.Add(event.At))):
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
		r.wait.Go(func() { r.carryOut(event) })
	}
	r.wait.Wait()
	time.Sleep(settleTime)
	close(r.ended)
	sessions.Wait()
	rest.Wait()
	r.wait.Wait()
}

func (r *run) hasEnded() bool {
	select {
	case <-r.ended:
		return true
	default:
		return false
	}
}

// watch judges that no process ends that nobody has ended.
func (r *run) watch() {
	for !r.hasEnded() {
		for _, n := range r.nodes {
			if r.super.IsRunning(n.name) || !n.claim() {
				continue
			}
			r.judge.check(ruleOwnEnd, false, "%s: %v", n.name, r.super.Exit(n.name))
			_ = r.super.Start(n.spec)
			n.release()
		}
		time.Sleep(50 * time.Millisecond)
	}
	r.judge.check(ruleOwnEnd, true, "")
}

func (r *run) newItem() string { return fmt.Sprintf("item%d", r.items.Add(1)) }

func (r *run) noteWritten(items ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, item := range items {
		r.written[item] = true
	}
}

// hasRun reports whether a target has executed the statement with the given ID.
func (r *run) hasRun(id string) bool {
	for _, name := range targets {
		for _, st := range r.group.Target(name).Ran() {
			if st.ID == id {
				return true
			}
		}
	}
	return false
}

// finish judges what is left in the end and writes the report.
func (r *run) finish(events []Event) (*Report, error) {
	leads := func(name string) bool { return r.group.Target(name).Leads() }
	if i := slices.IndexFunc(targets, leads); i >= 0 {
		writes := r.group.Target(targets[i]).Writes()
		for _, item := range slices.Sorted(maps.Keys(r.written)) {
			r.judge.check(ruleKept, writes[item] > 0, "%s is missing at %s", item, targets[i])
			r.judge.check(ruleOnce, writes[item] <= 1, "%s is there %d times", item, writes[item])
		}
	} else {
		r.judge.check(ruleKept, false, "no target leads in the end")
	}
	report := &Report{
		Seed: r.options.Seed, Length: r.options.Length.String(), Events: events, Rules: r.judge.rules,
		Written: len(r.written), Promotions: len(r.group.Promotions()),
	}
	body, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if err := os.WriteFile(filepath.Join(r.options.Dir, "report.json"), body, 0o600); err != nil {
		return nil, Error.Wrap(err)
	}
	if broken := r.judge.broken(); len(broken) > 0 {
		return report, ErrBroken.New("%v", broken)
	}
	return report, nil
}

// nodeOf returns the node that an event concerns.
func (r *run) nodeOf(e Event) *node { return r.nodes[e.Index%len(r.nodes)] }

// randomOf returns the source of an event's further choices.
func randomOf(e Event) *rand.Rand { return rand.New(rand.NewPCG(uint64(e.Index), uint64(e.Variant))) }
