package hosted

import (
	"strings"
	"time"
)

// Load is how a target spends time. The zero value takes none.
type Load struct {
	// Slots is the number of statements that a target runs at the same time, any number if it is 0.
	// Queue is how many more may wait; the target answers further ones with BUSY.
	Slots, Queue int
	// Handshake is how long a new connection occupies a slot.
	Handshake time.Duration
	// Work returns how long a read, write or commit takes; nil if it takes no time.
	Work func() time.Duration
	// ValueLimit is how many bytes of a value that was written are kept, all of them if it is 0.
	ValueLimit int
	// Of SetupRefusals statements that change a session's settings or prepared names, and that no caller
	// sent, one on average is answered with BUSY; none if it is 0. In half of the cases a transaction stays
	// open. Of SetupFailures such statements one takes effect and is answered with FAILED or TIMEOUT, or the
	// connection ends before its answer or within it; none if it is 0. Which ones is drawn from Seed.
	SetupRefusals, SetupFailures int
	Seed                         uint64
}

// keptValue returns what is kept of a value. It does not hold on to the line that the value came in.
func (l *Load) keptValue(value string) string {
	if l.ValueLimit > 0 && len(value) > l.ValueLimit {
		value = value[:l.ValueLimit]
	}
	return strings.Clone(value)
}

// Run is one execution of a caller's statement at a target.
type Run struct {
	Target string
	// Began is when the target read the statement, Ended when it had answered or broken off, or zero.
	Began, Ended time.Time
	// BrokeOff is set if the target ended meanwhile, Result is the code of an error.
	BrokeOff bool
	Result   string
}

// Run returns the last execution of the statement with the given ID.
func (g *Group) Run(id string) (Run, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if run, ok := g.runs[id]; ok {
		return *run, true
	}
	return Run{}, false
}

// Forget drops the record of the executions of the statement with the given ID.
func (g *Group) Forget(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.runs, id)
}

// noteBegin records that a target has read a caller's statement.
func (s *session) noteBegin(id string) *Run {
	g := s.target.group
	g.mu.Lock()
	defer g.mu.Unlock()
	run := &Run{Target: s.target.ID, Began: time.Now()}
	if id != ownID {
		g.runs[id] = run
	}
	return run
}

// noteEnd records how an execution ended.
func (s *session) noteEnd(run *Run, failure string) {
	g := s.target.group
	g.mu.Lock()
	defer g.mu.Unlock()
	run.Ended = time.Now()
	run.BrokeOff = s.hasLostTarget()
	run.Result, _, _ = strings.Cut(failure, " ")
}

// hasLostTarget reports whether the target was killed since the session began. The caller holds group.mu.
func (s *session) hasLostTarget() bool {
	return s.target.down || s.generation != s.target.generation
}

// work occupies a slot for as long as the statement takes, and calls execute at the end of that time.
// It reports false, without executing it, if too many statements wait already.
func (s *session) work(text string, execute func()) bool {
	t := s.target
	if !occupiesSlot(text) {
		execute()
		return true
	}
	if !t.acquireSlot() {
		return false
	}
	defer t.releaseSlot()
	if work := t.group.Load.Work; work != nil && text != "STATUS" {
		time.Sleep(work())
	}
	execute()
	return true
}

// acquireSlot waits for a slot. It reports false if too many wait already.
func (t *Target) acquireSlot() bool {
	load := &t.group.Load
	if load.Slots == 0 {
		return true
	}
	t.slotsOnce.Do(func() { t.slots = make(chan struct{}, load.Slots) })
	if t.demand.Add(1) > int64(load.Slots+load.Queue) {
		t.demand.Add(-1)
		return false
	}
	t.slots <- struct{}{}
	return true
}

func (t *Target) releaseSlot() {
	if t.group.Load.Slots == 0 {
		return
	}
	<-t.slots
	t.demand.Add(-1)
}
