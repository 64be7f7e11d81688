package catalog

import (
	"context"
	"time"

	"crocusyoke/internal/peer"
	"crocusyoke/internal/platform"
)

// FetchRequest asks a node for its snapshots of the tables.
type FetchRequest struct {
	// KnownVersion is the highest row version that the requesting node knows.
	KnownVersion uint64 `cbor:"1,keyasint"`
}

// FetchReply holds the snapshots; both are empty if the node knows no higher version.
type FetchReply struct {
	Configuration Snapshot `cbor:"1,keyasint"`
	Targets       Snapshot `cbor:"2,keyasint"`
}

// AnswerFetch returns the response to request.
func (r *Runner) AnswerFetch(request FetchRequest) FetchReply {
	if r.Version() <= request.KnownVersion {
		return FetchReply{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return FetchReply{Configuration: r.configuration.snapshot(), Targets: r.targets.snapshot()}
}

// ObservePeerVersion is called when the node at address has reported that it knows version. If
// this node still does not know that version after peerFetchDelay, it fetches the tables from
// that node. Only one fetch is pending at a time; reports that arrive meanwhile are ignored.
func (r *Runner) ObservePeerVersion(ctx context.Context, address string, version uint64) {
	if version <= r.Version() {
		return
	}
	r.mu.Lock()
	busy := r.fetching
	r.fetching = true
	r.mu.Unlock()
	if !busy {
		r.wait.Go(func() { r.fetchFromPeer(ctx, address, version) })
	}
}

func (r *Runner) fetchFromPeer(ctx context.Context, address string, version uint64) {
	defer func() {
		r.mu.Lock()
		r.fetching = false
		r.mu.Unlock()
	}()
	if r.o.Clock.Sleep(ctx, peerFetchDelay) != nil || r.Version() >= version {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerFetchTimeout)
	defer cancel()
	r.Counters.Add("peer_fetches", 1)
	var reply FetchReply
	err := r.o.Peers.Call(ctx, address, peer.KindConfig, FetchRequest{KnownVersion: r.Version()}, &reply)
	if err != nil {
		_ = r.o.Logger.Log("event", "fetch failed", "peer", address, "err", err)
		return
	}
	r.mergeSnapshot(platform.TableConfiguration, r.configuration, reply.Configuration)
	r.mergeSnapshot(platform.TableTargets, r.targets, reply.Targets)
}

func (r *Runner) mergeSnapshot(name string, t *table, c Snapshot) {
	r.updateTable(name, time.Time{}, func() bool { return t.replace(c) })
}
