package hosted

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Promotion is a promotion call that a Group accepted. Holder and Fence are the values of the
// headers Crocusyoke-Duty-Holder and Crocusyoke-Fence-Token.
type Promotion struct {
	Target string
	Holder string
	Fence  string
}

// Group is one replicated database: its targets, their replicated log and the platform's
// promotion call. It is safe for concurrent use.
type Group struct {
	Name string
	// PromoteAfter is the delay before a promotion takes effect, and Lag the delay before a
	// replica applies a commit. Both must be set before the first call; SetLag changes Lag later.
	PromoteAfter time.Duration
	Lag          time.Duration
	// Load is how the targets spend time. It must be set before the first call.
	Load Load
	// SyncReplicas is how many replicas must have received a commit before the primary acknowledges it. It must be
	// set before the first call.
	SyncReplicas int
	// Observe, if it is not nil, is called with each statement of a caller that a target carried out or
	// refused itself, in place of keeping it for Ran. It must be set before the first call, and must not
	// call the group.
	Observe func(Statement)
	// Arrived, if it is not nil, is called with each statement when a target reads it, also with those of the proxy
	// itself and those that are then refused. It must be set before the first call.
	Arrived func(Statement)
	// ColdStart is how long a target is cold after its start. If it is 0, entries do not tell of the targets'
	// processes. It must be set before the first call.
	ColdStart time.Duration

	promotions     *Promotions
	mu             sync.Mutex
	random         *rand.Rand
	targets        []*Target
	promotionCalls []Promotion
	runs           map[string]*Run
}

// NewGroup starts a group of targets with the given ids, of which the first is the primary.
// The caller must call Close.
func NewGroup(name string, targets ...string) *Group {
	g := &Group{Name: name, runs: make(map[string]*Run)}
	for i, id := range targets {
		g.targets = append(g.targets, newTarget(g, id, i == 0))
	}
	g.promotions = NewPromotions(g)
	return g
}

// Close stops the promotion server and every target.
func (g *Group) Close() {
	g.promotions.Close()
	g.mu.Lock()
	targets := slices.Clone(g.targets)
	g.mu.Unlock()
	for _, t := range targets {
		t.Kill()
	}
}

// PromotionAddress returns the IP:port of the server that accepts promotion calls for this group.
func (g *Group) PromotionAddress() string { return g.promotions.Address() }

// Target returns the target with the given id, or nil if there is none.
func (g *Group) Target(id string) *Target {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.target(id)
}

// target is Target for callers that hold g.mu.
func (g *Group) target(id string) *Target {
	for _, t := range g.targets {
		if t.ID == id {
			return t
		}
	}
	return nil
}

// Replace ends a target for good and starts a new one called id at its address, as a replica that has
// its log.
func (g *Group) Replace(old *Target, id string) *Target {
	old.Kill()
	g.mu.Lock()
	t := makeTarget(g, id)
	t.Address, t.RegisteredAddress, t.down = old.Address, old.RegisteredAddress, true
	t.term, t.log = old.term, append([]logEntry(nil), old.log...)
	t.appliedEntries = len(t.log)
	g.targets = append(g.targets, t)
	g.mu.Unlock()
	t.Restart()
	return t
}

// Leader returns the target that leads the highest term, or nil if none does.
func (g *Group) Leader() *Target {
	g.mu.Lock()
	defer g.mu.Unlock()
	var leader *Target
	for _, t := range g.targets {
		if t.primary && !t.down && (leader == nil || t.term > leader.term) {
			leader = t
		}
	}
	return leader
}

// SetLag changes the delay before a replica applies later commits.
func (g *Group) SetLag(lag time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Lag = lag
}

// Promotions returns the promotion calls accepted so far.
func (g *Group) Promotions() []Promotion {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Promotion(nil), g.promotionCalls...)
}

// Entry returns the JSON value that a target registers in the platform's list of servers. The targets that a group
// began with have not just started.
func (g *Group) Entry(id, zone, state string) []byte {
	t := g.Target(id)
	address := t.RegisteredAddress
	if address == "" {
		address = t.Address
	}
	entry := map[string]any{
		"service": g.Name, "addr": address, "zone": zone, "version": "v1",
		"slots": 5, "state": state, "cold_left_ms": 0, "seq": 1,
	}
	if g.ColdStart > 0 {
		startedAt, sequence := t.nextEntry()
		entry["cold_left_ms"] = max(0, time.Until(startedAt.Add(g.ColdStart))).Milliseconds()
		entry["born"], entry["seq"] = startedAt.UnixMilli(), sequence
	}
	value, _ := json.Marshal(entry)
	return value
}

// promote accepts a promotion call. It reports false if the target does not run.
func (g *Group) promote(call Promotion) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.target(call.Target)
	if t == nil || t.down {
		return false
	}
	g.promotionCalls = append(g.promotionCalls, call)
	time.AfterFunc(g.PromoteAfter, func() { g.makePrimary(t) })
	return true
}

// makePrimary makes t the primary of its next term. The other running targets become its
// replicas and take over its term and log.
func (g *Group) makePrimary(t *Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t.term++
	t.primary = true
	t.pausedForTerm = 0
	t.appliedEntries = len(t.log)
	for _, other := range g.targets {
		if other == t || other.down {
			continue
		}
		other.primary = false
		other.term = t.term
		other.pausedForTerm = 0
		other.log = append([]logEntry(nil), t.log...)
		other.appliedEntries = len(other.log)
	}
}

// replicate appends the primary's latest log entries to each replica that runs, is not paused
// and has the primary's term. The replica applies them after g.Lag. The caller holds g.mu.
func (g *Group) replicate(primary *Target) {
	for _, t := range g.targets {
		if t == primary || t.down || t.pausedForTerm > 0 || t.term != primary.term || len(t.log) >= len(primary.log) {
			continue
		}
		t.log = append(t.log, primary.log[len(t.log):]...)
		size := len(t.log)
		time.AfterFunc(g.Lag, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			t.appliedEntries = max(t.appliedEntries, min(size, len(t.log)))
		})
	}
}

// logEntry is one commit: the values written, by item.
type logEntry struct {
	term  uint64
	items map[string]string
	// number identifies the commit among those of the process.
	number uint64
}

// formatPosition returns the position of a log of n entries in a term, as TERM.N.
func formatPosition(term uint64, n int) string { return fmt.Sprintf("%d.%d", term, n) }
