package hosted

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// firstAge is the age of the targets that a group begins with.
const firstAge = time.Hour

// RespondFunc may respond to a statement in place of the target. If ok is true, the target
// sends raw and then closes the connection if closeConn is true. If ok is false, the target
// carries out the statement itself.
type RespondFunc func(st Statement) (raw string, closeConn, ok bool)

// Target is one database server of a Group.
type Target struct {
	ID      string
	Address string
	// RegisteredAddress is the address in the target's entry, if it is reached through a proxy.
	RegisteredAddress string

	group     *Group
	listener  net.Listener
	slotsOnce sync.Once
	slots     chan struct{}
	// demand counts the statements that have a slot or wait for one.
	demand atomic.Int64

	// The fields below up to executed are guarded by group.mu. pausedForTerm is the term for
	// which PAUSE stopped replication, or 0; appliedEntries is the number of log entries that
	// reads see; executed holds the callers' statements; generation counts
	// how often the target was killed; startedAt is when it last started, sequence the number of its last entry.
	primary        bool
	down           bool
	generation     int
	startedAt      time.Time
	sequence       uint64
	term           uint64
	pausedForTerm  uint64
	log            []logEntry
	appliedEntries int
	executed       []Statement

	mu             sync.Mutex
	conns          map[net.Conn]*session
	maxConnections int
	respond        RespondFunc
}

func newTarget(g *Group, id string, primary bool) *Target {
	t := makeTarget(g, id)
	t.primary, t.startedAt = primary, time.Now().Add(-firstAge)
	t.listen("")
	return t
}

// makeTarget returns a replica that does not listen yet.
func makeTarget(g *Group, id string) *Target {
	return &Target{ID: id, maxConnections: 50, group: g, term: 1, conns: make(map[net.Conn]*session)}
}

func (t *Target) listen(address string) {
	listener, err := listenFixed(address)
	if err != nil {
		panic(err)
	}
	t.listener, t.Address = listener, listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go t.serve(conn)
		}
	}()
}

// SetRespond sets a function that may respond to each statement in place of the target; nil
// removes it.
func (t *Target) SetRespond(respond RespondFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.respond = respond
}

func (t *Target) responder() RespondFunc {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.respond
}

// SetMaxConnections changes the maximum number of connections.
func (t *Target) SetMaxConnections(limit int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxConnections = limit
}

// Cut closes every connection. The target keeps accepting new ones.
func (t *Target) Cut() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn := range t.conns {
		_ = conn.Close()
	}
}

// CloseIdle closes the connections that wait for a statement outside a transaction, of which choose picks
// some, and returns how many it closed. A statement may be under way on them.
func (t *Target) CloseIdle(choose func() bool) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	closed := 0
	for conn, s := range t.conns {
		if s.isIdle.Load() && choose() {
			_ = conn.Close()
			closed++
		}
	}
	return closed
}

// readPosition returns the position up to which reads see commits. The caller holds group.mu.
func (t *Target) readPosition() logPosition { return logPosition{t.term, uint64(t.appliedEntries)} }

// note records a caller's statement. The caller holds group.mu.
func (t *Target) note(st Statement) {
	if observe := t.group.Observe; observe != nil {
		observe(st)
		return
	}
	t.executed = append(t.executed, st)
}

// Ran returns the callers' statements that the target carried out or refused itself, in order; none if
// Group.Observe is set.
func (t *Target) Ran() []Statement {
	t.group.mu.Lock()
	defer t.group.mu.Unlock()
	return append([]Statement(nil), t.executed...)
}

// Writes returns how often the target's log has a write of each item.
func (t *Target) Writes() map[string]int {
	t.group.mu.Lock()
	defer t.group.mu.Unlock()
	writes := make(map[string]int)
	for _, entry := range t.log {
		for item := range entry.items {
			writes[item]++
		}
	}
	return writes
}

// Has reports whether the target's log has a commit.
func (t *Target) Has(c Commit) bool {
	t.group.mu.Lock()
	defer t.group.mu.Unlock()
	return c.isIn(t.log)
}

// Runs reports whether the target runs.
func (t *Target) Runs() bool {
	t.group.mu.Lock()
	defer t.group.mu.Unlock()
	return !t.down
}

// nextEntry returns when the target started and the number of its next entry. A target that does not run writes none,
// and keeps the number of the last one.
func (t *Target) nextEntry() (startedAt time.Time, sequence uint64) {
	t.group.mu.Lock()
	defer t.group.mu.Unlock()
	if !t.down {
		t.sequence++
	}
	return t.startedAt, t.sequence
}

// Leads reports whether the target is the primary and runs.
func (t *Target) Leads() bool {
	t.group.mu.Lock()
	defer t.group.mu.Unlock()
	return t.primary && !t.down
}

// appendEntry commits items at the primary and replicates them. The caller holds group.mu.
func (t *Target) appendEntry(items map[string]string) {
	t.log = append(t.log, logEntry{term: t.term, items: items, number: commitCount.Add(1)})
	t.appliedEntries = len(t.log)
	t.group.replicate(t)
}
