package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeLatency is the time that the platform's store takes for an answer.
const storeLatency = 4 * time.Millisecond

// row is a row of the store as it is on the wire.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   uint64 `json:"ver,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func (r row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// store is a sound metadata store: linearizable, and with its whole history.
type store struct {
	listener net.Listener
	started  time.Time

	mu      sync.Mutex
	version uint64
	rows    map[string]row
	history []row
	changed chan struct{}
	objects map[string][]byte
}

func newStore(address string) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{
		listener: listener, started: time.Now(), rows: make(map[string]row),
		changed: make(chan struct{}), objects: make(map[string][]byte),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.transact)
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	mux.HandleFunc("PUT /api/blob-put/{id}", s.putObject)
	mux.HandleFunc("GET /api/blob-get/{id}", s.getObject)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes a row as the operator or a server does. It returns when the write is acknowledged.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: value}}, nil)
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []row{{Table: table, Key: key}})
}

// apply applies one transaction. The caller holds s.mu.
func (s *store) apply(writes, deletes []row) {
	s.version++
	for _, w := range writes {
		w.Version, w.Tombstone = s.version, false
		s.rows[w.id()] = w
		s.history = append(s.history, w)
	}
	for _, d := range deletes {
		delete(s.rows, d.id())
		d.Version, d.Tombstone, d.Value = s.version, true, nil
		s.history = append(s.history, d)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

type rowsAnswer struct {
	Rows    []row  `json:"rows"`
	More    bool   `json:"has_more"`
	Version uint64 `json:"ver"`
	Millis  int64  `json:"now_ms"`
}

func (s *store) answer(w http.ResponseWriter, status int, a rowsAnswer) {
	a.Millis = 1000 + time.Since(s.started).Milliseconds()
	if a.Rows == nil {
		a.Rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a)
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Conditions []row `json:"expect_rev"`
		Writes     []row `json:"writes"`
		Deletes    []row `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(storeLatency)
	for _, change := range slices.Concat(tx.Writes, tx.Deletes) {
		if change.Table == "op" || change.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := false
	var current []row
	for _, c := range tx.Conditions {
		now := s.rows[c.id()]
		failed = failed || now.Version != c.Version
		if now.Version > 0 {
			current = append(current, now)
		}
	}
	if failed {
		s.answer(w, http.StatusPreconditionFailed, rowsAnswer{Rows: current, Version: s.version})
		return
	}
	s.apply(tx.Writes, tx.Deletes)
	s.answer(w, http.StatusOK, rowsAnswer{Version: s.version})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 || limit > 500 {
		limit = 500
	}
	time.Sleep(storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	for _, candidate := range s.rows {
		inRange := candidate.Key >= q.Get("from") && (q.Get("target") == "" || candidate.Key < q.Get("target"))
		if candidate.Table == q.Get("table") && candidate.Part == q.Get("part") && inRange {
			found = append(found, candidate)
		}
	}
	slices.SortFunc(found, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(found) > limit
	s.answer(w, http.StatusOK, rowsAnswer{Rows: found[:min(limit, len(found))], More: more, Version: s.version})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	time.Sleep(storeLatency)
	for {
		s.mu.Lock()
		var found []row
		for _, change := range s.history {
			if change.Table == q.Get("table") && change.Version > after {
				found = append(found, change)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if after > version {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(found) > 0 {
			s.answer(w, http.StatusOK, rowsAnswer{Rows: found, Version: version})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			s.answer(w, http.StatusOK, rowsAnswer{Version: version})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) putObject(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, exists := s.objects[r.PathValue("id")]; exists && r.Header.Get("If-None-Match") == "*" {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	s.objects[r.PathValue("id")] = body
}

func (s *store) getObject(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	body, ok := s.objects[r.PathValue("id")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(body)
}
