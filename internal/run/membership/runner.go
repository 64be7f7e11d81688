// Package membership runs the membership controller: it polls the platform's list, sends
// the probes that the controller asks for and publishes the resulting View.
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
	"crocusyoke/internal/contain"
	"crocusyoke/internal/controller/membership"
	"crocusyoke/internal/peer"
	"crocusyoke/internal/platform"
)

// Error is the class of this package's errors.
var Error = errs.Class("membership")

// View is the controller's view of the listed nodes.
type View = membership.View

const (
	tickInterval = 50 * time.Millisecond
	// listReaderInterval is the time between two reads of the list by a list reader, one of
	// the nodes that read the platform's list frequently on behalf of all nodes. All other
	// nodes together read it at most fleetListReadsPerSecond times a second.
	listReaderInterval      = time.Second
	fleetListReadsPerSecond = 50
	// maxLostLinks is how many lost links may be waiting to be probed.
	maxLostLinks = 64
	// lateness is how much longer than its timeout a probe may take. If it takes longer, this process
	// has not run for a while.
	lateness = 150 * time.Millisecond
)

// Options configures a Runner.
type Options struct {
	// Self is this node as the platform lists it.
	Self platform.VM
	// Platform is where the list is read; nil if it is passed to SetListed instead.
	Platform platform.VMs
	Peers    peer.Caller
	Clock    clock.Clock
	Logger   log.Logger
	// ConfigVersion returns the configuration version in force; may be nil.
	ConfigVersion func() uint64
	// Attachment returns the data to attach to each response to a probe; may be nil.
	Attachment func() []byte
	// OnAttachment is called with the data that node attached to its response to a probe
	// that was sent at sentAt; may be nil.
	OnAttachment func(node string, attached []byte, sentAt time.Time)
	// OnObservation is called for each sign of life of a node, seen by this node itself or
	// relayed by a peer: at time sentAt, node ran with configuration version. If it is nil, nodes relay none.
	OnObservation func(node string, version uint64, sentAt time.Time)
}

// Runner manages the membership state of one node. Its methods are safe for concurrent use.
type Runner struct {
	o    Options
	view atomic.Pointer[View]
	wait sync.WaitGroup
	// lostLinks holds the peer addresses of lost links that are waiting to be probed.
	lostLinks chan string

	mu          sync.Mutex
	controller  *membership.Core
	subscribers []func(*View)
	// publishedGeneration is the generation of the View that was stored last.
	publishedGeneration uint64
}

// New returns a Runner. Its View contains only this node until Run has read the list.
func New(o Options) *Runner {
	now := o.Clock.Now()
	seed := uint64(now.UnixNano())
	r := &Runner{o: o, lostLinks: make(chan string, maxLostLinks), controller: membership.New(o.Self, seed, rand.New(rand.NewPCG(seed, seed>>7)))}
	if o.OnObservation == nil {
		r.controller.OmitHeartbeats()
	}
	r.view.Store(r.controller.View())
	return r
}

// View returns the current View. It is never nil and must not be modified.
func (r *Runner) View() *View { return r.view.Load() }

// Subscribe registers f to be called after each change of the View's members, one call at a
// time. The calls come from the Runner's goroutines and from callers of SetListed,
// HandleProbe and Leave, while the Runner's mutex is locked. Therefore f must not block and
// must not call any method of the Runner except View.
func (r *Runner) Subscribe(f func(*View)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers = append(r.subscribers, f)
}

// Run probes until ctx ends and returns after its last call has ended.
func (r *Runner) Run(ctx context.Context) error {
	defer r.wait.Wait()
	if r.o.Platform != nil {
		r.wait.Go(func() { r.pollList(ctx) })
	}
	r.wait.Go(func() { r.probeLostLinks(ctx) })
	for {
		pause := tickInterval
		if contain.Step(r.o.Logger, "membership tick", func() { r.startProbes(ctx) }) {
			pause = contain.PauseAfterPanic
		}
		if err := r.o.Clock.Sleep(ctx, pause); err != nil {
			return nil
		}
	}
}

// startProbes ticks the controller, sends the probes that are due and publishes the View.
func (r *Runner) startProbes(ctx context.Context) {
	for _, send := range r.tick() {
		r.wait.Go(func() {
			contain.Step(r.o.Logger, "probe", func() { r.probe(ctx, send) })
		})
	}
	r.publish()
}

func (r *Runner) tick() []membership.OutboundProbe {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.o.ConfigVersion != nil {
		r.controller.SetVersion(r.o.ConfigVersion())
	}
	return r.controller.Tick(r.o.Clock.Now())
}

func (r *Runner) pollList(ctx context.Context) {
	for {
		r.readList(ctx)
		if r.o.Clock.Sleep(ctx, r.listInterval()) != nil {
			return
		}
	}
}

// listInterval returns the time between two reads of the list by this node.
func (r *Runner) listInterval() time.Duration {
	view := r.View()
	for _, m := range view.ListReaders() {
		if m.Name == view.Self {
			return listReaderInterval
		}
	}
	return max(listReaderInterval, time.Duration(len(view.Members))*time.Second/fleetListReadsPerSecond)
}

func (r *Runner) readList(ctx context.Context) {
	sentAt := r.o.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	vms, err := r.o.Platform.ListVMs(ctx)
	if err != nil {
		count("list_errors")
		return
	}
	r.mu.Lock()
	r.controller.SetListed(vms, sentAt)
	r.mu.Unlock()
	r.publish()
}

// SetListed applies a list that was current at time at. It is called by the component that
// follows changes of the list.
func (r *Runner) SetListed(vms []platform.VM, at time.Time) {
	r.mu.Lock()
	r.controller.SetListed(vms, at)
	r.mu.Unlock()
	r.publish()
}

// sendProbe sends one probe and applies the response.
func (r *Runner) sendProbe(ctx context.Context, s membership.OutboundProbe, timeout time.Duration) (membership.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply membership.Reply
	sentAt := r.o.Clock.Now()
	err := r.o.Peers.Call(ctx, s.Address, peer.KindProbe, s.Probe, &reply)
	if err != nil {
		count("probe_errors")
		return reply, Error.New("probe %s: %w", s.To, err)
	}
	if reply.Gossip.From != s.To {
		// Another node has taken over the address.
		count("probe_errors")
		return membership.Reply{}, Error.New("probe %s: answered by %s", s.To, reply.Gossip.From)
	}
	r.mu.Lock()
	r.controller.OnReply(s.To, reply, sentAt, r.o.Clock.Now())
	observations := r.controller.TakeObservations()
	r.mu.Unlock()
	if r.o.OnAttachment != nil {
		r.o.OnAttachment(s.To, reply.Attached, sentAt)
	}
	for _, b := range observations {
		if r.o.OnObservation != nil {
			r.o.OnObservation(b.Name, b.Version, b.At)
		}
	}
	return reply, nil
}

// probe probes a node directly. If that fails, it probes the node through other nodes, and
// reports the node to the controller as unreachable if these probes fail too.
func (r *Runner) probe(ctx context.Context, s membership.OutboundProbe) {
	sentAt := r.o.Clock.Now()
	if _, err := r.sendProbe(ctx, s, membership.ProbeTimeout); provesAlive(err) || ctx.Err() != nil {
		return
	}
	if r.endedLate(sentAt, membership.ProbeTimeout) {
		return
	}
	r.mu.Lock()
	indirect := r.controller.OnTimeout(s.To)
	r.mu.Unlock()
	r.confirmUnreachable(ctx, s.To, indirect)
}

// provesAlive reports whether a probe that ended with err shows that the node is running: a
// node that does not know this one yet refuses the probe.
func provesAlive(err error) bool { return err == nil || peer.ErrRefused.Has(err) }

// endedLate reports whether a probe that was sent at sentAt and has just failed ended well after its
// timeout. Then this process did not run meanwhile, and may not have seen the response: the failure says
// nothing about the other node.
func (r *Runner) endedLate(sentAt time.Time, timeout time.Duration) bool {
	if r.o.Clock.Now().Sub(sentAt) <= timeout+lateness {
		return false
	}
	count("probes_late")
	return true
}

// confirmUnreachable sends the given probes, direct ones or ones through other nodes, for a node
// that may have failed. If none of them reaches the node, it reports the node to the
// controller as unreachable.
func (r *Runner) confirmUnreachable(ctx context.Context, name string, probes []membership.OutboundProbe) {
	sentAt := r.o.Clock.Now()
	reached := make(chan bool, len(probes))
	for _, send := range probes {
		r.wait.Go(func() {
			reply, err := r.sendProbe(ctx, send, membership.IndirectTimeout)
			reached <- provesAlive(err) && (reply.Reached || send.To == name)
		})
	}
	for range probes {
		if <-reached {
			return
		}
	}
	if ctx.Err() != nil || r.endedLate(sentAt, membership.IndirectTimeout) {
		return
	}
	r.mu.Lock()
	announcements := r.controller.OnUnreachable(name, r.o.Clock.Now())
	r.mu.Unlock()
	r.publish()
	for _, send := range announcements {
		r.wait.Go(func() { _, _ = r.sendProbe(ctx, send, membership.ProbeTimeout) })
	}
}

// Contacts returns the addresses of the nodes that this node exchanges probes with regularly and that
// appear alive.
func (r *Runner) Contacts() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.controller.Contacts()
}

// LinkLost reports that the link to the node at address broke or stopped responding. The
// node is then probed at once instead of at its next regular turn.
func (r *Runner) LinkLost(address string) {
	select {
	case r.lostLinks <- address:
	default:
		count("links_left_out")
	}
}

// probeLostLinks probes the nodes of lost links until ctx ends.
func (r *Runner) probeLostLinks(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-r.lostLinks:
			r.mu.Lock()
			direct, indirect, ok := r.controller.OnLinkLost(address)
			r.mu.Unlock()
			if ok {
				r.wait.Go(func() { r.confirmUnreachable(ctx, direct.To, append(indirect, direct)) })
			}
		}
	}
}

// HandleProbe handles peer.KindProbe; it is a peer.ServeFunc.
func (r *Runner) HandleProbe(ctx context.Context, _ string, payload []byte) (any, error) {
	var p membership.Probe
	if err := cbor.Unmarshal(payload, &p); err != nil {
		return nil, Error.New("probe: %w", err)
	}
	r.handleGossip(p)
	reply := membership.Reply{Reached: p.Through != "" && r.canReach(ctx, p.Through)}
	r.publish()
	if r.o.Attachment != nil {
		reply.Attached = r.o.Attachment()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	reply.Gossip = r.controller.Gossip(r.o.Clock.Now())
	return reply, nil
}

func (r *Runner) handleGossip(p membership.Probe) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.controller.OnProbe(p, r.o.Clock.Now())
}

// canReach probes a node on behalf of another one and reports whether it answered.
func (r *Runner) canReach(ctx context.Context, name string) bool {
	r.mu.Lock()
	send, ok := r.controller.Probe(name)
	r.mu.Unlock()
	if !ok {
		return false
	}
	_, err := r.sendProbe(ctx, send, membership.ProbeTimeout)
	return err == nil
}

// Leave sends peers probes that announce that this node is stopping. It returns once each
// probe has been answered or has failed, which happens at the latest when ctx ends.
func (r *Runner) Leave(ctx context.Context) {
	r.mu.Lock()
	sends := r.controller.Leave()
	r.mu.Unlock()
	r.publish()
	var wait sync.WaitGroup
	for _, s := range sends {
		wait.Go(func() { _, _ = r.sendProbe(ctx, s, membership.ProbeTimeout) })
	}
	wait.Wait()
}

// publish stores the View if it changed and calls the subscribers if its members changed.
func (r *Runner) publish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.controller.Generation() == r.publishedGeneration {
		return
	}
	r.publishedGeneration = r.controller.Generation()
	before, after := r.view.Load(), r.controller.View()
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
