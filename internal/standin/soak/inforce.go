package soak

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// seenSlack is how long after the effect of a configuration was seen a request may still be handled as an
	// older one has it.
	seenSlack = time.Second
	// maxProbeInterval is the longest pause between two probes of a node, and shareKeptProbes the percentage of
	// probes after which the session is kept for the next one.
	maxProbeInterval = 120 * time.Millisecond
	shareKeptProbes  = 80
	// probeSeed is added to the seed for the choices of probe.
	probeSeed = 3 << 20
)

// subject is what a configuration allows or does not.
type subject string

// The subjects: the key that is withdrawn at times, and a route that is dropped at times.
const (
	subjectKey   subject = "the key"
	subjectRoute subject = "the route"
)

// refusals are the codes of refusals that say that the configuration does not allow a subject.
var refusals = map[subject]string{subjectKey: "NOAUTH", subjectRoute: "NODB"}

func (c configuration) allows(s subject) bool {
	if s == subjectKey {
		return !c.withoutKey
	}
	return !c.withoutJobs
}

// accepted is a configuration that was sent to the store and, unless ackedAt is zero, acknowledged.
type accepted struct {
	configuration
	sentAt, ackedAt time.Time
}

// outcome is how a node handled a request that concerns a subject.
type outcome struct {
	node, boot    string
	subject       subject
	isAllowed     bool
	sentAt, endAt time.Time
}

// seen is from when on a node is known to know a configuration or a later one, by its place in the history.
type seen struct {
	at    time.Time
	place int
}

// inForce judges by the configurations that the store accepted how nodes handle requests. It is safe for
// concurrent use.
type inForce struct {
	judge *judge

	mu      sync.Mutex
	history []accepted
	// seen holds what each process knew, by its boot, oldest first.
	seen map[string][]seen
}

func newInForce(j *judge) *inForce { return &inForce{judge: j, seen: make(map[string][]seen)} }

// noteSent records a configuration that is about to be sent, noteAck that the last one was acknowledged.
func (f *inForce) noteSent(c configuration, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.history = append(f.history, accepted{configuration: c, sentAt: at})
}

func (f *inForce) noteAck(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.history[len(f.history)-1].ackedAt = at
}

// observe judges an outcome: it must be as some configuration has it that may be in force, and as one that is
// no older than what the process has shown to know before.
func (f *inForce) observe(o outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fits := func(from int) int {
		at := slices.IndexFunc(f.history[from:], func(a accepted) bool {
			return a.allows(o.subject) == o.isAllowed && a.sentAt.Before(o.endAt)
		})
		if at < 0 {
			return -1
		}
		return from + at
	}
	oldest := f.oldest(o.sentAt)
	late := fits(oldest) < 0
	if !late || !f.judge.isExcused(f.history[oldest].ackedAt.Add(-stableTime), o.endAt) {
		f.judge.check(ruleInForce, !late, "%s allowed %s: %t, of a request that was sent at %s, %s after the ack of version %d",
			o.node, o.subject, o.isAllowed, o.sentAt.UTC().Format("15:04:05.000"), o.sentAt.Sub(f.history[oldest].ackedAt).Round(time.Millisecond), oldest+1)
	}
	known := f.knownAt(o.boot, o.sentAt.Add(-seenSlack))
	place := fits(known)
	f.judge.check(ruleNoReturn, place >= 0, "%s allowed %s: %t, of a request that was sent at %s, though it knew version %d before",
		o.node, o.subject, o.isAllowed, o.sentAt.UTC().Format("15:04:05.000"), known+1)
	if last := f.knownAt(o.boot, o.endAt); place > last {
		f.seen[o.boot] = append(f.seen[o.boot], seen{o.endAt, place})
	}
}

// oldest returns the place of the oldest configuration that may handle a request that is sent at the given time.
// The caller holds f.mu.
func (f *inForce) oldest(sentAt time.Time) int {
	at := 0
	for i, a := range f.history {
		if !a.ackedAt.IsZero() && a.ackedAt.Add(inForceWithin).Before(sentAt) {
			at = i
		}
	}
	return at
}

// maxRate returns the highest rate of pressingCustomer that may be in force in a window. A lower one binds a whole
// window after it has to be in force, unless a fault was active.
func (f *inForce) maxRate(from, to time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	highest := 0
	for i, a := range f.history {
		if !a.sentAt.Before(to) {
			break
		}
		isLast := i == len(f.history)-1 || f.history[i+1].ackedAt.IsZero()
		if isLast || f.history[i+1].ackedAt.Add(inForceWithin+rateWindow).After(from) {
			highest = max(highest, a.rate())
		}
	}
	if highest < pressingRate && f.judge.isExcused(from.Add(-inForceWithin-rateWindow), to) {
		return pressingRate
	}
	return highest
}

// knownAt returns the place of the oldest configuration that a process may have known at the given time. The
// caller holds f.mu.
func (f *inForce) knownAt(boot string, at time.Time) int {
	place := 0
	for _, s := range f.seen[boot] {
		if !s.at.After(at) {
			place = s.place
		}
	}
	return place
}

// probe asks a node again and again for what some configurations allow and others do not, until the run ends.
func (r *run) probe(n *node, number int) {
	random := rand.New(rand.NewPCG(r.options.Seed+probeSeed, uint64(number)))
	kept := make(map[subject]*caller)
	for !r.hasEnded() {
		s := []subject{subjectKey, subjectRoute}[random.IntN(2)]
		kept[s] = r.probeOnce(n, s, kept[s])
		if kept[s] != nil && !isOneOf(random, shareKeptProbes) {
			kept[s].close()
			kept[s] = nil
		}
		time.Sleep(upTo(random, maxProbeInterval))
	}
	for _, c := range kept {
		if c != nil {
			c.close()
		}
	}
}

// probeOnce sends one request, in a new session if c is nil, and returns the session if it can go on.
func (r *run) probeOnce(n *node, s subject, c *caller) *caller {
	to, as := r.routes[0], changingCustomer
	if s == subjectRoute {
		to, as = r.routeOf(kindJobs), customers[0]
	}
	o := outcome{node: n.name, boot: n.boot(), subject: s, sentAt: time.Now()}
	code, ok := "", false
	if c == nil {
		var err error
		if c, code, err = connect(n.front, to, as); err != nil {
			return nil
		}
	}
	if c != nil {
		a := r.send(c, to, request{text: "READ steady", position: 1})
		code, ok = a.code, a.acknowledged()
		if a.state != "I" {
			c.close()
			c = nil
		}
	}
	o.endAt, o.isAllowed = time.Now(), ok
	if (ok || code == refusals[s]) && o.boot != "" && n.boot() == o.boot {
		r.inForce.observe(o)
	}
	return c
}

// routeOf returns the first route of a kind.
func (r *run) routeOf(kind string) route {
	return r.routes[slices.IndexFunc(r.routes, func(to route) bool { return to.kind == kind })]
}
