package catalog

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"crocusyoke/internal/peer"
	"crocusyoke/internal/platform"
)

// offer is what a peer knows and this node lacks.
type offer struct {
	address   string
	knowledge Knowledge
	// due is when it is fetched from the peer, unless it has come by another way before.
	due time.Time
}

// isBetterThan reports whether o is to be fetched instead of other: the newer configuration first, then
// the newer table that holds it and the evacuations, then what is due first.
func (o *offer) isBetterThan(other *offer) bool {
	if o.knowledge.ConfigurationVersion != other.knowledge.ConfigurationVersion {
		return o.knowledge.ConfigurationVersion > other.knowledge.ConfigurationVersion
	}
	changed, others := o.knowledge.Changed, other.knowledge.Changed
	if changed.Era == others.Era && changed.Configuration != others.Configuration {
		return changed.Configuration > others.Configuration
	}
	return o.due.Before(other.due)
}

// ObservePeer is called when the node at address has told k in the answer to a message that was sent at
// sentAt. If this node still lacks something of it after some time, which depends on how it gets the
// tables, it fetches that from the node. Only one fetch is under way at a time, and the best offer that
// comes meanwhile is next.
func (r *Runner) ObservePeer(ctx context.Context, address string, k Knowledge, sentAt time.Time) {
	r.ObserveEra(k.Changed.Era, address)
	r.mu.Lock()
	defer r.mu.Unlock()
	if k.Changed.Era == r.era {
		r.role.Confirm(k.confirmation(sentAt))
		r.noteStoreAnswer(k.answeredAt(sentAt))
	}
	r.noteHeard(address, k)
	r.considerOffer(ctx, address, k)
}

// considerOffer lets fetchOffers fetch k from the node at address, if this node lacks something of it and
// there is no better offer. The caller holds r.mu.
func (r *Runner) considerOffer(ctx context.Context, address string, k Knowledge) {
	if !r.lacks(k) || r.running.Err() != nil {
		return
	}
	o := &offer{address: address, knowledge: k, due: r.o.Clock.Now().Add(r.fetchDelay(k))}
	if r.offer != nil && !o.isBetterThan(r.offer) {
		return
	}
	r.offer = o
	if r.fetching {
		r.wakeFetch()
		return
	}
	r.fetching, r.wakeFetch = true, func() {}
	r.wait.Go(func() { r.fetchOffers(ctx) })
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

// fetchOffers fetches from peers until there is no offer left.
func (r *Runner) fetchOffers(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(r.running, cancel)()
	for {
		o, wait := r.nextOffer(ctx)
		switch {
		case wait != nil:
			_ = r.o.Clock.Sleep(wait, o.due.Sub(r.o.Clock.Now()))
		case o != nil:
			r.fetch(ctx, o)
		default:
			return
		}
	}
}

// nextOffer takes the offer that is due. If it is not due yet, nextOffer leaves it and returns a context
// that ends when a better one has come. If there is none, nextOffer returns nil and ends the fetching.
func (r *Runner) nextOffer(ctx context.Context) (next *offer, wait context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wakeFetch()
	r.wakeFetch = func() {}
	if r.offer == nil || !r.lacks(r.offer.knowledge) || ctx.Err() != nil {
		r.offer, r.fetching = nil, false
		return nil, nil
	}
	next = r.offer
	if next.due.After(r.o.Clock.Now()) {
		wait, r.wakeFetch = context.WithCancel(ctx)
		return next, wait
	}
	r.offer = nil
	return next, nil
}

// fetch gets from a peer what this node lacks of an offer.
func (r *Runner) fetch(ctx context.Context, o *offer) {
	request := r.fetchRequest()
	ctx, cancel := context.WithTimeout(ctx, peerFetchTimeout)
	defer cancel()
	r.Counters.Add("peer_fetches", 1)
	var reply FetchReply
	err := r.o.Peers.Call(ctx, o.address, peer.KindConfig, request, &reply)
	if err == nil {
		err = r.mergeReply(reply, o.address)
	}
	if err != nil {
		_ = r.o.Logger.Log("event", "fetch failed", "peer", o.address, "err", err)
	}
}

// fetchRequest returns a request for all that this node lacks.
func (r *Runner) fetchRequest() FetchRequest {
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
	}
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
