package catalog

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"

	"crocusyoke/internal/controller/reader"
	"crocusyoke/internal/peer"
	"crocusyoke/internal/platform"
)

// Versions holds a version of each table. A version is 0 if the node knows none in Era.
type Versions struct {
	Configuration uint64 `cbor:"1,keyasint,omitempty"`
	Targets       uint64 `cbor:"2,keyasint,omitempty"`
	Nodes         uint64 `cbor:"3,keyasint,omitempty"`
	// Era is the latest era of the store that the node has observed.
	Era uint64 `cbor:"4,keyasint,omitempty"`
}

// Knowledge is what a node tells its peers about its tables.
type Knowledge struct {
	// Changed holds the versions of the last changes that the node knows.
	Changed Versions `cbor:"1,keyasint"`
	// AnsweredAgeMillis is how long ago the store last answered a call about any table, of the node
	// or of one whose knowledge reached it.
	AnsweredAgeMillis uint32 `cbor:"2,keyasint"`
	// ConfigurationVersion is the operator's version of the newest configuration that the node
	// knows. The store may have lost it in a restore.
	ConfigurationVersion uint64 `cbor:"3,keyasint,omitempty"`
	// ConfirmedBy is the node that got the newest confirmation (reader.Confirmation) that the node knows,
	// ConfirmedAgeMillis its age. Nodes of an earlier release state neither, so ConfirmedBy is 0.
	ConfirmedBy        reader.ID `cbor:"4,keyasint,omitempty"`
	ConfirmedAgeMillis uint32    `cbor:"5,keyasint,omitempty"`
}

// confirmation returns the newest confirmation that the node knew at the time at, when it told k.
func (k *Knowledge) confirmation(at time.Time) reader.Confirmation {
	age := k.ConfirmedAgeMillis
	if k.ConfirmedBy == 0 {
		age = k.AnsweredAgeMillis
	}
	return reader.Confirmation{At: at.Add(-time.Duration(age) * time.Millisecond), By: k.ConfirmedBy}
}

// answeredAt returns when the store last answered a call, as the node knew it at the time at.
func (k *Knowledge) answeredAt(at time.Time) time.Time {
	return at.Add(-time.Duration(k.AnsweredAgeMillis) * time.Millisecond)
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
	// ConfigurationVersion is as in Knowledge.
	ConfigurationVersion uint64 `cbor:"4,keyasint,omitempty"`
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
	// Document is the newest configuration that the node knows; empty if it is among the changes
	// or the requesting node knows it.
	Document []byte `cbor:"4,keyasint,omitempty"`
	// DocumentEra is the era in which Document was found in the table.
	DocumentEra uint64 `cbor:"5,keyasint,omitempty"`
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
			Configuration: r.configuration.changedVersionIn(r.era),
			Targets:       r.targets.changedVersionIn(r.era),
			Nodes:         r.nodes.changedVersionIn(r.era),
			Era:           r.era,
		},
		AnsweredAgeMillis:    uint32(max(0, now.Sub(r.answeredAt)).Milliseconds()),
		ConfigurationVersion: r.document.version(),
		ConfirmedBy:          r.role.Newest().By,
		ConfirmedAgeMillis:   uint32(r.role.ConfirmedAge(now).Milliseconds()),
	}
}

// AnswerFetch returns the response to request.
func (r *Runner) AnswerFetch(request FetchRequest) (FetchReply, error) {
	if request.WantsDeltas {
		return r.answerDeltas(request)
	}
	if r.Version() <= request.KnownVersion {
		return FetchReply{}, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return FetchReply{Configuration: r.configuration.snapshot(), Targets: r.targets.snapshot()}, nil
}

func (r *Runner) answerDeltas(request FetchRequest) (FetchReply, error) {
	body, err := cbor.Marshal(r.deltasFor(request))
	if err != nil {
		return FetchReply{}, Error.Wrap(err)
	}
	body, err = compress(body)
	return FetchReply{Deltas: body}, err
}

func (r *Runner) deltasFor(request FetchRequest) deltas {
	followed := request.Followed
	since := func(version uint64) platform.Revision {
		return platform.Revision{Era: followed.Era, Version: version}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	d := deltas{
		Configuration: r.configuration.deltaSince(since(followed.Configuration)),
		Targets:       r.targets.deltaSince(since(followed.Targets)),
		Nodes:         r.nodes.deltaSince(since(followed.Nodes)),
	}
	if r.document.version() > request.ConfigurationVersion && !d.Configuration.contains(r.document.value) {
		d.Document, d.DocumentEra = r.document.value, r.document.era
	}
	return d
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

// ObservePeer is called when the node at address has told k in the answer to a message that was sent at
// sentAt. If this node still lacks a change
// after some time, which depends on how it gets the tables, it fetches them from that node. Only
// one fetch is pending at a time; reports that arrive meanwhile are ignored.
func (r *Runner) ObservePeer(ctx context.Context, address string, k Knowledge, sentAt time.Time) {
	r.ObserveEra(k.Changed.Era, address)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteHeard(address, k)
	if k.Changed.Era == r.era {
		r.role.Confirm(k.confirmation(sentAt))
		r.noteStoreAnswer(k.answeredAt(sentAt))
	}
	if r.fetching || !r.lacks(k) || r.running.Err() != nil {
		return
	}
	r.fetching = true
	delay := r.fetchDelay(k)
	r.wait.Go(func() { r.fetchFromPeer(ctx, address, k, delay) })
}

// lacks reports whether this node lacks something of k. The caller holds r.mu.
func (r *Runner) lacks(k Knowledge) bool {
	return r.lacksConfiguration(k) || k.Changed.Era == r.era && k.Changed.Nodes > r.nodes.versionIn(r.era)
}

// lacksConfiguration is lacks without the table of nodes. A version of an earlier era is not
// comparable, but the operator's version of the configuration is. The caller holds r.mu.
func (r *Runner) lacksConfiguration(k Knowledge) bool {
	if k.ConfigurationVersion > r.document.version() {
		return true
	}
	changed := k.Changed
	return changed.Era == r.era &&
		(changed.Configuration > r.configuration.versionIn(r.era) || changed.Targets > r.targets.versionIn(r.era))
}

// fetchDelay returns how long what this node lacks of k may reach it otherwise before it fetches
// it. The caller holds r.mu.
func (r *Runner) fetchDelay(k Knowledge) time.Duration {
	switch {
	case !r.lacksConfiguration(k):
		return nodesFetchDelay
	case r.role.IsReader():
		return peerFetchDelay
	default:
		return 0
	}
}

func (r *Runner) fetchFromPeer(ctx context.Context, address string, k Knowledge, delay time.Duration) {
	defer func() {
		r.mu.Lock()
		r.fetching = false
		r.mu.Unlock()
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(r.running, cancel)()
	if r.o.Clock.Sleep(ctx, delay) != nil {
		return
	}
	request, lacks := r.fetchRequest(k)
	if !lacks {
		return
	}
	ctx, endCall := context.WithTimeout(ctx, peerFetchTimeout)
	defer endCall()
	r.Counters.Add("peer_fetches", 1)
	var reply FetchReply
	err := r.o.Peers.Call(ctx, address, peer.KindConfig, request, &reply)
	if err == nil {
		err = r.mergeReply(reply, address)
	}
	if err != nil {
		_ = r.o.Logger.Log("event", "fetch failed", "peer", address, "err", err)
	}
}

// fetchRequest returns the request for what this node lacks. lacks is false if it no longer lacks
// anything of k.
func (r *Runner) fetchRequest(k Knowledge) (request FetchRequest, lacks bool) {
	known := r.Version()
	r.mu.Lock()
	defer r.mu.Unlock()
	return FetchRequest{
		KnownVersion: known,
		WantsDeltas:  true,
		Followed: Versions{
			Configuration: r.configuration.versionIn(r.era),
			Targets:       r.targets.versionIn(r.era),
			Nodes:         r.nodes.versionIn(r.era),
			Era:           r.era,
		},
		ConfigurationVersion: r.document.version(),
	}, r.lacks(k)
}

// mergeReply applies the answer of the peer at address.
func (r *Runner) mergeReply(reply FetchReply, address string) error {
	if len(reply.Deltas) == 0 {
		r.mergeSnapshot(platform.TableConfiguration, r.configuration, reply.Configuration, address)
		r.mergeSnapshot(platform.TableTargets, r.targets, reply.Targets, address)
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
	r.mergeDelta(platform.TableConfiguration, r.configuration, all.Configuration, address)
	r.mergeDelta(platform.TableTargets, r.targets, all.Targets, address)
	r.mergeDelta(platform.TableNodes, r.nodes, all.Nodes, address)
	r.mergeDocument(all.Document, all.DocumentEra, address)
	return nil
}

// mergeDocument puts a peer's configuration in force if it is newer than the known one.
func (r *Runner) mergeDocument(value []byte, era uint64, source string) {
	if len(value) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.takeDocument(value, platform.Revision{Era: era}, source) {
		r.publish()
	}
}

func (r *Runner) mergeSnapshot(name string, t *table, c Snapshot, source string) {
	r.updateTable(name, t, source, r.o.Clock.Now(), func() bool { return t.replace(c) })
}

func (r *Runner) mergeDelta(name string, t *table, d Delta, source string) {
	r.updateTable(name, t, source, r.o.Clock.Now(), func() bool { return t.applyDelta(d) })
}
