package catalog

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"

	"crocusyoke/internal/peer"
	"crocusyoke/internal/platform"
)

// Versions holds a version of each table.
type Versions struct {
	Configuration uint64 `cbor:"1,keyasint,omitempty"`
	Targets       uint64 `cbor:"2,keyasint,omitempty"`
	Nodes         uint64 `cbor:"3,keyasint,omitempty"`
}

// Knowledge is what a node tells its peers about its tables.
type Knowledge struct {
	// Changed holds the versions of the last changes that the node knows.
	Changed Versions `cbor:"1,keyasint"`
	// ConfirmedAgeMillis is how long ago the store last confirmed the tables to the node or to
	// one whose knowledge reached it.
	ConfirmedAgeMillis uint32 `cbor:"2,keyasint"`
}

// FetchRequest asks a node for its tables.
type FetchRequest struct {
	// KnownVersion is the version of the last change of the configuration and target tables that
	// the requesting node knows. Only nodes that know no deltas rely on it.
	KnownVersion uint64 `cbor:"1,keyasint"`
	// Followed holds the versions up to which the requesting node has followed the tables.
	Followed Versions `cbor:"2,keyasint"`
	// WantsDeltas is true if the answer is to contain Deltas.
	WantsDeltas bool `cbor:"3,keyasint,omitempty"`
}

// FetchReply holds the snapshots, which are empty if the node knows no higher version, or the
// deltas.
type FetchReply struct {
	Configuration Snapshot `cbor:"1,keyasint"`
	Targets       Snapshot `cbor:"2,keyasint"`
	// Deltas is a compressed deltas value.
	Deltas []byte `cbor:"3,keyasint,omitempty"`
}

// deltas holds the deltas of all tables.
type deltas struct {
	Configuration Delta `cbor:"1,keyasint"`
	Targets       Delta `cbor:"2,keyasint"`
	Nodes         Delta `cbor:"3,keyasint"`
}

// maxDeltasBytes bounds the size of a decompressed answer.
const maxDeltasBytes = 32 << 20

// Knowledge returns what to tell peers.
func (r *Runner) Knowledge() Knowledge {
	now := r.o.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return Knowledge{
		Changed: Versions{
			Configuration: r.configuration.changedVersion,
			Targets:       r.targets.changedVersion,
			Nodes:         r.nodes.changedVersion,
		},
		ConfirmedAgeMillis: uint32(r.role.ConfirmedAge(now).Milliseconds()),
	}
}

// AnswerFetch returns the response to request.
func (r *Runner) AnswerFetch(request FetchRequest) (FetchReply, error) {
	if request.WantsDeltas {
		return r.answerDeltas(request.Followed)
	}
	if r.Version() <= request.KnownVersion {
		return FetchReply{}, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return FetchReply{Configuration: r.configuration.snapshot(), Targets: r.targets.snapshot()}, nil
}

func (r *Runner) answerDeltas(followed Versions) (FetchReply, error) {
	body, err := cbor.Marshal(r.deltasSince(followed))
	if err != nil {
		return FetchReply{}, Error.Wrap(err)
	}
	body, err = compress(body)
	return FetchReply{Deltas: body}, err
}

func (r *Runner) deltasSince(followed Versions) deltas {
	r.mu.Lock()
	defer r.mu.Unlock()
	return deltas{
		Configuration: r.configuration.deltaSince(followed.Configuration),
		Targets:       r.targets.deltaSince(followed.Targets),
		Nodes:         r.nodes.deltaSince(followed.Nodes),
	}
}

func compress(body []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if _, err := w.Write(body); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, Error.Wrap(err)
	}
	return out.Bytes(), nil
}

func decompress(body []byte) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body)), maxDeltasBytes))
	return out, Error.Wrap(err)
}

// ObservePeer is called when the node at address has told k. If this node still lacks a change
// after some time, which depends on how it gets the tables, it fetches them from that node. Only
// one fetch is pending at a time; reports that arrive meanwhile are ignored.
func (r *Runner) ObservePeer(ctx context.Context, address string, k Knowledge) {
	r.mu.Lock()
	r.role.Confirm(r.o.Clock.Now().Add(-time.Duration(k.ConfirmedAgeMillis) * time.Millisecond))
	lacks := r.lacks(k.Changed)
	start := lacks && !r.fetching
	r.fetching = r.fetching || lacks
	delay := r.fetchDelay(k.Changed)
	r.mu.Unlock()
	if start {
		r.wait.Go(func() { r.fetchFromPeer(ctx, address, k.Changed, delay) })
	}
}

// lacks reports whether this node lacks one of the given changes. The caller holds r.mu.
func (r *Runner) lacks(changed Versions) bool {
	return r.lacksConfiguration(changed) || changed.Nodes > r.nodes.followedVersion
}

// lacksConfiguration is lacks for the tables of configuration and targets. The caller holds r.mu.
func (r *Runner) lacksConfiguration(changed Versions) bool {
	return changed.Configuration > r.configuration.followedVersion || changed.Targets > r.targets.followedVersion
}

// fetchDelay returns how long the changes may reach this node otherwise before it fetches them.
// The caller holds r.mu.
func (r *Runner) fetchDelay(changed Versions) time.Duration {
	switch {
	case !r.lacksConfiguration(changed):
		return nodesFetchDelay
	case r.role.IsReader():
		return peerFetchDelay
	default:
		return 0
	}
}

func (r *Runner) fetchFromPeer(ctx context.Context, address string, changed Versions, delay time.Duration) {
	defer func() {
		r.mu.Lock()
		r.fetching = false
		r.mu.Unlock()
	}()
	if r.o.Clock.Sleep(ctx, delay) != nil {
		return
	}
	request, lacks := r.fetchRequest(changed)
	if !lacks {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerFetchTimeout)
	defer cancel()
	r.Counters.Add("peer_fetches", 1)
	var reply FetchReply
	err := r.o.Peers.Call(ctx, address, peer.KindConfig, request, &reply)
	if err == nil {
		err = r.mergeReply(reply)
	}
	if err != nil {
		_ = r.o.Logger.Log("event", "fetch failed", "peer", address, "err", err)
	}
}

// fetchRequest returns the request for what this node lacks. lacks is false if it no longer lacks
// any of the given changes.
func (r *Runner) fetchRequest(changed Versions) (request FetchRequest, lacks bool) {
	known := r.Version()
	r.mu.Lock()
	defer r.mu.Unlock()
	return FetchRequest{
		KnownVersion: known,
		WantsDeltas:  true,
		Followed: Versions{
			Configuration: r.configuration.followedVersion,
			Targets:       r.targets.followedVersion,
			Nodes:         r.nodes.followedVersion,
		},
	}, r.lacks(changed)
}

func (r *Runner) mergeReply(reply FetchReply) error {
	if len(reply.Deltas) == 0 {
		r.mergeSnapshot(platform.TableConfiguration, r.configuration, reply.Configuration)
		r.mergeSnapshot(platform.TableTargets, r.targets, reply.Targets)
		return nil
	}
	body, err := decompress(reply.Deltas)
	if err != nil {
		return err
	}
	var all deltas
	if err := cbor.Unmarshal(body, &all); err != nil {
		return Error.Wrap(err)
	}
	r.mergeDelta(platform.TableConfiguration, r.configuration, all.Configuration)
	r.mergeDelta(platform.TableTargets, r.targets, all.Targets)
	r.mergeDelta(platform.TableNodes, r.nodes, all.Nodes)
	return nil
}

func (r *Runner) mergeSnapshot(name string, t *table, c Snapshot) {
	r.updateTable(name, r.o.Clock.Now(), func() bool { return t.replace(c) })
}

func (r *Runner) mergeDelta(name string, t *table, d Delta) {
	r.updateTable(name, r.o.Clock.Now(), func() bool { return t.applyDelta(d) })
}
