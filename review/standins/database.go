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
	workTime    = 4 * time.Millisecond
	connectTime = 12 * time.Millisecond
	replicaLag  = 20 * time.Millisecond
	promoteTime = 300 * time.Millisecond
	heartbeat   = 1200 * time.Millisecond
	slots       = 5
	queueLength = 40
	maxConns    = 50
	// unacknowledgedTime is how long a session waits for a replica to receive its commit.
	unacknowledgedTime = 3 * time.Second
	// maxKept is the longest value that a stand-in keeps; of others it keeps the length.
	maxKept       = 4 << 10
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
	mu     sync.Mutex
	all    []*server
	served atomic.Uint64
	// sync is true if a commit is acknowledged once one replica has received it.
	sync bool
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
	// down is true while the backend has crashed; life counts its starts.
	down bool
	// cut is true while the backend can't reach the store.
	cut bool
	// deaf is true while a replica receives nothing.
	deaf bool
	// dark is not nil while the backend is silent though it runs; it is closed when that ends.
	dark       chan struct{}
	life       int
	lastReport time.Time
	open       map[net.Conn]bool

	slot    chan struct{}
	waiting atomic.Int32
}

// newGroup starts a service of three backends, the first of which is the primary, in the given zones.
func newGroup(name, host string, zones []string, s *store, rec *record) (*group, error) {
	g := &group{name: name, rec: rec, store: s}
	for i, zone := range zones {
		listener, err := net.Listen("tcp", host+":0")
		if err != nil {
			return nil, err
		}
		b := &server{
			id: fmt.Sprintf("i-%s%d", name, i+1), zone: zone, group: g, listener: listener, primary: i == 0, term: 1,
			state: "ready", born: time.Now().UnixMilli(), slot: make(chan struct{}, slots), open: make(map[net.Conn]bool),
		}
		g.all = append(g.all, b)
		go b.accept(listener)
		go b.report(0)
	}
	go g.expire()
	return g, nil
}

// report writes the backend's entry at each heartbeat, until the backend crashes.
func (b *server) report(life int) {
	for {
		b.group.mu.Lock()
		if b.down || b.dark != nil || b.life != life {
			b.group.mu.Unlock()
			return
		}
		if b.cut {
			b.group.mu.Unlock()
			time.Sleep(heartbeat)
			continue
		}
		b.lastReport = time.Now()
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

// expire removes the entries of backends that have been silent for three heartbeats.
func (g *group) expire() {
	for {
		time.Sleep(100 * time.Millisecond)
		g.mu.Lock()
		var gone []string
		for _, b := range g.all {
			if !b.lastReport.IsZero() && time.Since(b.lastReport) > silentTimeout {
				b.lastReport = time.Time{}
				gone = append(gone, b.id)
			}
		}
		g.mu.Unlock()
		for _, id := range gone {
			g.store.remove("servers", id)
			g.rec.log("platform: the entry of %s has expired", id)
		}
	}
}

// crash ends a backend: it answers nothing any more and says nothing of itself.
func (b *server) crash() {
	b.group.mu.Lock()
	b.down = true
	for conn := range b.open {
		_ = conn.Close()
	}
	b.group.mu.Unlock()
	_ = b.listener.Close()
	b.group.rec.log("backend %s crashes", b.id)
}

// cutOff keeps the backends from the store for a time. Nothing else is kept from them.
func (g *group) cutOff(backends []*server, length time.Duration) {
	set := func(cut bool) {
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, b := range backends {
			b.cut = cut
			g.rec.log("backend %s is cut off from the store: %t", b.id, cut)
		}
	}
	set(true)
	time.Sleep(length)
	set(false)
}

// learnTime is how long an old primary goes on after it can reach the new one.
const learnTime = time.Second

// goDark makes the backend silent for a time: it runs, but nothing reaches it and nothing leaves it.
// Then it goes on in the role that it had. If another one was promoted meanwhile, it becomes its replica
// learnTime later.
func (b *server) goDark(length time.Duration) {
	g := b.group
	light := make(chan struct{})
	g.mu.Lock()
	b.dark = light
	b.life++
	g.mu.Unlock()
	g.rec.log("backend %s goes dark", b.id)
	time.Sleep(length)
	g.mu.Lock()
	b.dark = nil
	life := b.life
	g.mu.Unlock()
	close(light)
	g.rec.log("backend %s is no longer dark, primary %t, term %d", b.id, b.primary, b.term)
	go b.report(life)
	time.Sleep(learnTime)
	if l := g.leader(); l != nil && l != b {
		g.mu.Lock()
		b.primary, b.term, b.held = false, l.term, 0
		b.log = append([]commit(nil), l.log...)
		b.applied = len(b.log)
		g.mu.Unlock()
		g.rec.log("backend %s has learned of %s and is its replica", b.id, l.id)
	}
}

// awaitLight waits while the backend is dark and reports whether it was: what reached it then is
// lost, and its connection is closed.
func (b *server) awaitLight() bool {
	b.group.mu.Lock()
	dark := b.dark
	b.group.mu.Unlock()
	if dark == nil {
		return false
	}
	<-dark
	return true
}

// restart starts a crashed backend again with its log. It is a replica if another one was promoted.
func (b *server) restart() error {
	listener, err := net.Listen("tcp", b.listener.Addr().String())
	if err != nil {
		return err
	}
	b.group.mu.Lock()
	b.listener, b.down, b.held, b.seq, b.born = listener, false, 0, 0, time.Now().UnixMilli()
	b.life++
	for _, other := range b.group.all {
		if other != b && other.term > b.term && other.primary {
			b.primary, b.term = false, other.term
			b.log = append([]commit(nil), other.log...)
			b.applied = len(b.log)
		}
	}
	life := b.life
	b.group.mu.Unlock()
	b.group.rec.log("backend %s is back", b.id)
	go b.accept(listener)
	go b.report(life)
	return nil
}

// leader returns the primary of the highest term.
func (g *group) leader() *server {
	g.mu.Lock()
	defer g.mu.Unlock()
	var best *server
	for _, b := range g.all {
		if b.primary && (best == nil || b.term > best.term) {
			best = b
		}
	}
	return best
}

// newDuty starts the platform's promotion service for the groups.
func newDuty(host string, groups []*group) (net.Listener, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Service string `json:"service"`
			ID      string `json:"id"`
		}
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		for _, g := range groups {
			if g.name == body.Service {
				w.WriteHeader(g.promote(body.ID, r.Header))
				return
			}
		}
		w.WriteHeader(http.StatusBadRequest)
	})
	go func() { _ = http.Serve(listener, mux) }()
	return listener, nil
}

// promote orders the promotion of a backend. It returns the status of the answer.
func (g *group) promote(id string, header http.Header) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, b := range g.all {
		if b.id != id || b.down || b.dark != nil {
			continue
		}
		g.rec.log("platform: promote %s, holder %s, fence %s", b.id, header.Get("Crocusyoke-Duty-Holder"), header.Get("Crocusyoke-Fence-Token"))
		if !b.primary {
			time.AfterFunc(promoteTime, func() { g.lead(b) })
		}
		return http.StatusOK
	}
	return http.StatusConflict
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
		if other.down || other.dark != nil {
			continue
		}
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

// append commits items at the primary. It reports whether a replica has received them. The caller
// holds the group's mu.
func (b *server) append(items map[string]string) (received bool) {
	b.log = append(b.log, commit{b.term, items})
	b.applied = len(b.log)
	for _, r := range b.group.all {
		if r == b || r.primary || r.held > 0 || r.down || r.deaf || r.dark != nil || r.term > b.term {
			continue
		}
		received = true
		r.log = append([]commit(nil), b.log...)
		n := len(r.log)
		time.AfterFunc(replicaLag, func() {
			b.group.mu.Lock()
			defer b.group.mu.Unlock()
			r.applied = max(r.applied, min(n, len(r.log)))
		})
	}
	return received
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

func (b *server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
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
	// unacknowledged is set by a commit that no replica has received though one must.
	unacknowledged bool
}

var connectionNumber atomic.Uint64

func (b *server) serve(conn net.Conn) {
	defer conn.Close()
	if b.awaitLight() {
		return
	}
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
	b.open[conn] = true
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
		if err != nil || b.awaitLight() || !s.handle(strings.TrimRight(line, "\r\n")) {
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
	delete(s.b.open, s.conn)
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
	if s.unacknowledged {
		// No replica has received the commit: it can't be acknowledged.
		s.b.group.rec.log("backend %s: %s waits for a replica", s.name, id)
		time.Sleep(unacknowledgedTime)
		return false
	}
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
		if len(data) > maxKept {
			data = fmt.Sprintf("%d bytes", len(data))
		}
		if s.tx == 'T' {
			s.writes[item] = data
			return nil, ""
		}
		s.unacknowledged = !s.b.append(map[string]string{item: data}) && g.sync
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
	s.unacknowledged = !s.b.append(writes) && s.b.group.sync
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
