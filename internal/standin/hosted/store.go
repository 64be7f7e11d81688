package hosted

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is the way in which the store handles a call.
type Fault int

const (
	// FaultNone carries out the call and responds.
	FaultNone Fault = iota
	// FaultBusy and FaultMany respond with 503 and 429 without carrying out the call.
	FaultBusy
	FaultMany
	// FaultSilent neither carries out the call nor responds while the caller waits.
	FaultSilent
	// FaultLost carries out the call and closes the connection without a response.
	FaultLost
	// FaultLate is like FaultLost, but carries out the call LateDelay later.
	FaultLate
)

// LateDelay is the delay before a FaultLate call is carried out.
const LateDelay = 50 * time.Millisecond

// Row is one row of the store. Version is the store's version at the row's last change.
type Row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   uint64 `json:"ver,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// rowKey identifies a row.
type rowKey struct{ table, part, key string }

func (r Row) rowKey() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// Store is an in-memory metadata store. It is safe for concurrent use.
type Store struct {
	server *httptest.Server
	// closed is closed by Close, which ends calls that wait.
	closed    chan struct{}
	closeOnce sync.Once

	mu sync.Mutex
	// era is stated in every response. It is 1 at first and grows with each Restore.
	era     uint64
	version uint64
	rows    map[rowKey]Row
	blobs   map[string][]byte
	// history holds every change after compactedVersion, oldest first.
	history          []Row
	compactedVersion uint64
	changed          chan struct{}
	chooseFault      func(r *http.Request) Fault
	calls            map[string]int
}

// NewStore starts a store. The caller must call Close.
func NewStore() *Store {
	s := &Store{
		closed:      make(chan struct{}),
		era:         1,
		rows:        make(map[rowKey]Row),
		blobs:       make(map[string][]byte),
		changed:     make(chan struct{}),
		calls:       make(map[string]int),
		chooseFault: func(*http.Request) Fault { return FaultNone },
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.withFault(s.transact))
	mux.HandleFunc("GET /api/rows-get", s.withFault(s.getRows))
	mux.HandleFunc("GET /api/rows-feed", s.withFault(s.feed))
	mux.HandleFunc("PUT /api/blob-put/{id}", s.withFault(s.putBlob))
	mux.HandleFunc("GET /api/blob-get/{id}", s.withFault(s.getBlob))
	s.server = httptest.NewServer(mux)
	return s
}

// Address returns the store's IP:port.
func (s *Store) Address() string { return strings.TrimPrefix(s.server.URL, "http://") }

// Close stops the store and closes every connection.
func (s *Store) Close() {
	s.closeOnce.Do(func() { close(s.closed) })
	s.server.CloseClientConnections()
	s.server.Close()
}

// SetFault sets the function that chooses the fault for each later call; nil means no faults.
func (s *Store) SetFault(chooseFault func(r *http.Request) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if chooseFault == nil {
		chooseFault = func(*http.Request) Fault { return FaultNone }
	}
	s.chooseFault = chooseFault
}

// Calls returns the number of calls of a path. A blob's id is not part of the path.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Put writes a row unconditionally, as the platform itself does.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]Row{{Table: table, Key: key, Value: value}}, nil)
}

// Value returns the value of a row with an empty part.
func (s *Store) Value(table, key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[rowKey{table: table, key: key}]
	return row.Value, ok
}

// Delete removes a row unconditionally.
func (s *Store) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []Row{{Table: table, Key: key}})
}

// Forget discards the history. A feed call that asks for a discarded change gets status 410.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compactedVersion = s.version
}

// Copy is a copy of a Store at one moment.
type Copy struct {
	version          uint64
	rows             map[rowKey]Row
	blobs            map[string][]byte
	history          []Row
	compactedVersion uint64
}

// Copy returns a copy of the store as it is now.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{
		version: s.version, rows: maps.Clone(s.rows), blobs: maps.Clone(s.blobs),
		history: slices.Clone(s.history), compactedVersion: s.compactedVersion,
	}
}

// Restore replaces the contents by those of a copy and begins a new era, in which the versions after
// the copy are assigned again. Feed calls that are held stay held until the next change.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.version, s.rows, s.blobs = c.version, maps.Clone(c.rows), maps.Clone(c.blobs)
	s.history, s.compactedVersion = slices.Clone(c.history), c.compactedVersion
}

// apply writes and deletes rows under one new version and wakes waiting feed calls. The
// caller holds s.mu.
func (s *Store) apply(writes, deletes []Row) {
	s.version++
	for _, row := range writes {
		row.Version = s.version
		s.rows[row.rowKey()] = row
		s.history = append(s.history, row)
	}
	for _, row := range deletes {
		delete(s.rows, row.rowKey())
		row.Version, row.Tombstone = s.version, true
		s.history = append(s.history, row)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// withFault returns a handler that counts the call and applies the fault chosen for it.
func (s *Store) withFault(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		fault, era := s.chooseFault(r), s.era
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
				time.Sleep(LateDelay)
			}
			handler(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		default:
			w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
			handler(w, r)
		}
	}
}

// response is the body of every response about rows.
type response struct {
	Rows    []Row  `json:"rows"`
	More    bool   `json:"has_more"`
	Version uint64 `json:"ver"`
	NowMS   int64  `json:"now_ms"`
}

func writeResponse(w http.ResponseWriter, status int, resp response) {
	resp.NowMS = time.Now().UnixMilli()
	if resp.Rows == nil {
		resp.Rows = []Row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(resp)
}

// transact applies writes and deletes if all conditions hold. It refuses the tables that only
// the platform writes, op and servers.
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
		if s.rows[c.rowKey()].Version != c.Version {
			writeResponse(w, http.StatusPreconditionFailed, response{Version: s.version})
			return
		}
	}
	s.apply(tx.Writes, tx.Deletes)
	writeResponse(w, http.StatusOK, response{Version: s.version})
}

// maxPageRows is the maximum number of rows in one response.
const maxPageRows = 500

func (s *Store) getRows(w http.ResponseWriter, r *http.Request) {
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
	more := len(rows) > maxPageRows
	writeResponse(w, http.StatusOK, response{Rows: rows[:min(len(rows), maxPageRows)], More: more, Version: s.version})
}

// feed responds with a table's changes after a version as soon as there are any, or with none
// after wait_ms milliseconds.
func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMillis, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.After(time.Duration(waitMillis) * time.Millisecond)
	for {
		s.mu.Lock()
		rows, compacted := s.changesSince(query.Get("table"), after)
		version, changed := s.version, s.changed
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
		s.mu.Unlock()
		if compacted {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(rows) > 0 {
			writeResponse(w, http.StatusOK, response{Rows: rows, Version: version})
			return
		}
		select {
		case <-changed:
		case <-s.closed:
			return
		case <-deadline:
			writeResponse(w, http.StatusOK, response{Version: version})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesSince returns a table's changes after a version. It reports compacted if some of them
// may have been discarded by Forget. The caller holds s.mu.
func (s *Store) changesSince(table string, after uint64) (rows []Row, compacted bool) {
	if after < s.compactedVersion || after > s.version {
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
