// Package admin implements a stand-in target's HTTP control endpoint for tests and
// experiments. It injects faults and reports what the target has received and done. It
// listens on a port of its own, separate from the PostgreSQL port.
package admin

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"syscall"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/standin/targetd/faults"
	"crocusyoke/internal/standin/targetd/record"
	"crocusyoke/internal/standin/targetd/store"
	"crocusyoke/internal/target"
)

// URL paths of the endpoint.
const (
	PathState   = "/admin/state"
	PathSeen    = "/admin/seen"
	PathFaults  = "/admin/faults"
	PathSilence = "/admin/silence"
	PathKill    = "/admin/kill"
)

const maxBodyBytes = 1 << 20

// State is the response to GET PathState.
type State struct {
	Status   target.Status   `json:"status"`
	Counters record.Snapshot `json:"counters"`
}

// Seen is the response to GET PathSeen?text=TEXT.
type Seen struct {
	// Count is the number of received texts that contain TEXT.
	Count int64 `json:"count"`
	// Dropped is the number of texts that were truncated or could not be written; 0 means
	// that the record is complete.
	Dropped int64 `json:"dropped"`
}

// Change is the request body of PUT PathFaults. Faults whose field is nil are unchanged.
type Change struct {
	ReplicationLag *fleet.Duration `json:"replication_lag,omitempty"`
	CutReplication *bool           `json:"cut_replication,omitempty"`
	Frozen         *bool           `json:"frozen,omitempty"`
	ServiceTime    *fleet.Duration `json:"service_time,omitempty"`
	Blocked        *[]string       `json:"blocked,omitempty"`
}

// Silence is the request body of PUT PathSilence. Each open connection permanently stops
// answering with probability Share, from 0 to 1. Seed seeds the random choice.
type Silence struct {
	Share float64 `json:"share"`
	Seed  uint64  `json:"seed"`
}

// Silenced is the response to PUT PathSilence: the number of connections that it silenced.
type Silenced struct {
	Connections int `json:"connections"`
}

// Handler serves the endpoint of one target.
type Handler struct {
	Store    *store.Store
	Faults   *faults.Faults
	Seen     *record.Seen
	Counters *record.Counters
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathState, h.state)
	mux.HandleFunc("GET "+PathSeen, h.seen)
	mux.HandleFunc("PUT "+PathFaults, h.faults)
	mux.HandleFunc("PUT "+PathSilence, h.silence)
	mux.HandleFunc("PUT "+PathKill, h.kill)
	mux.ServeHTTP(w, r)
}

func (h *Handler) state(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, State{Status: h.Store.Status(), Counters: h.Counters.Snapshot()})
}

func (h *Handler) seen(w http.ResponseWriter, r *http.Request) {
	var seen Seen
	var err error
	seen.Count, seen.Dropped, err = h.Seen.Count(r.URL.Query().Get("text"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeJSON(w, seen)
}

func (h *Handler) faults(w http.ResponseWriter, r *http.Request) {
	var change Change
	if !decodeBody(w, r, &change) {
		return
	}
	h.Faults.Change(change.apply)
}

func (c *Change) apply(s *faults.State) {
	if c.ReplicationLag != nil {
		s.ReplicationLag = c.ReplicationLag.Std()
	}
	if c.CutReplication != nil {
		s.CutReplication = *c.CutReplication
	}
	if c.Frozen != nil {
		s.Frozen = *c.Frozen
	}
	if c.ServiceTime != nil {
		s.ServiceTime = c.ServiceTime.Std()
	}
	if c.Blocked != nil {
		s.Blocked = *c.Blocked
	}
}

func (h *Handler) silence(w http.ResponseWriter, r *http.Request) {
	var silence Silence
	if !decodeBody(w, r, &silence) {
		return
	}
	writeJSON(w, Silenced{Connections: h.Faults.Silence(silence.Share, silence.Seed)})
}

// kill sends SIGKILL to its own process, so that the target stops without any cleanup, as
// in a power failure.
func (h *Handler) kill(http.ResponseWriter, *http.Request) {
	_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
}

// decodeBody decodes the JSON request body into dst. On failure it answers with status 400
// and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, dst any) bool {
	err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(dst)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
