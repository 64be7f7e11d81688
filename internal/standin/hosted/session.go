package hosted

import (
	"bufio"
	"errors"
	"fmt"
	"maps"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// The states of a session's transaction.
const (
	stateIdle   = 'I'
	stateOpen   = 'T'
	stateFailed = 'E'
)

// The errors of statements without a text of their own.
const (
	malformed     = "MALFORMED not a statement that can run here"
	unprepared    = "NOSTMT no such name"
	rolledBack    = "ABORTED the transaction had failed"
	unreadable    = "MALFORMED not a line that begins a session"
	unknownLine   = "MALFORMED unknown line"
	overlongLine  = "MALFORMED line too long"
	tooManyLogins = "MAXCONN too many connections"
)

// connectionCount, transactionCount and commitCount number the connections, transactions and commits of the process.
var connectionCount, transactionCount, commitCount atomic.Uint64

// session is the state of one connection to a target.
type session struct {
	target     *Target
	out        net.Conn
	connection uint64
	customer   string
	settings   map[string]string
	prepared   map[string]Prepared
	txState    byte
	readOnly   bool
	// transaction identifies the transaction, writes holds its writes until the commit.
	transaction uint64
	writes      map[string]string
	// generation and startedAt are the target's when the session began.
	generation int
	startedAt  time.Time
	// committed is the position of what the statement in hand has committed, zero if nothing.
	committed logPosition
	// fault is what the target does wrong with the statement in hand.
	fault setupFault
	// isIdle is true while the session waits for a statement outside a transaction.
	isIdle atomic.Bool
}

func (t *Target) serve(conn net.Conn) {
	s := &session{target: t, out: conn, connection: connectionCount.Add(1), txState: stateIdle, settings: map[string]string{}, prepared: map[string]Prepared{}}
	t.mu.Lock()
	atLimit := len(t.conns) >= t.maxConnections
	t.conns[conn] = s
	t.mu.Unlock()
	defer func() {
		_ = conn.Close()
		t.mu.Lock()
		delete(t.conns, conn)
		t.mu.Unlock()
	}()
	in := bufio.NewReader(conn)
	line, err := readLine(in)
	if err != nil {
		return
	}
	if !s.begin(line, atLimit) {
		return
	}
	s.send("READY I " + s.position())
	for {
		s.isIdle.Store(s.txState == stateIdle)
		line, err := readLine(in)
		s.isIdle.Store(false)
		if errors.Is(err, errLineTooLong) {
			s.send("ERROR " + overlongLine)
		}
		if err != nil || !s.handleLine(line) {
			return
		}
	}
}

// begin carries out the first line of a connection. It returns false, having answered with an error, if the
// target takes no session.
func (s *session) begin(line string, atLimit bool) bool {
	t := s.target
	login, ok := parseStartup(line)
	if !ok {
		s.send("ERROR " + unreadable)
		return false
	}
	s.customer = login.customer
	t.group.mu.Lock()
	s.generation, s.startedAt = t.generation, t.startedAt
	t.group.mu.Unlock()
	if atLimit {
		s.send("ERROR " + tooManyLogins)
		return false
	}
	if !t.acquireSlot() {
		s.send("ERROR BUSY " + t.ID)
		return false
	}
	time.Sleep(t.group.Load.Handshake)
	t.releaseSlot()
	if login.service != t.group.Name || login.id != "" && login.id != t.ID {
		s.send("ERROR WRONGNODE " + t.ID)
		return false
	}
	return true
}

func (s *session) send(line string) { _, _ = s.out.Write([]byte(line + "\r\n")) }

// position returns the log position up to which the target's reads see commits.
func (s *session) position() string {
	g := s.target.group
	g.mu.Lock()
	defer g.mu.Unlock()
	return formatPosition(s.target.term, s.target.appliedEntries)
}

// handleLine responds to one line. It returns false if the connection must be closed.
func (s *session) handleLine(line string) bool {
	if line == "BYE" {
		return false
	}
	id, text, ok := parseQuery(line)
	if !ok {
		s.send("ERROR " + unknownLine)
		return false
	}
	st := s.statement(id, text)
	if arrived := s.target.group.Arrived; arrived != nil {
		arrived(st)
	}
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
	if s.committed != (logPosition{}) {
		failure, lost = s.awaitReplicas()
	}
	s.noteEnd(run, failure)
	if lost || s.breaksOff() {
		return false
	}
	s.answer(id, rows, failure)
	s.fault = setupOK
	return true
}

// answer sends the answer to one statement.
func (s *session) answer(id string, rows []string, failure string) {
	for _, row := range rows {
		s.send("ROW " + row)
	}
	switch {
	case failure != "":
		if s.failsTransaction() {
			s.txState = stateFailed
		}
		s.send("ERROR " + failure)
	case id == ownID:
		s.send("COMPLETE -")
	default:
		s.send("COMPLETE " + s.target.ID + "." + id)
	}
	s.send(fmt.Sprintf("READY %c %s", s.txState, s.position()))
}

// statement returns the record of a statement that was received now.
func (s *session) statement(id, text string) Statement {
	st := Statement{
		ID: id, Text: text, Customer: s.customer, Settings: maps.Clone(s.settings),
		Connection: s.connection, Target: s.target.ID, ReceivedAt: time.Now(), StartedAt: s.startedAt,
	}
	if rest, ok := strings.CutPrefix(st.CallerText(), "EXEC "); ok {
		name, arguments, _ := strings.Cut(rest, " ")
		st.Arguments = arguments
		if prepared, ok := s.prepared[name]; ok {
			st.Prepared = &prepared
		}
	}
	return st
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
	st.Transaction = s.transaction
	st.log = s.target.log[:s.target.appliedEntries:s.target.appliedEntries]
	rows, failure = s.executeText(st.ID, st.Text)
	if st.Transaction == 0 {
		st.Transaction = s.transaction
	}
	st.Rows = rows
	if s.committed != (logPosition{}) {
		st.Commit = Commit{s.committed, s.target.log[s.committed.entries-1].number}
	}
	st.Result, _, _ = strings.Cut(failure, " ")
	if st.ID != ownID {
		s.target.note(st)
	}
	return rows, failure, false
}

// executeText is execute at a target that runs. The caller holds group.mu.
func (s *session) executeText(id, text string) (rows []string, failure string) {
	c, ok := parseCommand(text)
	switch {
	case !ok:
		return nil, malformed
	case s.txState == stateFailed:
		return nil, s.executeInFailedTransaction(c)
	case s.hasLostLead() && c.word != "COMMIT" && c.word != "ROLLBACK":
		return nil, "READONLY " + s.target.ID
	}
	if s.target.readPosition().isBehind(c.after) {
		return nil, "LAGGING " + s.target.ID
	}
	if id == ownID && c.isSetup() {
		if fault := s.target.group.drawSetupFault(); fault != setupOK {
			return nil, s.executeFaulty(c, fault)
		}
	}
	return s.executeCommand(c)
}

// hasLostLead reports whether the target of a transaction that may write is the primary no more.
func (s *session) hasLostLead() bool {
	return s.txState == stateOpen && !s.readOnly && !s.target.primary
}

// executeInFailedTransaction ends the transaction, or refuses the statement.
func (s *session) executeInFailedTransaction(c command) string {
	switch c.word {
	case "ROLLBACK":
		s.endTransaction()
		return ""
	case "COMMIT":
		s.endTransaction()
		return rolledBack
	}
	return malformed
}

func (s *session) endTransaction() {
	s.txState, s.transaction, s.writes = stateIdle, 0, nil
}

// executeCommand carries out a parsed statement. The caller holds group.mu.
func (s *session) executeCommand(c command) (rows []string, failure string) {
	switch c.word {
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return s.executeControl(c.word, strings.Join(c.fields, " "))
	case "RESET":
		clear(s.settings)
		clear(s.prepared)
	case "SET":
		s.settings[c.fields[0]] = c.fields[1]
	case "PREPARE":
		s.prepared[c.fields[0]] = Prepared{Kind: c.fields[1], Shape: c.fields[2]}
	case "DEALLOC":
		if _, ok := s.prepared[c.fields[0]]; !ok {
			return nil, unprepared
		}
		delete(s.prepared, c.fields[0])
	case "EXEC":
		return s.executePrepared(c.fields[0], c.fields[1:])
	case "BEGIN":
		return nil, s.beginTransaction(len(c.fields) > 0)
	case "ROLLBACK":
		s.endTransaction()
	case "COMMIT":
		return nil, s.commit()
	case "READ":
		return s.read(c.fields[0]), ""
	case "WRITE":
		return nil, s.write(c.fields[0], c.fields[1])
	}
	return nil, ""
}

func (s *session) executePrepared(name string, arguments []string) (rows []string, failure string) {
	prepared, ok := s.prepared[name]
	switch {
	case !ok:
		return nil, unprepared
	case prepared.Kind == KindRead && len(arguments) == 1:
		return s.read(arguments[0]), ""
	case prepared.Kind == KindWrite && len(arguments) == 2:
		return nil, s.write(arguments[0], arguments[1])
	}
	return nil, malformed
}

func (s *session) beginTransaction(readOnly bool) (failure string) {
	switch {
	case s.txState != stateIdle:
		return malformed
	case !readOnly && !s.target.primary:
		return "READONLY " + s.target.ID
	}
	s.txState, s.readOnly = stateOpen, readOnly
	s.transaction, s.writes = transactionCount.Add(1), map[string]string{}
	return ""
}

// read returns the rows of one item. The caller holds group.mu.
func (s *session) read(item string) (rows []string) {
	if own, ok := s.writes[item]; ok {
		return []string{own}
	}
	t := s.target
	for _, e := range t.log[:t.appliedEntries] {
		if v, ok := e.items[item]; ok {
			rows = []string{v}
		}
	}
	return rows
}

// write writes one item; in a transaction, the write is kept until the commit. The caller holds group.mu.
func (s *session) write(item, value string) (failure string) {
	t := s.target
	if !t.primary {
		return "READONLY " + t.ID
	}
	value = t.group.Load.keptValue(value)
	if s.txState == stateOpen {
		s.writes[strings.Clone(item)] = value
		return ""
	}
	s.appendEntry(map[string]string{strings.Clone(item): value})
	return ""
}

// commit ends the transaction and returns the text of the error response, empty on success.
// The caller holds group.mu.
func (s *session) commit() string {
	writes := s.writes
	s.endTransaction()
	if len(writes) == 0 {
		return ""
	}
	if !s.target.primary {
		return "READONLY " + s.target.ID
	}
	s.appendEntry(writes)
	return ""
}
