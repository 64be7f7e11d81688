package soak

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"crocusyoke/internal/standin/hosted"
	"crocusyoke/internal/standin/link"
	"crocusyoke/internal/standin/supervise"
)

// Error is the class of errors of this package: the run could not be played. ErrBroken means that it was
// played and that a rule was broken.
var (
	Error     = errs.Class("soak")
	ErrBroken = errs.Class("rule broken")
)

// Options configures a run. DefaultOptions has what the command's flags have as defaults.
type Options struct {
	Seed   uint64
	Length time.Duration
	// Schedule is ScheduleAll, ScheduleMixed, ScheduleWide, SchedulePlanned, ScheduleDomains or ScheduleRecord.
	Schedule string
	// Nodes is the number of nodes, Groups that of groups of targets, at most three, and Sessions that of
	// callers' sessions at the same time.
	Nodes, Groups, Sessions int
	// Work is the mean time that a target takes for a read, write or commit, and Slots how many it runs at the
	// same time. If Work is 0, targets take no time, and run any number.
	Work  time.Duration
	Slots int
	// SetupRefusals is how many statements that change a session's settings or prepared names targets get
	// from nodes until they refuse one with BUSY, on average; none if it is 0.
	SetupRefusals int
	// SetupFailures is the same for those that take effect and are answered with an error, or whose answer
	// is lost or cut.
	SetupFailures int
	// Lag is how far replicas are behind, PromoteAfter how long a promotion takes.
	Lag, PromoteAfter time.Duration
	// CallerDelay is the one-way delay between callers and nodes, LinkDelay that between nodes and targets
	// or the store.
	CallerDelay, LinkDelay time.Duration
	// ResetOvertakes makes a reset discard what is under way between a node and a caller.
	ResetOvertakes bool
	// Binary is the path of the shipped binary.
	Binary string
	// Dir receives settings, logs and the report; it is created.
	Dir string
	// Out is a further file for the report; none if it is empty.
	Out string
}

// DefaultOptions returns the options of a run as on the larger hosted deployment: its zones, groups,
// delays, work times and limits.
func DefaultOptions() Options {
	return Options{
		Seed: 1, Length: time.Minute, Schedule: ScheduleAll,
		Nodes: 6, Groups: 3, Sessions: 90,
		Work: 11 * time.Millisecond, Slots: 5, SetupRefusals: 40, SetupFailures: 80, Lag: 60 * time.Millisecond, PromoteAfter: time.Second,
		CallerDelay: time.Millisecond, LinkDelay: 500 * time.Microsecond,
		Dir: "run/soak",
	}
}

// hasOddities reports whether callers send malformed lines and targets close idle connections.
func (o *Options) hasOddities() bool { return o.Schedule != ScheduleRecord }

// spares returns how many nodes may be added in the course of the run.
func (o *Options) spares() int {
	if slices.Contains([]string{ScheduleWide, SchedulePlanned, ScheduleDomains}, o.Schedule) {
		return spareNodes
	}
	return 0
}

// check reports options that can't be played.
func (o *Options) check() error {
	switch {
	case !slices.Contains([]string{ScheduleAll, ScheduleMixed, ScheduleRecord, ScheduleWide, SchedulePlanned, ScheduleDomains}, o.Schedule):
		return Error.New("unknown schedule %q", o.Schedule)
	case o.Groups < 1 || o.Groups > len(groupNames):
		return Error.New("%d groups; 1 to %d can be played", o.Groups, len(groupNames))
	case o.Nodes < 1 || o.Nodes+o.spares() >= lockHost:
		return Error.New("%d nodes; 1 to %d can be played", o.Nodes, lockHost-1-o.spares())
	case o.Work > 0 && o.Slots < 1:
		return Error.New("%d slots", o.Slots)
	}
	return nil
}

const (
	readyTimeout = 20 * time.Second
	// settleTime is the time without events at the end, in which everything has to work again.
	settleTime = 8 * time.Second
	// settleInterval is the interval at which statements are judged that were answered long enough ago.
	settleInterval = time.Second
)

var zones = []string{"a", "b", "c"}

// run is one run of the soak.
type run struct {
	options Options
	judge   *judge
	store   *hosted.Store
	// storeLink is the store as nodes reach it, nil if that is without delay.
	storeLink  *link.Link
	promotions *hosted.Promotions
	databases  []*database
	routes     []route
	nodes      []*node
	balancer   *balancer
	super      *supervise.Supervisor
	inForce    *inForce
	// evacuations judges what reaches evacuated zones.
	evacuations *evacuations
	// cold judges what targets get that have just started.
	cold       *coldTargets
	lateness   lateness
	ended      chan struct{}
	wait       sync.WaitGroup
	statements *statements
	items      atomic.Uint64
	version    atomic.Uint64
	copies     copies
	// document is the newest configuration. writing is held while it, or the store as a whole, is replaced.
	document []byte
	writing  sync.Mutex
	// resizing is held while a node is added or removed.
	resizing sync.Mutex
	// configuring is held while a key is withdrawn, and guards lowering, the number of events that have the rate of
	// pressingCustomer lowered.
	configuring sync.Mutex
	lowering    int

	mu sync.Mutex
	// written holds the acknowledged writes by their items.
	written map[string]written
}

// written is an acknowledged write: the digest of the target that acknowledged it, and when that came.
type written struct {
	database *database
	digest   string
	at       time.Time
}

// Play plays one run. Its error is of class ErrBroken if a rule was broken.
func Play(ctx context.Context, o Options) (*Report, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	directory, err := takeDirectory(o.Dir)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer directory.Close()
	network, err := takeNetwork(o.Nodes + o.spares())
	if err != nil {
		return nil, err
	}
	defer network.release()
	r := &run{options: o, judge: newJudge(), ended: make(chan struct{}), written: make(map[string]written), super: supervise.New()}
	r.inForce = newInForce(r.judge)
	r.evacuations = &evacuations{judge: r.judge}
	r.cold = newColdTargets(r.judge)
	r.statements = newStatements(r.judge, r.forgetRun)
	r.statements.rate.maxRate = r.inForce.maxRate
	r.store = hosted.NewStore()
	defer r.closeStandins()
	defer r.super.Close()
	if err := r.startDatabases(); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := r.startNodes(network.prefix); err != nil {
		return nil, Error.Wrap(err)
	}
	events := Draw(o.Schedule, o.Seed, o.Length)
	r.play(ctx, events)
	return r.finish(events)
}

func (r *run) closeStandins() {
	for _, n := range r.nodes {
		if n.entry != nil {
			n.entry.Close()
		}
	}
	if r.storeLink != nil {
		r.storeLink.Close()
	}
	if r.promotions != nil {
		r.promotions.Close()
	}
	for _, d := range r.databases {
		d.close()
	}
	r.store.Close()
}

func (r *run) startDatabases() error {
	var groups []*hosted.Group
	for i := range r.options.Groups {
		d, err := newDatabase(i, r.options, r.store, r.observe)
		if err != nil {
			return err
		}
		r.watchArrivals(d)
		r.databases = append(r.databases, d)
		groups = append(groups, d.group)
		for _, kind := range []string{kindOrders, kindOrders, kindProofs, kindJobs} {
			r.routes = append(r.routes, route{name: d.group.Name + "-" + kind, kind: kind, database: d})
		}
	}
	r.promotions = hosted.NewPromotions(groups...)
	r.configure(configuration{})
	return nil
}

// startNodes starts all nodes and waits until they are ready.
func (r *run) startNodes(prefix string) error {
	store := r.store.Address()
	if r.options.LinkDelay > 0 {
		l, err := link.Listen(store, link.Symmetric(r.options.LinkDelay))
		if err != nil {
			return err
		}
		r.storeLink, store = l, l.Address()
	}
	for i := range r.options.Nodes + r.options.spares() {
		n, err := newNode(i, prefix, r.options.Dir, r.options.Binary, store, r.promotions.Address())
		if err != nil {
			return err
		}
		if err := n.addPlaces(&r.options); err != nil {
			return err
		}
		if r.options.CallerDelay > 0 {
			options := link.Symmetric(r.options.CallerDelay)
			options.ResetOvertakes = r.options.ResetOvertakes
			if n.entry, err = link.Listen(n.front, options); err != nil {
				return err
			}
			n.callers = n.entry.Address()
		}
		r.nodes = append(r.nodes, n)
		if i >= r.options.Nodes {
			n.isAbsent, n.isDown = true, true
			continue
		}
		if err := r.super.Start(n.spec); err != nil {
			return err
		}
	}
	r.balancer = &balancer{nodes: r.nodes}
	for _, n := range r.members() {
		if !hosted.WaitFor(readyTimeout, n.isReady) {
			return Error.New("%s is not ready", n.name)
		}
	}
	return nil
}

// play runs the load and carries out the events.
func (r *run) play(ctx context.Context, events []Event) {
	start := time.Now()
	var sessions, rest sync.WaitGroup
	for i := range r.options.Sessions + pressingSessions {
		sessions.Go(func() { r.runUser(i) })
	}
	rest.Go(func() {
		for !r.hasEnded() {
			r.balancer.ask()
			time.Sleep(readinessInterval)
		}
	})
	rest.Go(r.watch)
	rest.Go(r.watchResources)
	rest.Go(r.settle)
	if r.options.Schedule == ScheduleWide {
		rest.Go(r.keepCopies)
	}
	rest.Go(r.keepEntries)
	for i, n := range r.nodes {
		rest.Go(func() { r.probe(n, i) })
	}
	if r.options.hasOddities() {
		rest.Go(r.closeIdle)
	}
	rest.Go(func() { r.lateness.measure(r.hasEnded) })
	if r.options.hasOddities() {
		for i, n := range r.nodes {
			rest.Go(func() { r.sendRefused(n) })
			rest.Go(func() { r.sendMalformed(n, i) })
		}
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
	lastEvent := time.Now()
	time.Sleep(settleTime)
	r.judgeRecovery(lastEvent)
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

// noteWritten records the items of an acknowledged write or COMMIT.
func (r *run) noteWritten(to route, a *answer, items ...string) {
	to.database.noteRecent(items...)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, item := range items {
		r.written[item] = written{database: to.database, digest: a.digest, at: a.endAt}
	}
}

// findRun returns a target's record of the statement with the given ID.
func (r *run) findRun(id string) (hosted.Run, bool) {
	for _, d := range r.databases {
		if run, ok := d.group.Run(id); ok {
			return run, true
		}
	}
	return hosted.Run{}, false
}

// forgetRun drops the targets' record of the statement with the given ID.
func (r *run) forgetRun(id string) {
	for _, d := range r.databases {
		d.group.Forget(id)
	}
}

// settle judges statements some time after their answers, so that the records of them stay few.
func (r *run) settle() {
	for !r.hasEnded() {
		r.statements.settle(time.Now().Add(-keptTime))
		time.Sleep(settleInterval)
	}
}

// nodeCalled returns the node with the given name, or nil.
func (r *run) nodeCalled(name string) *node {
	for _, n := range r.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}
