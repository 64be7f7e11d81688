package hosted

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// Promotion is a call of the platform's promotion that a Group saw.
type Promotion struct {
	Target string
	Holder string
	Fence  string
}

// Group is one replicated database: its targets, their log, and the platform's call that
// promotes. It is safe for concurrent use.
type Group struct {
	Name string
	// PromoteAfter is how long a promotion takes to take effect, Lag how long a commit takes
	// to be applied by a replica. Set both before the first call.
	PromoteAfter time.Duration
	Lag          time.Duration

	promotions *httptest.Server
	mu         sync.Mutex
	targets    []*Target
	calls      []Promotion
}

// NewGroup starts a group of targets with the given names; the first one leads.
func NewGroup(name string, targets ...string) *Group {
	g := &Group{Name: name}
	for i, id := range targets {
		g.targets = append(g.targets, newTarget(g, id, i == 0))
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", g.promote)
	g.promotions = httptest.NewServer(mux)
	return g
}

// Close ends every target.
func (g *Group) Close() {
	g.promotions.Close()
	for _, t := range g.targets {
		t.Kill()
	}
}

// PromotionAddress is where promotions are called, IP:port.
func (g *Group) PromotionAddress() string { return strings.TrimPrefix(g.promotions.URL, "http://") }

// Target returns the target called id.
func (g *Group) Target(id string) *Target {
	for _, t := range g.targets {
		if t.ID == id {
			return t
		}
	}
	return nil
}

// Promotions returns the calls seen so far.
func (g *Group) Promotions() []Promotion {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Promotion(nil), g.calls...)
}

// Entry returns what a target writes of itself into the platform's list.
func (g *Group) Entry(id, zone, state string) []byte {
	value, _ := json.Marshal(map[string]any{
		"service": g.Name, "addr": g.Target(id).Address, "zone": zone, "version": "v1",
		"slots": 5, "state": state, "cold_left_ms": 0, "seq": 1,
	})
	return value
}

func (g *Group) promote(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.Service != g.Name {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.Target(body.ID)
	if t == nil || t.down {
		w.WriteHeader(http.StatusConflict)
		return
	}
	g.calls = append(g.calls, Promotion{
		Target: body.ID,
		Holder: r.Header.Get("Crocusyoke-Duty-Holder"),
		Fence:  r.Header.Get("Crocusyoke-Fence-Token"),
	})
	time.AfterFunc(g.PromoteAfter, func() { g.lead(t) })
}

// lead makes t the primary of its next term; the others that run follow it.
func (g *Group) lead(t *Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t.term++
	t.primary = true
	t.held = 0
	t.applied = len(t.log)
	for _, other := range g.targets {
		if other == t || other.down {
			continue
		}
		other.primary = false
		other.term = t.term
		other.held = 0
		other.log = append([]entry(nil), t.log...)
		other.applied = len(other.log)
	}
}

// replicate gives the newest entry of the primary to the replicas that receive. g.mu is
// held.
func (g *Group) replicate(from *Target) {
	last := from.log[len(from.log)-1]
	for _, t := range g.targets {
		if t == from || t.down || t.held > 0 || t.term != from.term {
			continue
		}
		t.log = append(t.log, last)
		size := len(t.log)
		time.AfterFunc(g.Lag, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			t.applied = max(t.applied, min(size, len(t.log)))
		})
	}
}

// entry is one commit.
type entry struct {
	term  uint64
	items map[string]string
}

// position prints how far a log of n entries is in a term.
func position(term uint64, n int) string { return fmt.Sprintf("%d.%d", term, n) }
