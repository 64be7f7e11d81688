package hosted

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is how the store treats a call.
type Fault int

// The faults.
const (
	// FaultNone: the call is carried out and answered.
	FaultNone Fault = iota
	// FaultBusy and FaultMany: nothing is done; 503 and 429.
	FaultBusy
	FaultMany
	// FaultSilent: nothing is done and nothing is answered while the caller waits.
	FaultSilent
	// FaultLost: the call is carried out and the connection is closed without an answer.
	FaultLost
	// FaultLate: like FaultLost, but the call is carried out LateBy later.
	FaultLate
)

// LateBy is how much later a FaultLate call is carried out.
const LateBy = 50 * time.Millisecond

// Row is one row of the store.
type Row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   uint64 `json:"ver,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type place struct{ table, part, key string }

func (r Row) place() place { return place{r.Table, r.Part, r.Key} }

// Store is the metadata store in memory. It is safe for concurrent use.
type Store struct {
	server *httptest.Server
	// closed ends what is silent.
	closed chan struct{}
	once   sync.Once

	mu      sync.Mutex
	version uint64
	rows    map[place]Row
	blobs   map[string][]byte
	// history holds every change since forgotten.
	history   []Row
	forgotten uint64
	changed   chan struct{}
	fault     func(r *http.Request) Fault
	calls     map[string]int
}

// NewStore starts a store; Close ends it.
func NewStore() *Store {
	s := &Store{
		closed:  make(chan struct{}),
		rows:    make(map[place]Row),
		blobs:   make(map[string][]byte),
		changed: make(chan struct{}),
		calls:   make(map[string]int),
		fault:   func(*http.Request) Fault { return FaultNone },
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.faulty(s.transact))
	mux.HandleFunc("GET /api/rows-get", s.faulty(s.get))
	mux.HandleFunc("GET /api/rows-feed", s.faulty(s.feed))
	mux.HandleFunc("PUT /api/blob-put/{id}", s.faulty(s.putBlob))
	mux.HandleFunc("GET /api/blob-get/{id}", s.faulty(s.getBlob))
	s.server = httptest.NewServer(mux)
	return s
}

// Address is the store's IP:port.
func (s *Store) Address() string { return strings.TrimPrefix(s.server.URL, "http://") }

// Close ends the store and every connection.
func (s *Store) Close() {
	s.once.Do(func() { close(s.closed) })
	s.server.CloseClientConnections()
	s.server.Close()
}

// SetFault says how calls are treated from now on; nil stands for no fault.
func (s *Store) SetFault(fault func(r *http.Request) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if fault == nil {
		fault = func(*http.Request) Fault { return FaultNone }
	}
	s.fault = fault
}

// Calls returns how often a path was called.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Put writes a row without a condition, as the platform itself does.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]Row{{Table: table, Key: key, Value: value}}, nil)
}

// Delete removes a row without a condition.
func (s *Store) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []Row{{Table: table, Key: key}})
}

// Forget drops the history: feeds that ask for it get 410.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.forgotten = s.version
}

// apply changes rows as one transaction. s.mu is held.
func (s *Store) apply(writes, deletes []Row) {
	s.version++
	for _, row := range writes {
		row.Version = s.version
		s.rows[row.place()] = row
		s.history = append(s.history, row)
	}
	for _, row := range deletes {
		delete(s.rows, row.place())
		row.Version, row.Tombstone = s.version, true
		s.history = append(s.history, row)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// faulty wraps a call with the fault in force.
func (s *Store) faulty(call http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		fault := s.fault(r)
		s.calls[strings.TrimSuffix(r.URL.Path, "/"+r.PathValue("id"))]++
		s.mu.Unlock()
		switch fault {
		case FaultBusy:
			w.WriteHeader(http.StatusServiceUnavailable)
		case FaultMany:
			w.WriteHeader(http.StatusTooManyRequests)
		case FaultSilent:
			select {
			case <-r.Context().Done():
			case <-s.closed:
			}
		case FaultLost, FaultLate:
			if fault == FaultLate {
				time.Sleep(LateBy)
			}
			call(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		default:
			call(w, r)
		}
	}
}

// answer is the body of every answer about rows.
type answer struct {
	Rows    []Row  `json:"rows"`
	More    bool   `json:"has_more"`
	Version uint64 `json:"ver"`
	NowMS   int64  `json:"now_ms"`
}

func reply(w http.ResponseWriter, status int, a answer) {
	a.NowMS = time.Now().UnixMilli()
	if a.Rows == nil {
		a.Rows = []Row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a)
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Conditions []Row `json:"expect_rev"`
		Writes     []Row `json:"writes"`
		Deletes    []Row `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range slices.Concat(tx.Writes, tx.Deletes) {
		if row.Table == "op" || row.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, c := range tx.Conditions {
		if s.rows[c.place()].Version != c.Version {
			reply(w, http.StatusPreconditionFailed, answer{Version: s.version})
			return
		}
	}
	s.apply(tx.Writes, tx.Deletes)
	reply(w, http.StatusOK, answer{Version: s.version})
}

// pageSize is the most rows of one answer.
const pageSize = 500

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, to := query.Get("from"), query.Get("target")
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []Row
	for _, row := range s.rows {
		inRange := row.Key >= from && (to == "" || row.Key < to)
		if row.Table == query.Get("table") && row.Part == query.Get("part") && inRange {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > pageSize
	reply(w, http.StatusOK, answer{Rows: rows[:min(len(rows), pageSize)], More: more, Version: s.version})
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		rows, gone := s.since(query.Get("table"), after)
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(rows) > 0 {
			reply(w, http.StatusOK, answer{Rows: rows, Version: version})
			return
		}
		select {
		case <-changed:
		case <-s.closed:
			return
		case <-deadline:
			reply(w, http.StatusOK, answer{Version: version})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// since returns what changed in a table after a version. s.mu is held.
func (s *Store) since(table string, after uint64) (rows []Row, gone bool) {
	if after < s.forgotten {
		return nil, true
	}
	for _, row := range s.history {
		if row.Table == table && row.Version > after {
			rows = append(rows, row)
		}
	}
	return rows, false
}

func (s *Store) putBlob(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blobs[r.PathValue("id")] = body
}

func (s *Store) getBlob(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	body, ok := s.blobs[r.PathValue("id")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(body)
}
