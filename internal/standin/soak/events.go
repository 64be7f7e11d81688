package soak

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"os/exec"
	"slices"
	"syscall"
	"time"

	"crocusyoke/internal/standin/hosted"
)

const (
	maxPause     = 2 * time.Second
	maxCrash     = 4 * time.Second
	maxOutage    = 2 * time.Second
	oddEntryTime = 1200 * time.Millisecond
	maxOddDelay  = 1200 * time.Millisecond
	maxRouteGap  = 800 * time.Millisecond
	// shareLongRouteGaps is the percentage of dropped routes that stay away until that has to be in force, and
	// minLongRouteGap for how long after that at least.
	shareLongRouteGaps = 30
	minLongRouteGap    = 700 * time.Millisecond
	// judgedTime is how much longer a key stays withdrawn than nodes may take to refuse it.
	judgedTime = 700 * time.Millisecond
	unreadTime = 3 * time.Second
	// minLag and maxLag bound how far replicas fall behind for lagTime.
	minLag  = time.Second
	maxLag  = 4 * time.Second
	lagTime = 5 * time.Second
	// maxLoweredTime is how much longer a rate may stay lowered than it takes to judge it.
	maxLoweredTime = 3 * time.Second
	// rejoinTime is how long a node that was started again may take until it is ready.
	rejoinTime = 3 * time.Second
)

// nodeOf returns the node that an event concerns.
func (r *run) nodeOf(e Event) *node { return r.nodes[e.Index%len(r.nodes)] }

// databaseOf returns the database that an event concerns.
func (r *run) databaseOf(e Event) *database { return r.databases[e.Variant%len(r.databases)] }

// randomOf returns the source of an event's further choices.
func randomOf(e Event) *rand.Rand { return rand.New(rand.NewPCG(uint64(e.Index), uint64(e.Variant))) }

// carryOut carries out one event and returns when it is over.
func (r *run) carryOut(e Event) {
	began := time.Now()
	switch e.Kind {
	case KindStop, KindUnreadLog:
		r.stop(e)
	case KindConfigure:
		r.changeRoutes(e)
	case KindWithdraw:
		r.withdraw()
	case KindHangup:
		r.hangUp(r.nodeOf(e))
	case KindRelease:
		r.databaseOf(e).release(randomOf(e))
	case KindRecord:
		r.playRecord(e)
	case KindKill:
		r.kill(e)
	case KindPause:
		r.pause(e)
	case KindCrash:
		r.crash(e)
		r.restartReplica(e)
	case KindOddEntry:
		r.writeOddEntry(e)
	case KindStore:
		r.turnCallsAway(e)
	case KindGrow:
		r.grow()
	case KindShrink:
		r.shrink(e)
	case KindSettings:
		r.changeSettings(e)
	case KindRate:
		r.lowerRate(e)
	case KindEvacuate:
		r.evacuate(e)
	case KindLag:
		r.fallBehind(e)
	case KindRestore:
		r.restore(e)
	}
	if e.Kind.IsFault() {
		r.judge.noteFault(began, time.Now())
	}
}

// stop stops a node with SIGTERM, and starts it again.
func (r *run) stop(e Event) {
	n := r.nodeOf(e)
	if !n.claim() {
		return
	}
	defer n.release()
	if e.Kind == KindUnreadLog {
		closePipe, ok := r.restartUnread(n)
		if !ok {
			return
		}
		defer closePipe()
	}
	r.terminate(n, string(e.Kind))
	r.start(n)
}

// terminate sends SIGTERM to a node and judges that it ends within the grace period.
func (r *run) terminate(n *node, kind string) {
	began := time.Now()
	n.noteStop(began)
	if err := r.super.Terminate(n.name); err != nil {
		r.judge.check(ruleOwnEnd, false, "%s had ended: %v", n.name, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	held := r.super.Wait(ctx, n.name) == nil
	n.noteEnd()
	if !held {
		// Whether SIGKILL ended the process tells if it still ran; this process may have noticed its end late.
		_ = r.super.Kill(n.name)
		_ = r.super.Wait(context.Background(), n.name)
		held = !wasKilled(r.super.Exit(n.name))
	}
	r.judge.check(ruleGrace, held || r.judge.isExcused(began, time.Now()), "%s (%s) still ran %s after SIGTERM at %s",
		n.name, kind, grace, began.UTC().Format("15:04:05.000"))
}

// wasKilled reports whether a process with the given exit error was ended by SIGKILL.
func wasKilled(err error) bool {
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGKILL
}

// restartUnread starts a node anew with a log that nobody reads, and waits until the log is full.
func (r *run) restartUnread(n *node) (closePipe func(), ok bool) {
	spec, closePipe, err := n.unreadPipe()
	if err != nil {
		return nil, false
	}
	n.noteStop(time.Now())
	_ = r.super.Terminate(n.name)
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if r.super.Wait(ctx, n.name) != nil {
		_ = r.super.Kill(n.name)
	}
	n.noteEnd()
	if r.super.Start(spec) != nil {
		closePipe()
		return nil, false
	}
	time.Sleep(rejoinTime + unreadTime)
	return closePipe, true
}

// hangUp tells a node with SIGHUP that its settings have changed, unless its process has only just begun.
func (r *run) hangUp(n *node) {
	if !n.noteHangup(time.Now()) {
		return
	}
	_ = r.super.Signal(n.name, syscall.SIGHUP)
}

// start starts a node again that has ended.
func (r *run) start(n *node) {
	time.Sleep(restartDelay)
	n.noteStart(time.Now())
	if err := r.super.Start(n.spec); err != nil {
		r.judge.check(ruleOwnEnd, false, "start of %s: %v", n.name, err)
	}
}

func (r *run) kill(e Event) {
	n := r.nodeOf(e)
	if !n.claim() {
		return
	}
	defer n.release()
	_ = r.super.Kill(n.name)
	r.start(n)
}

func (r *run) pause(e Event) {
	n := r.nodeOf(e)
	if !n.claim() {
		return
	}
	defer n.release()
	_ = r.super.Pause(n.name)
	time.Sleep(upTo(randomOf(e), maxPause))
	_ = r.super.Resume(n.name)
}

// changeRoutes adds routes, or drops one for a moment while callers have transactions open on it.
func (r *run) changeRoutes(e Event) {
	r.configuring.Lock()
	defer r.configuring.Unlock()
	if e.Variant%2 == 0 {
		r.configure(configuration{extraRoutes: e.Index % 50})
		return
	}
	r.configure(configuration{withoutJobs: true})
	random := randomOf(e)
	pause := upTo(random, maxRouteGap)
	if isOneOf(random, shareLongRouteGaps) {
		pause += inForceWithin + minLongRouteGap
	}
	time.Sleep(pause)
	r.configure(configuration{})
}

// crash crashes the primary, if all targets run, and starts it again. In half of the events the entries
// of the others are odd for a while, from some time within the promotion on.
func (r *run) crash(e Event) {
	d := r.databaseOf(e)
	d.changing.Lock()
	defer d.changing.Unlock()
	t := d.group.Leader()
	if t == nil {
		return
	}
	t.Kill()
	if e.Variant%2 == 0 {
		others := slices.DeleteFunc(d.ids(), func(id string) bool { return id == t.ID })
		time.Sleep(upTo(randomOf(e), maxOddDelay))
		d.writeOddEntries(others, oddEntries[e.Index%len(oddEntries)])
	}
	time.Sleep(r.minOutage() + upTo(randomOf(e), maxCrash))
	t.Restart()
}

// writeOddEntry replaces the entry of a target, or all of them.
func (r *run) writeOddEntry(e Event) {
	d := r.databaseOf(e)
	ids := d.ids()
	if e.Index%3 > 0 {
		ids = ids[e.Index%len(ids):][:1]
	}
	d.writeOddEntries(ids, oddEntries[e.Variant%len(oddEntries)])
}

// lowerRate lowers the rate of pressingCustomer for a while.
func (r *run) lowerRate(e Event) {
	r.changeLowering(1)
	time.Sleep(inForceWithin + 3*rateWindow + upTo(randomOf(e), maxLoweredTime))
	r.changeLowering(-1)
}

func (r *run) changeLowering(by int) {
	r.configuring.Lock()
	defer r.configuring.Unlock()
	r.lowering += by
	r.configure(configuration{})
}

// fallBehind makes the replicas of a group apply commits late for a while.
func (r *run) fallBehind(e Event) {
	d := r.databaseOf(e)
	random := randomOf(e)
	d.group.SetLag(minLag + upTo(random, maxLag-minLag))
	time.Sleep(lagTime)
	d.group.SetLag(r.options.Lag)
}

// turnCallsAway makes the store refuse calls, or not answer them, for a while.
func (r *run) turnCallsAway(e Event) {
	faults := []hosted.Fault{hosted.FaultBusy, hosted.FaultMany, hosted.FaultSilent, hosted.FaultLost}
	r.store.SetFault(func(*http.Request) hosted.Fault { return faults[e.Variant%len(faults)] })
	time.Sleep(upTo(randomOf(e), maxOutage))
	r.store.SetFault(nil)
}

// withdraw takes a key away, judges that it is refused in time by nodes that nothing happens to, and gives
// it back.
func (r *run) withdraw() {
	r.configuring.Lock()
	defer r.configuring.Unlock()
	acknowledgedAt := time.Now()
	r.configure(configuration{withoutKey: true})
	defer r.configure(configuration{})
	defer time.Sleep(judgedTime)
	time.Sleep(inForceWithin)
	for _, n := range r.members() {
		askedAt := time.Now()
		c, refused, err := connect(n.front, r.routes[0], changingCustomer)
		if c != nil {
			c.close()
		}
		if err != nil || r.judge.isExcused(acknowledgedAt.Add(-stableTime), time.Now()) || n.isStopping(acknowledgedAt.Add(-stableTime), time.Now()) {
			continue
		}
		r.judge.check(ruleWithdrawn, refused != "", "%s accepted a key %s after its withdrawal", n.name, askedAt.Sub(acknowledgedAt).Round(time.Millisecond))
	}
}
