package hosted

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Statement is a statement that a target received, with the session's customer and settings
// at that time. An ID of "-" marks a statement of the proxy itself.
type Statement struct {
	ID       string
	Text     string
	Customer string
	Settings map[string]string
}

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
	// how often the target was killed.
	primary        bool
	down           bool
	generation     int
	term           uint64
	pausedForTerm  uint64
	log            []logEntry
	appliedEntries int
	executed       []Statement

	mu             sync.Mutex
	conns          map[net.Conn]struct{}
	maxConnections int
	respond        RespondFunc
}

func newTarget(g *Group, id string, primary bool) *Target {
	t := makeTarget(g, id)
	t.primary = primary
	t.listen("")
	return t
}

// makeTarget returns a replica that does not listen yet.
func makeTarget(g *Group, id string) *Target {
	return &Target{ID: id, maxConnections: 50, group: g, term: 1, conns: make(map[net.Conn]struct{})}
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

// Ran returns the callers' statements that the target executed, in order.
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

// Leads reports whether the target is the primary and runs.
func (t *Target) Leads() bool {
	t.group.mu.Lock()
	defer t.group.mu.Unlock()
	return t.primary && !t.down
}

// session is the state of one connection to a target. txState is I outside a transaction, T in
// one and E in a failed one; writes holds the transaction's writes until the commit.
type session struct {
	target   *Target
	out      net.Conn
	customer string
	settings map[string]string
	prepared map[string]string
	txState  byte
	readOnly bool
	writes   map[string]string
	// generation is the target's when the session began.
	generation int
}

func (t *Target) serve(conn net.Conn) {
	t.mu.Lock()
	atLimit := len(t.conns) >= t.maxConnections
	t.conns[conn] = struct{}{}
	t.mu.Unlock()
	defer func() {
		_ = conn.Close()
		t.mu.Lock()
		delete(t.conns, conn)
		t.mu.Unlock()
	}()
	in := bufio.NewReader(conn)
	line, err := in.ReadString('\n')
	fields := strings.Fields(line)
	if err != nil || len(fields) < 3 || fields[0] != "STARTUP" {
		return
	}
	s := &session{target: t, out: conn, customer: fields[2], txState: 'I', settings: map[string]string{}, prepared: map[string]string{}}
	t.group.mu.Lock()
	s.generation = t.generation
	t.group.mu.Unlock()
	if atLimit {
		s.send("ERROR MAXCONN too many connections")
		return
	}
	if !t.acquireSlot() {
		s.send("ERROR BUSY " + t.ID)
		return
	}
	time.Sleep(t.group.Load.Handshake)
	t.releaseSlot()
	if fields[1] != t.group.Name || len(fields) > 3 && fields[3] != t.ID {
		s.send("ERROR WRONGNODE " + t.ID)
		return
	}
	s.send("READY I " + s.position())
	for {
		line, err := in.ReadString('\n')
		if err != nil || !s.handleQuery(strings.TrimSuffix(line, "\r\n")) {
			return
		}
	}
}

func (s *session) send(line string) { _, _ = s.out.Write([]byte(line + "\r\n")) }

// position returns the log position up to which the target's reads see commits.
func (s *session) position() string {
	g := s.target.group
	g.mu.Lock()
	defer g.mu.Unlock()
	return formatPosition(s.target.term, s.target.appliedEntries)
}

// handleQuery responds to one statement. It returns false if the connection must be closed.
func (s *session) handleQuery(line string) bool {
	command, rest, _ := strings.Cut(line, " ")
	id, text, _ := strings.Cut(rest, " ")
	if command != "QUERY" {
		return false
	}
	st := Statement{ID: id, Text: text, Customer: s.customer, Settings: s.settings}
	if respond := s.target.responder(); respond != nil {
		if raw, closeConn, ok := respond(st); ok {
			_, _ = s.out.Write([]byte(raw))
			return !closeConn
		}
	}
	var rows []string
	failure, lost := "BUSY "+s.target.ID, false
	run := s.noteBegin(id)
	s.work(text, func() { rows, failure, lost = s.execute(st) })
	s.noteEnd(run, failure)
	if lost {
		return false
	}
	for _, row := range rows {
		s.send("ROW " + row)
	}
	switch {
	case failure != "":
		if s.txState == 'T' {
			s.txState = 'E'
		}
		s.send("ERROR " + failure)
	case id == "-":
		s.send("COMPLETE -")
	default:
		s.send("COMPLETE " + s.target.ID + "." + id)
	}
	s.send(fmt.Sprintf("READY %c %s", s.txState, s.position()))
	return true
}

// execute carries out one statement. It returns the rows read, or the text of the error
// response; failure is empty if the statement succeeded. lost is true, and nothing was done, if the
// target has ended since the session began.
func (s *session) execute(st Statement) (rows []string, failure string, lost bool) {
	g := s.target.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.hasLostTarget() {
		return nil, "", true
	}
	rows, failure = s.executeStatement(st)
	return rows, failure, false
}

// executeStatement is execute at a target that runs. The caller holds group.mu.
func (s *session) executeStatement(st Statement) (rows []string, failure string) {
	t := s.target
	if st.ID != "-" {
		settings := make(map[string]string, len(s.settings))
		for name, value := range s.settings {
			settings[name] = value
		}
		st.Settings = settings
		t.executed = append(t.executed, st)
	}
	command, rest, _ := strings.Cut(st.Text, " ")
	if command == "AFTER" {
		_, rest, _ = strings.Cut(rest, " ")
		command, rest, _ = strings.Cut(rest, " ")
	}
	switch command {
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return s.executeControl(command, rest)
	case "RESET":
		clear(s.settings)
		clear(s.prepared)
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.settings[name] = value
	case "PREPARE":
		name, text, _ := strings.Cut(rest, " ")
		s.prepared[name] = text
	case "EXEC":
		name, args, _ := strings.Cut(rest, " ")
		text, ok := s.prepared[name]
		if !ok {
			return nil, "NOSTMT " + name
		}
		dataCommand, _, _ := strings.Cut(text, " ")
		return s.executeData(dataCommand, args)
	case "BEGIN":
		if rest == "" && !t.primary {
			return nil, "READONLY " + t.ID
		}
		s.txState, s.readOnly, s.writes = 'T', rest != "", map[string]string{}
	case "ROLLBACK":
		s.txState, s.writes = 'I', nil
	case "COMMIT":
		return nil, s.commit()
	default:
		return s.executeData(command, rest)
	}
	return nil, ""
}

// executeData reads or writes one item. Writes in a transaction are buffered until the commit.
// The caller holds group.mu.
func (s *session) executeData(command, rest string) (rows []string, failure string) {
	t := s.target
	item, value, _ := strings.Cut(rest, " ")
	switch command {
	case "READ":
		if own, ok := s.writes[item]; ok {
			return []string{own}, ""
		}
		for _, e := range t.log[:t.appliedEntries] {
			if v, ok := e.items[item]; ok {
				rows = []string{v}
			}
		}
		return rows, ""
	case "WRITE":
		if !t.primary {
			return nil, "READONLY " + t.ID
		}
		if s.txState == 'T' {
			s.writes[item] = value
			return nil, ""
		}
		t.appendEntry(map[string]string{item: value})
		return nil, ""
	default:
		return nil, "FAILED unknown statement"
	}
}

// commit ends the transaction and returns the text of the error response, empty on success.
// The caller holds group.mu.
func (s *session) commit() string {
	writes := s.writes
	s.txState, s.writes = 'I', nil
	if len(writes) == 0 {
		return ""
	}
	if !s.target.primary {
		return "READONLY " + s.target.ID
	}
	s.target.appendEntry(writes)
	return ""
}

// appendEntry commits items at the primary and replicates them. The caller holds group.mu.
func (t *Target) appendEntry(items map[string]string) {
	t.log = append(t.log, logEntry{term: t.term, items: items})
	t.appliedEntries = len(t.log)
	t.group.replicate(t)
}
