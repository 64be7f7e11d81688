package catalog

import (
	"context"
	"time"

	"crocusyoke/internal/peer"
	"crocusyoke/internal/platform"
)

// FetchRequest asks a node for its copies.
type FetchRequest struct {
	// Above is the version that the asking node knows.
	Above uint64 `cbor:"1,keyasint"`
}

// FetchReply holds the copies; both are empty if the node knows no more.
type FetchReply struct {
	Configuration Copy `cbor:"1,keyasint"`
	Targets       Copy `cbor:"2,keyasint"`
}

// Answer answers FetchRequest.
func (r *Runner) Answer(request FetchRequest) FetchReply {
	if r.Version() <= request.Above {
		return FetchReply{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return FetchReply{Configuration: r.configuration.copy(), Targets: r.targets.copy()}
}

// HeardVersion is told which version the node at address knows. If this node stays behind
// for a while it asks that node.
func (r *Runner) HeardVersion(ctx context.Context, address string, version uint64) {
	if version <= r.Version() {
		return
	}
	r.mu.Lock()
	busy := r.fetching
	r.fetching = true
	r.mu.Unlock()
	if !busy {
		r.wait.Go(func() { r.fetch(ctx, address, version) })
	}
}

func (r *Runner) fetch(ctx context.Context, address string, version uint64) {
	defer func() {
		r.mu.Lock()
		r.fetching = false
		r.mu.Unlock()
	}()
	if r.o.Clock.Sleep(ctx, fetchAfter) != nil || r.Version() >= version {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	r.Counts.Add("peer_fetches", 1)
	var reply FetchReply
	err := r.o.Peers.Call(ctx, address, peer.KindConfig, FetchRequest{Above: r.Version()}, &reply)
	if err != nil {
		_ = r.o.Logger.Log("event", "fetch failed", "peer", address, "err", err)
		return
	}
	r.merge(platform.TableConfiguration, r.configuration, reply.Configuration)
	r.merge(platform.TableTargets, r.targets, reply.Targets)
}

func (r *Runner) merge(name string, t *table, c Copy) {
	r.update(name, time.Time{}, func() bool { return t.replace(c) })
}
