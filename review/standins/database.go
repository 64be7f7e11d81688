package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Times of the databases, like those of a small deployment.
const (
	workTime      = 4 * time.Millisecond
	connectTime   = 12 * time.Millisecond
	replicaLag    = 20 * time.Millisecond
	promoteTime   = 300 * time.Millisecond
	heartbeat     = 1200 * time.Millisecond
	slots         = 5
	queueLength   = 40
	maxConns      = 50
	silentTimeout = 3 * heartbeat
)

// commit is one entry of a log.
type commit struct {
	term  uint64
	items map[string]string
}

// group is one database service: a primary and its replicas.
type group struct {
	name   string
	rec    *record
	store  *store
	duty   net.Listener
	mu     sync.Mutex
	all    []*server
	served atomic.Uint64
}

// server is one backend.
type server struct {
	id       string
	zone     string
	group    *group
	listener net.Listener
	born     int64

	// The group's mu guards these fields.
	primary bool
	term    uint64
	held    uint64
	log     []commit
	applied int
	state   string
	seq     uint64
	conns   int

	slot    chan struct{}
	waiting atomic.Int32
}

func newGroup(name, host string, s *store, rec *record) (*group, error) {
	g := &group{name: name, rec: rec, store: s}
	for i, zone := range []string{"a", "b", "c"} {
		listener, err := net.Listen("tcp", host+":0")
		if err != nil {
			return nil, err
		}
		b := &server{
			id: fmt.Sprintf("i-%s%d", name, i+1), zone: zone, group: g, listener: listener, primary: i == 0, term: 1,
			state: "ready", born: time.Now().UnixMilli(), slot: make(chan struct{}, slots),
		}
		g.all = append(g.all, b)
		go b.accept()
		go b.report()
	}
	duty, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	g.duty = duty
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", g.promote)
	go func() { _ = http.Serve(duty, mux) }()
	return g, nil
}

// report writes the backend's entry at each heartbeat.
func (b *server) report() {
	for {
		b.group.mu.Lock()
		b.seq++
		role := "replica"
		if b.primary {
			role = "primary"
		}
		entry, _ := json.Marshal(map[string]any{
			"service": b.group.name, "addr": b.listener.Addr().String(), "zone": b.zone, "version": "v1", "slots": slots,
			"state": b.state, "cold_left_ms": 0, "db_role": role, "seq": b.seq, "born": b.born,
		})
		b.group.mu.Unlock()
		b.group.store.put("servers", b.id, entry)
		time.Sleep(heartbeat)
	}
}

func (g *group) promote(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.Service != g.name {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, b := range g.all {
		if b.id != body.ID {
			continue
		}
		g.rec.log("platform: promote %s, holder %s, fence %s", b.id, r.Header.Get("Crocusyoke-Duty-Holder"), r.Header.Get("Crocusyoke-Fence-Token"))
		if !b.primary {
			time.AfterFunc(promoteTime, func() { g.lead(b) })
		}
		return
	}
	w.WriteHeader(http.StatusConflict)
}

// lead makes b the primary of the next term with the log that it has.
func (g *group) lead(b *server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, other := range g.all {
		b.term = max(b.term, other.term)
	}
	b.term++
	for _, other := range g.all {
		other.primary, other.term, other.held = other == b, b.term, 0
		other.log = append([]commit(nil), b.log...)
		other.applied = len(other.log)
	}
	g.rec.log("platform: %s leads term %d from %d.%d", b.id, b.term, b.term, len(b.log))
}

func (b *server) position(n int) string {
	if n == 0 {
		return fmt.Sprintf("%d.0", b.term)
	}
	return fmt.Sprintf("%d.%d", b.log[n-1].term, n)
}

// append commits items at the primary. The caller holds the group's mu.
func (b *server) append(items map[string]string) {
	b.log = append(b.log, commit{b.term, items})
	b.applied = len(b.log)
	for _, r := range b.group.all {
		if r == b || r.held > 0 {
			continue
		}
		r.log = append([]commit(nil), b.log...)
		n := len(r.log)
		time.AfterFunc(replicaLag, func() {
			b.group.mu.Lock()
			defer b.group.mu.Unlock()
			r.applied = max(r.applied, min(n, len(r.log)))
		})
	}
}

// value returns what a read of item sees. The caller holds the group's mu.
func (b *server) value(item string) (string, bool) {
	for i := b.applied - 1; i >= 0; i-- {
		if v, ok := b.log[i].items[item]; ok {
			return v, true
		}
	}
	return "", false
}

func (b *server) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.serve(conn)
	}
}

// backendSession is one connection to a backend.
type backendSession struct {
	b        *server
	conn     net.Conn
	name     string
	tenant   string
	tx       byte
	readOnly bool
	writes   map[string]string
	values   map[string]string
	prepared map[string][2]string
}

var connectionNumber atomic.Uint64

func (b *server) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReaderSize(conn, 64<<10)
	line, err := in.ReadString('\n')
	if err != nil {
		return
	}
	fields := strings.Fields(line)
	if len(fields) < 3 || fields[0] != "STARTUP" {
		return
	}
	if fields[1] != b.group.name || len(fields) > 3 && fields[3] != b.id {
		_, _ = io.WriteString(conn, "ERROR WRONGNODE "+b.id+"\r\n")
		return
	}
	b.group.mu.Lock()
	full := b.conns >= maxConns
	if !full {
		b.conns++
	}
	b.group.mu.Unlock()
	if full {
		_, _ = io.WriteString(conn, "ERROR MAXCONN "+b.id+"\r\n")
		return
	}
	s := &backendSession{
		b: b, conn: conn, name: fmt.Sprintf("%s#%d", b.id, connectionNumber.Add(1)), tenant: fields[2], tx: 'I',
		values: make(map[string]string), prepared: make(map[string][2]string),
	}
	defer s.end()
	time.Sleep(connectTime)
	s.ready(nil)
	for {
		line, err := in.ReadString('\n')
		if err != nil || !s.handle(strings.TrimRight(line, "\r\n")) {
			return
		}
	}
}

// end closes a session, which rolls its transaction back.
func (s *backendSession) end() {
	if s.tx != 'I' {
		s.b.group.rec.log("backend %s: connection ends in state %c, rolled back", s.name, s.tx)
	}
	s.b.group.mu.Lock()
	s.b.conns--
	s.b.group.mu.Unlock()
}

func (s *backendSession) ready(lines []string) {
	s.b.group.mu.Lock()
	position := s.b.position(s.b.applied)
	s.b.group.mu.Unlock()
	lines = append(lines, fmt.Sprintf("READY %c %s", s.tx, position))
	_, _ = io.WriteString(s.conn, strings.Join(lines, "\r\n")+"\r\n")
}

func (s *backendSession) handle(line string) bool {
	word, rest, _ := strings.Cut(line, " ")
	if word != "QUERY" {
		return false
	}
	id, text, _ := strings.Cut(rest, " ")
	if id == "-" {
		s.own(text)
		return true
	}
	before := s.tx
	rows, failure := s.run(text)
	if failure != "" && s.tx == 'T' {
		s.tx = 'E'
	}
	s.b.group.rec.log("backend %s: tenant %s ran %s %s in state %c, now %c %s", s.name, s.tenant, id, short(text), before, s.tx, failure)
	if failure != "" {
		s.ready(append(rows, "ERROR "+failure))
		return true
	}
	s.ready(append(rows, fmt.Sprintf("COMPLETE %s.%d", s.b.id, s.b.group.served.Add(1))))
	return true
}

func short(text string) string {
	if len(text) > 60 {
		return text[:60] + "..."
	}
	return text
}

// own carries out a statement of the system itself.
func (s *backendSession) own(text string) {
	g := s.b.group
	word, rest, _ := strings.Cut(text, " ")
	g.mu.Lock()
	var rows []string
	term, _ := strconv.ParseUint(rest, 10, 64)
	switch word {
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		switch {
		case word == "PAUSE" && !s.b.primary && term > s.b.term:
			s.b.held = term
		case word == "RESUME":
			s.b.held = 0
		case word == "STEPDOWN" && s.b.primary && term > s.b.term:
			s.b.primary = false
		}
		role := "replica"
		if s.b.primary {
			role = "primary"
		}
		rows = []string{fmt.Sprintf("ROW %s %d %s %d 0 %d %d", role, s.b.term, s.b.position(len(s.b.log)), s.b.held, len(s.b.slot), s.b.conns)}
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.values[name] = value
	case "RESET":
		clear(s.values)
		clear(s.prepared)
	case "PREPARE":
		name, rest, _ := strings.Cut(rest, " ")
		kind, shape, _ := strings.Cut(rest, " ")
		s.prepared[name] = [2]string{kind, shape}
	case "DEALLOC":
		delete(s.prepared, rest)
	case "ROLLBACK":
		s.tx, s.writes = 'I', nil
	}
	g.mu.Unlock()
	if word == "ROLLBACK" {
		g.rec.log("backend %s: ran - ROLLBACK", s.name)
	}
	s.ready(append(rows, "COMPLETE -"))
}

// run carries out a consumer's statement.
func (s *backendSession) run(text string) (rows []string, failure string) {
	word, rest, _ := strings.Cut(text, " ")
	if word == "AFTER" {
		_, rest, _ = strings.Cut(rest, " ")
		word, rest, _ = strings.Cut(rest, " ")
	}
	if s.tx == 'E' && word != "ROLLBACK" && word != "COMMIT" {
		return nil, "MALFORMED the transaction has failed"
	}
	switch word {
	case "BEGIN":
		return nil, s.begin(rest)
	case "ROLLBACK":
		s.tx, s.writes = 'I', nil
		return nil, ""
	case "EXEC":
		name, args, _ := strings.Cut(rest, " ")
		shape, ok := s.prepared[name]
		if !ok {
			return nil, "NOSTMT " + name
		}
		word, rest = shape[0], args
	}
	if !s.takeSlot() {
		return nil, "BUSY no slot"
	}
	defer func() { <-s.b.slot }()
	time.Sleep(workTime)
	g := s.b.group
	g.mu.Lock()
	defer g.mu.Unlock()
	switch word {
	case "COMMIT":
		return nil, s.commit()
	case "READ":
		return s.read(rest), ""
	case "WRITE":
		if !s.b.primary {
			return nil, "READONLY " + s.b.id
		}
		item, data, _ := strings.Cut(rest, " ")
		if s.tx == 'T' {
			s.writes[item] = data
			return nil, ""
		}
		s.b.append(map[string]string{item: data})
		return nil, ""
	}
	return nil, "MALFORMED unknown statement"
}

func (s *backendSession) takeSlot() bool {
	if s.b.waiting.Add(1) > queueLength {
		s.b.waiting.Add(-1)
		return false
	}
	s.b.slot <- struct{}{}
	s.b.waiting.Add(-1)
	return true
}

func (s *backendSession) begin(how string) string {
	s.b.group.mu.Lock()
	defer s.b.group.mu.Unlock()
	switch {
	case s.tx != 'I':
		return "MALFORMED a transaction is open"
	case how == "" && !s.b.primary:
		return "READONLY " + s.b.id
	}
	s.tx, s.readOnly, s.writes = 'T', how != "", make(map[string]string)
	return ""
}

// commit ends the transaction. The caller holds the group's mu.
func (s *backendSession) commit() string {
	writes, failed := s.writes, s.tx == 'E'
	s.tx, s.writes = 'I', nil
	switch {
	case failed:
		return "ABORTED the transaction had failed"
	case len(writes) == 0:
		return ""
	case !s.b.primary:
		return "READONLY " + s.b.id
	}
	s.b.append(writes)
	return ""
}

// read returns the rows of an item. The caller holds the group's mu.
func (s *backendSession) read(item string) []string {
	if v, ok := s.writes[item]; ok {
		return []string{"ROW " + v}
	}
	if v, ok := s.b.value(item); ok {
		return []string{"ROW " + v}
	}
	return nil
}
