// Package membership runs the membership controller: it polls the platform's list,
// sends the probes that the controller asks for and publishes the View.
package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/zeebo/errs"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/controller/membership"
	"crocusyoke/internal/peer"
	"crocusyoke/internal/platform"
)

// Error is the class of this package's errors.
var Error = errs.Class("membership")

// View is the controller's picture of the listed nodes.
type View = membership.View

const (
	tickEvery = 50 * time.Millisecond
	// listEvery is the time between two reads of the list by a relay. All others together
	// read it listReads times a second.
	listEvery = time.Second
	listReads = 50
	// maxLost is how many lost links may wait to be looked after.
	maxLost = 64
)

// Options of a Runner.
type Options struct {
	// Self is this node as the platform lists it.
	Self     platform.VM
	Platform platform.VMs
	Peers    peer.Caller
	Clock    clock.Clock
	Logger   log.Logger
	// ListEvery is the time between two reads of the list; zero takes the default. It is
	// longer where changes of the list come through Listed.
	ListEvery time.Duration
	// ConfigVersion returns the configuration version in force; may be nil.
	ConfigVersion func() uint64
	// Attach returns what is sent back with each answer to a probe; may be nil.
	Attach func() []byte
	// HeardAttached is told what node attached to its answer to a probe that was sent at
	// sentAt; may be nil.
	HeardAttached func(node string, attached []byte, sentAt time.Time)
	// Heard is told that node ran with a configuration version at sentAt; may be nil.
	Heard func(node string, version uint64, sentAt time.Time)
}

// Runner is one node's membership. Its methods are safe for concurrent use.
type Runner struct {
	o    Options
	view atomic.Pointer[View]
	wait sync.WaitGroup
	// lost holds the addresses of links that were lost.
	lost chan string

	mu          sync.Mutex
	core        *membership.Core
	subscribers []func(*View)
	// published is the generation of the View stored last.
	published uint64
}

// New returns a Runner whose View holds only this node until Run has read the list.
func New(o Options) *Runner {
	now := o.Clock.Now()
	seed := uint64(now.UnixNano())
	r := &Runner{o: o, lost: make(chan string, maxLost), core: membership.New(o.Self, seed, rand.New(rand.NewPCG(seed, seed>>7)))}
	r.view.Store(r.core.View())
	return r
}

// View returns the newest picture; it is never nil and must not be changed.
func (r *Runner) View() *View { return r.view.Load() }

// Subscribe has f called after each change of the View's members, one call at a time,
// from the Runner's goroutines. f must neither block nor call the Runner but for View.
func (r *Runner) Subscribe(f func(*View)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers = append(r.subscribers, f)
}

// Run probes until ctx ends and returns after its last call has ended.
func (r *Runner) Run(ctx context.Context) error {
	defer r.wait.Wait()
	r.wait.Go(func() { r.pollList(ctx) })
	r.wait.Go(func() { r.followLost(ctx) })
	for {
		for _, send := range r.tick() {
			r.wait.Go(func() { r.probe(ctx, send) })
		}
		r.publish()
		if err := r.o.Clock.Sleep(ctx, tickEvery); err != nil {
			return nil
		}
	}
}

func (r *Runner) tick() []membership.Send {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.o.ConfigVersion != nil {
		r.core.SetVersion(r.o.ConfigVersion())
	}
	return r.core.Tick(r.o.Clock.Now())
}

func (r *Runner) pollList(ctx context.Context) {
	for {
		r.readList(ctx)
		if r.o.Clock.Sleep(ctx, r.listPeriod()) != nil {
			return
		}
	}
}

// listPeriod is the time between two reads of the list by this node.
func (r *Runner) listPeriod() time.Duration {
	if r.o.ListEvery > 0 {
		return r.o.ListEvery
	}
	view := r.View()
	for _, m := range view.Relays() {
		if m.Name == view.Self {
			return listEvery
		}
	}
	return max(listEvery, time.Duration(len(view.Members))*time.Second/listReads)
}

func (r *Runner) readList(ctx context.Context) {
	began := r.o.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	vms, err := r.o.Platform.ListVMs(ctx)
	if err != nil {
		count("list_errors")
		return
	}
	r.mu.Lock()
	r.core.SetListed(vms, began)
	r.mu.Unlock()
	r.publish()
}

// Listed takes over a list that stood at a time, from whoever follows it.
func (r *Runner) Listed(vms []platform.VM, at time.Time) {
	r.mu.Lock()
	r.core.SetListed(vms, at)
	r.mu.Unlock()
	r.publish()
}

// call sends one probe and takes in its answer.
func (r *Runner) call(ctx context.Context, s membership.Send, timeout time.Duration) (membership.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply membership.Reply
	sent := r.o.Clock.Now()
	err := r.o.Peers.Call(ctx, s.Address, peer.KindProbe, s.Probe, &reply)
	if err != nil {
		count("probe_errors")
		return reply, Error.New("probe %s: %w", s.To, err)
	}
	if reply.Gossip.From != s.To {
		// Another node has taken the address over.
		count("probe_errors")
		return membership.Reply{}, Error.New("probe %s: answered by %s", s.To, reply.Gossip.From)
	}
	r.mu.Lock()
	r.core.OnReply(s.To, reply, sent, r.o.Clock.Now())
	beats := r.core.Beats()
	r.mu.Unlock()
	if r.o.HeardAttached != nil {
		r.o.HeardAttached(s.To, reply.Attached, sent)
	}
	for _, b := range beats {
		if r.o.Heard != nil {
			r.o.Heard(b.Name, b.Version, b.At)
		}
	}
	return reply, nil
}

// probe probes directly, then through others, and reports a node that none reached.
func (r *Runner) probe(ctx context.Context, s membership.Send) {
	if _, err := r.call(ctx, s, membership.ProbeTimeout); lives(err) || ctx.Err() != nil {
		return
	}
	r.mu.Lock()
	indirect := r.core.OnTimeout(s.To)
	r.mu.Unlock()
	r.settle(ctx, s.To, indirect)
}

// lives reports whether a probe that ended with err shows that the node runs: one that does not
// know this node yet refuses it.
func lives(err error) bool { return err == nil || peer.Refused.Has(err) }

// settle sends probes of a node that is in doubt, and reports it if none reached it.
func (r *Runner) settle(ctx context.Context, name string, probes []membership.Send) {
	reached := make(chan bool, len(probes))
	for _, send := range probes {
		r.wait.Go(func() {
			reply, err := r.call(ctx, send, membership.IndirectTimeout)
			reached <- lives(err) && (reply.Reached || send.To == name)
		})
	}
	for range probes {
		if <-reached {
			return
		}
	}
	if ctx.Err() != nil {
		return
	}
	r.mu.Lock()
	news := r.core.OnUnreached(name, r.o.Clock.Now())
	r.mu.Unlock()
	r.publish()
	for _, send := range news {
		r.wait.Go(func() { _, _ = r.call(ctx, send, membership.ProbeTimeout) })
	}
}

// Lost is told that the link to the node at address broke or went silent: whether the node is
// gone is found out at once, not at its next turn.
func (r *Runner) Lost(address string) {
	select {
	case r.lost <- address:
	default:
		count("links_left_out")
	}
}

// followLost looks after lost links until ctx ends.
func (r *Runner) followLost(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-r.lost:
			r.mu.Lock()
			direct, indirect, ok := r.core.OnLost(address)
			r.mu.Unlock()
			if ok {
				r.wait.Go(func() { r.settle(ctx, direct.To, append(indirect, direct)) })
			}
		}
	}
}

// HandleProbe answers peer.KindProbe; it is a peer.ServeFunc.
func (r *Runner) HandleProbe(ctx context.Context, _ string, payload []byte) (any, error) {
	var p membership.Probe
	if err := cbor.Unmarshal(payload, &p); err != nil {
		return nil, Error.New("probe: %w", err)
	}
	r.mu.Lock()
	r.core.OnProbe(p, r.o.Clock.Now())
	r.mu.Unlock()
	reply := membership.Reply{Reached: p.Through != "" && r.reach(ctx, p.Through)}
	r.publish()
	if r.o.Attach != nil {
		reply.Attached = r.o.Attach()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	reply.Gossip = r.core.Gossip(r.o.Clock.Now())
	return reply, nil
}

// reach probes a node for another one.
func (r *Runner) reach(ctx context.Context, name string) bool {
	r.mu.Lock()
	send, ok := r.core.Probe(name)
	r.mu.Unlock()
	if !ok {
		return false
	}
	_, err := r.call(ctx, send, membership.ProbeTimeout)
	return err == nil
}

// Leave announces the stop to peers and returns once they answered or ctx ended.
func (r *Runner) Leave(ctx context.Context) {
	r.mu.Lock()
	sends := r.core.Leave()
	r.mu.Unlock()
	r.publish()
	var wait sync.WaitGroup
	for _, s := range sends {
		wait.Go(func() { _, _ = r.call(ctx, s, membership.ProbeTimeout) })
	}
	wait.Wait()
}

// publish stores the View if it changed and tells subscribers if its members did.
func (r *Runner) publish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.core.Generation() == r.published {
		return
	}
	r.published = r.core.Generation()
	before, after := r.view.Load(), r.core.View()
	r.view.Store(after)
	if slices.Equal(before.Members, after.Members) {
		return
	}
	r.logChanges(before, after)
	for _, f := range r.subscribers {
		f(after)
	}
}

func (r *Runner) logChanges(before, after *View) {
	known := make(map[string]membership.State, len(before.Members))
	for _, m := range before.Members {
		known[m.Name] = m.State
	}
	for _, m := range after.Members {
		old, ok := known[m.Name]
		delete(known, m.Name)
		if ok && old == m.State {
			continue
		}
		count("changes")
		_ = r.o.Logger.Log("event", "member", "node", m.Name, "state", m.State)
	}
	for name := range known {
		count("changes")
		_ = r.o.Logger.Log("event", "member", "node", name, "state", "unlisted")
	}
}
