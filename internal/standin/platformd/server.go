package platformd

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/platform"
)

// Server is the platform stand-in as an http.Handler.
type Server struct {
	mux    *http.ServeMux
	memory *memory
	faults *faultState
	clock  clock.Clock

	reads, writes, conflicts, refused, lost atomic.Int64
}

// New returns an empty platform. The clock c determines when a change shows in the VM list.
func New(c clock.Clock) *Server {
	s := &Server{mux: http.NewServeMux(), memory: newMemory(), faults: newFaultState(), clock: c}
	s.mux.HandleFunc("GET "+PathRows, s.read(s.getRow))
	s.mux.HandleFunc("GET /rows", s.read(s.listRows))
	s.mux.HandleFunc("PUT "+PathRows, s.write(s.putRow))
	s.mux.HandleFunc("GET "+PathObjects, s.read(s.getObject))
	s.mux.HandleFunc("PUT "+PathObjects, s.write(s.putObject))
	s.mux.HandleFunc("GET "+PathVMs, s.read(s.listVMs))
	s.mux.HandleFunc("PUT "+PathVMs+"/{name}", s.putVM)
	s.mux.HandleFunc("DELETE "+PathVMs+"/{name}", s.deleteVM)
	s.mux.HandleFunc("PUT "+PathFaults, s.putFaults)
	s.mux.HandleFunc("GET "+PathCounters, s.getCounters)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) {
	if f.VMLag > 0 {
		s.memory.setVMListLag(f.VMLag.Std())
	}
	s.faults.set(f)
}

// Copy returns a copy of the rows and objects as they are now.
func (s *Server) Copy() Copy { return s.memory.copy() }

// Restore replaces the rows and objects by those of a copy and begins a new era.
func (s *Server) Restore(c Copy) { s.memory.restore(c) }

// Counters returns the counts since New.
func (s *Server) Counters() Counters {
	return Counters{
		Reads: s.reads.Load(), Writes: s.writes.Load(), Conflicts: s.conflicts.Load(),
		Refused: s.refused.Load(), Lost: s.lost.Load(),
	}
}

// response is the outcome of a call. A body of type []byte is sent as it is, any other one
// as JSON.
type response struct {
	status int
	body   any
	// era is the store's era; 0 if the response does not state it.
	era uint64
}

// operation carries out a call and returns its response.
type operation func(r *http.Request) response

func (s *Server) read(do operation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.admit(w, r, &s.reads) {
			return
		}
		writeResponse(w, do(r))
	}
}

func (s *Server) write(do operation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.admit(w, r, &s.writes) {
			return
		}
		result := do(r)
		if result.status < http.StatusBadRequest && s.faults.decideResponseLoss() {
			s.lost.Add(1)
			panic(http.ErrAbortHandler)
		}
		writeResponse(w, result)
	}
}

// admit counts the call, applies the faults in force and reports whether the call may
// proceed. Otherwise it has responded with status 503.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, counter *atomic.Int64) bool {
	counter.Add(1)
	if s.faults.waitUntilAllowed(r.Context()) {
		return true
	}
	s.refused.Add(1)
	w.WriteHeader(http.StatusServiceUnavailable)
	return false
}

func (s *Server) getRow(r *http.Request) response {
	row, ok := s.memory.row(strings.TrimPrefix(r.URL.Path, PathRows))
	if !ok {
		return response{status: http.StatusNotFound, era: row.Era}
	}
	return response{status: http.StatusOK, body: row, era: row.Era}
}

func (s *Server) listRows(r *http.Request) response {
	rows, era := s.memory.rowsWithPrefix(r.URL.Query().Get("prefix"))
	return response{status: http.StatusOK, body: Rows{Rows: rows}, era: era}
}

func (s *Server) putRow(r *http.Request) response {
	var request PutRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, MaxBody)).Decode(&request); err != nil {
		return response{status: http.StatusBadRequest}
	}
	row, ok := s.memory.put(strings.TrimPrefix(r.URL.Path, PathRows), request.Version, request.Value)
	if !ok {
		s.conflicts.Add(1)
		return response{status: http.StatusConflict, body: row, era: row.Era}
	}
	return response{status: http.StatusOK, body: row, era: row.Era}
}

func (s *Server) getObject(r *http.Request) response {
	body, ok := s.memory.object(strings.TrimPrefix(r.URL.Path, PathObjects))
	if !ok {
		return response{status: http.StatusNotFound}
	}
	return response{status: http.StatusOK, body: body}
}

func (s *Server) putObject(r *http.Request) response {
	body, err := io.ReadAll(io.LimitReader(r.Body, MaxBody+1))
	if err != nil || len(body) > MaxBody {
		return response{status: http.StatusBadRequest}
	}
	s.memory.putObject(strings.TrimPrefix(r.URL.Path, PathObjects), body)
	return response{status: http.StatusOK}
}

func (s *Server) listVMs(*http.Request) response {
	return response{status: http.StatusOK, body: VMList{VMs: s.memory.listVMs(s.clock.Now())}}
}

// putVM serves the administrative interface, as do the handlers below. They are not subject
// to faults.
func (s *Server) putVM(w http.ResponseWriter, r *http.Request) {
	var vm platform.VM
	if err := json.NewDecoder(io.LimitReader(r.Body, MaxBody)).Decode(&vm); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	vm.Name = r.PathValue("name")
	s.memory.changeVM(vm.Name, &vm, s.clock.Now())
}

func (s *Server) deleteVM(_ http.ResponseWriter, r *http.Request) {
	s.memory.changeVM(r.PathValue("name"), nil, s.clock.Now())
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(io.LimitReader(r.Body, MaxBody)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Server) getCounters(w http.ResponseWriter, _ *http.Request) {
	writeResponse(w, response{status: http.StatusOK, body: s.Counters()})
}

func writeResponse(w http.ResponseWriter, result response) {
	if result.era != 0 {
		w.Header().Set(HeaderEra, strconv.FormatUint(result.era, 10))
	}
	raw, isRaw := result.body.([]byte)
	if isRaw || result.body == nil {
		w.WriteHeader(result.status)
		_, _ = w.Write(raw)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(result.status)
	_ = json.NewEncoder(w).Encode(result.body)
}
