package hosted

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
)

// Promotions is the platform's promotion call for some groups.
type Promotions struct {
	server *httptest.Server
	groups map[string]*Group
}

// NewPromotions starts a server that accepts promotion calls for groups. The caller must call Close.
func NewPromotions(groups ...*Group) *Promotions {
	p := &Promotions{groups: make(map[string]*Group)}
	for _, g := range groups {
		p.groups[g.Name] = g
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", p.handle)
	p.server = httptest.NewServer(mux)
	return p
}

// Address returns the server's IP:port.
func (p *Promotions) Address() string { return strings.TrimPrefix(p.server.URL, "http://") }

// Close stops the server.
func (p *Promotions) Close() { p.server.Close() }

func (p *Promotions) handle(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	err := json.NewDecoder(r.Body).Decode(&body)
	g := p.groups[body.Service]
	if err != nil || g == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	call := Promotion{
		Target: body.ID,
		Holder: r.Header.Get("Crocusyoke-Duty-Holder"),
		Fence:  r.Header.Get("Crocusyoke-Fence-Token"),
	}
	if !g.promote(call) {
		w.WriteHeader(http.StatusConflict)
	}
}
