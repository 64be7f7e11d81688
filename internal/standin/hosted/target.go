package hosted

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Statement is a statement that a target ran.
type Statement struct {
	ID       string
	Text     string
	Customer string
	Settings map[string]string
}

// RespondFunc may answer a statement in place of the target: with raw bytes, after which
// the connection is closed if end is true. ok false lets the target answer.
type RespondFunc func(st Statement) (raw string, end, ok bool)

// Target is one database server.
type Target struct {
	ID      string
	Address string

	group    *Group
	listener net.Listener

	// The following are guarded by the group's lock.
	primary bool
	down    bool
	term    uint64
	held    uint64
	log     []entry
	applied int
	ran     []Statement

	mu             sync.Mutex
	conns          map[net.Conn]struct{}
	maxConnections int
	respond        RespondFunc
}

func newTarget(g *Group, id string, primary bool) *Target {
	t := &Target{ID: id, maxConnections: 50, group: g, primary: primary, term: 1, conns: make(map[net.Conn]struct{})}
	t.listen("127.0.0.1:0")
	return t
}

func (t *Target) listen(address string) {
	listener, err := net.Listen("tcp", address)
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

// Kill ends the target: its port refuses, its connections are cut.
func (t *Target) Kill() {
	t.group.mu.Lock()
	t.down = true
	t.group.mu.Unlock()
	_ = t.listener.Close()
	t.Cut()
}

// SetRespond has statements answered by respond first; nil for by the target alone.
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

// SetMaxConnections changes the most connections.
func (t *Target) SetMaxConnections(most int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxConnections = most
}

// Cut cuts every connection.
func (t *Target) Cut() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn := range t.conns {
		_ = conn.Close()
	}
}

// Ran returns the callers' statements that the target ran, in order.
func (t *Target) Ran() []Statement {
	t.group.mu.Lock()
	defer t.group.mu.Unlock()
	return append([]Statement(nil), t.ran...)
}

// Leads reports whether the target is the primary.
func (t *Target) Leads() bool {
	t.group.mu.Lock()
	defer t.group.mu.Unlock()
	return t.primary && !t.down
}

// session is one connection to a target.
type session struct {
	target   *Target
	out      net.Conn
	customer string
	settings map[string]string
	prepared map[string]string
	tx       byte
	readOnly bool
	writes   map[string]string
}

func (t *Target) serve(conn net.Conn) {
	t.mu.Lock()
	full := len(t.conns) >= t.maxConnections
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
	s := &session{target: t, out: conn, customer: fields[2], tx: 'I', settings: map[string]string{}, prepared: map[string]string{}}
	if full {
		s.send("ERROR MAXCONN too many connections")
		return
	}
	if fields[1] != t.group.Name || len(fields) > 3 && fields[3] != t.ID {
		s.send("ERROR WRONGNODE " + t.ID)
		return
	}
	s.send("READY I " + s.position())
	for {
		line, err := in.ReadString('\n')
		if err != nil || !s.query(strings.TrimSuffix(line, "\r\n")) {
			return
		}
	}
}

func (s *session) send(line string) { _, _ = s.out.Write([]byte(line + "\r\n")) }

// position returns how far reads here see the log.
func (s *session) position() string {
	g := s.target.group
	g.mu.Lock()
	defer g.mu.Unlock()
	return position(s.target.term, s.target.applied)
}

// query answers one statement. It reports false when the connection is to be closed.
func (s *session) query(line string) bool {
	word, rest, _ := strings.Cut(line, " ")
	id, text, _ := strings.Cut(rest, " ")
	if word != "QUERY" {
		return false
	}
	st := Statement{ID: id, Text: text, Customer: s.customer, Settings: s.settings}
	if respond := s.target.responder(); respond != nil {
		if raw, end, ok := respond(st); ok {
			_, _ = s.out.Write([]byte(raw))
			return !end
		}
	}
	rows, failure := s.run(st)
	for _, row := range rows {
		s.send("ROW " + row)
	}
	switch {
	case failure != "":
		if s.tx == 'T' {
			s.tx = 'E'
		}
		s.send("ERROR " + failure)
	case id == "-":
		s.send("COMPLETE -")
	default:
		s.send("COMPLETE " + s.target.ID + "." + id)
	}
	s.send(fmt.Sprintf("READY %c %s", s.tx, s.position()))
	return true
}

// run carries out one statement.
func (s *session) run(st Statement) (rows []string, failure string) {
	t, g := s.target, s.target.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if st.ID != "-" {
		settings := make(map[string]string, len(s.settings))
		for name, value := range s.settings {
			settings[name] = value
		}
		st.Settings = settings
		t.ran = append(t.ran, st)
	}
	word, rest, _ := strings.Cut(st.Text, " ")
	if word == "AFTER" {
		_, rest, _ = strings.Cut(rest, " ")
		word, rest, _ = strings.Cut(rest, " ")
	}
	switch word {
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return s.control(word, rest)
	case "RESET":
		clear(s.settings)
		clear(s.prepared)
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.settings[name] = value
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		s.prepared[name] = shape
	case "EXEC":
		name, args, _ := strings.Cut(rest, " ")
		shape, ok := s.prepared[name]
		if !ok {
			return nil, "NOSTMT " + name
		}
		kind, _, _ := strings.Cut(shape, " ")
		return s.data(kind, args)
	case "BEGIN":
		if rest == "" && !t.primary {
			return nil, "READONLY " + t.ID
		}
		s.tx, s.readOnly, s.writes = 'T', rest != "", map[string]string{}
	case "ROLLBACK":
		s.tx, s.writes = 'I', nil
	case "COMMIT":
		return nil, s.commit()
	default:
		return s.data(word, rest)
	}
	return nil, ""
}

// data reads or writes one item. The group's lock is held.
func (s *session) data(word, rest string) (rows []string, failure string) {
	t := s.target
	item, value, _ := strings.Cut(rest, " ")
	switch word {
	case "READ":
		if own, ok := s.writes[item]; ok {
			return []string{own}, ""
		}
		for _, e := range t.log[:t.applied] {
			if v, ok := e.items[item]; ok {
				rows = []string{v}
			}
		}
		return rows, ""
	case "WRITE":
		if !t.primary {
			return nil, "READONLY " + t.ID
		}
		if s.tx == 'T' {
			s.writes[item] = value
			return nil, ""
		}
		t.append(map[string]string{item: value})
		return nil, ""
	default:
		return nil, "FAILED unknown statement"
	}
}

// commit ends the transaction. The group's lock is held.
func (s *session) commit() string {
	writes := s.writes
	s.tx, s.writes = 'I', nil
	if len(writes) == 0 {
		return ""
	}
	if !s.target.primary {
		return "READONLY " + s.target.ID
	}
	s.target.append(writes)
	return ""
}

// append commits items at the primary. The group's lock is held.
func (t *Target) append(items map[string]string) {
	t.log = append(t.log, entry{term: t.term, items: items})
	t.applied = len(t.log)
	t.group.replicate(t)
}

// control carries out an order. The group's lock is held.
func (s *session) control(word, rest string) (rows []string, failure string) {
	t := s.target
	number, _ := strconv.ParseUint(rest, 10, 64)
	switch {
	case word == "PAUSE" && !t.primary && number > t.term:
		t.held = number
	case word == "RESUME":
		t.held = 0
	case word == "STEPDOWN" && t.primary && number > t.term:
		t.primary = false
	}
	role := "replica"
	if t.primary {
		role = "primary"
	}
	t.mu.Lock()
	conns := len(t.conns)
	t.mu.Unlock()
	return []string{fmt.Sprintf("%s %d %s %d 0 1 %d", role, t.term, position(t.term, len(t.log)), t.held, conns)}, ""
}

// WaitFor polls until done reports true; it reports false after limit.
func WaitFor(limit time.Duration, done func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if done() {
			return true
		}
	}
	return done()
}
