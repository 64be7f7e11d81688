package node

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"net/http/pprof"

	"github.com/fxamacker/cbor/v2"

	"crocusyoke/internal/contain"
	"crocusyoke/internal/logqueue"
	"crocusyoke/internal/run/membership"
	"crocusyoke/internal/run/quota"
	"crocusyoke/internal/status"
)

// serveOps serves the counters at /debug/vars, the node's readiness at /healthz and, if
// profiling is enabled in the settings, profiles at /debug/pprof/.
func (n *Node) serveOps(ctx context.Context, listener net.Listener) error {
	n.publishVars()
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /healthz", n.handleHealth)
	if n.settings.Ops.Profiling {
		mux.HandleFunc("GET /debug/pprof/", pprof.Index)
		mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	}
	return n.serveHTTP(ctx, "operators", listener, mux)
}

// publishVars publishes the counters of the node's components through expvar.
func (n *Node) publishVars() {
	expvar.Publish("panics", contain.Panics)
	expvar.Publish("log", logqueue.Counts)
	expvar.Publish("configuration", n.config.Vars())
	expvar.Publish("owner", n.owner.Vars())
	expvar.Publish("callers", n.front.Vars())
	expvar.Publish("http", httpGates)
	if n.requests != nil {
		expvar.Publish("request_log", &n.requests.Counts)
	}
	expvar.Publish("membership", membership.Counters)
	expvar.Publish("quota", quota.Counters)
	expvar.Publish("filters", n.chain.Vars())
	if n.storeCalls != nil {
		store := new(expvar.Map)
		store.Set("calls_by_kind", n.storeCalls)
		expvar.Publish("store", store)
	}
}

// handleHealth answers with status 200 while the platform's load balancer may send callers to
// this node, and with 503 otherwise.
func (n *Node) handleHealth(w http.ResponseWriter, _ *http.Request) {
	if !n.isReady() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

// handleStatus handles peer.KindStatus, an operator's query of the node's status.
func (n *Node) handleStatus(_ context.Context, _ string, payload []byte) (any, error) {
	var request status.Request
	if err := cbor.Unmarshal(payload, &request); err != nil {
		return nil, err
	}
	return n.report(request.Brief), nil
}
