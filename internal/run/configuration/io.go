package configuration

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	controller "crocusyoke/internal/controller/configuration"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/peer"
	"crocusyoke/internal/platform"
)

// PeerFetchTimeout bounds one fetch of a body from a peer.
const PeerFetchTimeout = time.Second

// pollRow reads the row repeatedly until ctx ends.
func (r *Runner) pollRow(ctx context.Context) error {
	failures := 0
	for {
		err := r.readRow(ctx)
		if err != nil {
			failures++
			r.counters.PollFailures.Add(1)
		} else {
			failures = 0
			r.logRestored()
			r.writeBack(ctx)
		}
		r.logOutage(failures, err)
		if err := r.options.Clock.Sleep(ctx, r.pollWait(failures)); err != nil {
			return err
		}
	}
}

func (r *Runner) pollWait(failures int) (wait time.Duration) {
	names := r.listedNames()
	r.update(func(s *controller.State) {
		s.SetListed(names)
		wait = s.PollWait(failures, r.jitter())
	})
	return wait
}

func (r *Runner) jitter() float64 {
	if r.options.Random != nil {
		return r.options.Random.Float64()
	}
	return rand.Float64()
}

func (r *Runner) logOutage(failures int, err error) {
	switch {
	case failures == 1:
		r.counters.outage = true
		level.Warn(r.options.Logger).Log("event", "config_store_lost", "err", err)
	case failures == 0 && r.counters.outage:
		r.counters.outage = false
		level.Info(r.options.Logger).Log("event", "config_store_back")
	}
}

func (r *Runner) readRow(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	r.counters.Polls.Add(1)
	sentAt := r.options.Clock.Now()
	row, err := r.options.Platform.Get(ctx, controller.RowKey(r.options.Deployment))
	if platform.ErrNotFound.Has(err) {
		r.observeEra(row.Era)
		r.update(func(s *controller.State) { s.OnNoRow(row.Era, sentAt) })
		return nil
	}
	if err != nil {
		return err
	}
	r.observeEra(row.Era)
	record, err := controller.DecodeRecord(row.Value)
	if err != nil {
		return err
	}
	r.update(func(s *controller.State) { s.OnRow(row, record, sentAt) })
	r.wakeUp()
	return nil
}

// observeEra calls OnNewEra if era, which an answer of the store states, is above that of the answer before.
func (r *Runner) observeEra(era uint64) {
	former := r.storeEra
	r.storeEra = era
	if former != 0 && era > former && r.options.OnNewEra != nil {
		r.options.OnNewEra(era)
	}
}

// logRestored logs, once for each era, that the store was restored and has a configuration from before.
func (r *Runner) logRestored() {
	r.mu.Lock()
	era, version := r.state.RestoredEra(), r.state.Version()
	r.mu.Unlock()
	if era == r.counters.restoredEra {
		return
	}
	r.counters.restoredEra = era
	if era != 0 {
		level.Warn(r.options.Logger).Log("event", "config_store_restored", "era", era, "version", version)
	}
}

// fetchAll runs the fetches that the controller asks for until ctx ends.
func (r *Runner) fetchAll(ctx context.Context) error {
	for {
		fetch, wanted, due := r.nextFetch()
		switch {
		case due:
			r.fetch(ctx, fetch)
		case wanted:
			r.sleep(ctx, controller.RetryInterval)
		default:
			r.waitForWake(ctx)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// nextFetch returns the fetch to perform now if due is true. wanted is true if a newer version
// is known that the node should fetch, even if the next attempt is not due yet.
func (r *Runner) nextFetch() (fetch controller.Fetch, wanted, due bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fetch, due = r.state.NextFetch(r.options.Clock.Now())
	return fetch, r.state.NeedsFetch(), due
}

func (r *Runner) sleep(ctx context.Context, d time.Duration) {
	_ = r.options.Clock.Sleep(ctx, d)
}

func (r *Runner) waitForWake(ctx context.Context) {
	select {
	case <-r.wakeFetcher:
	case <-ctx.Done():
	}
}

func (r *Runner) fetch(ctx context.Context, fetch controller.Fetch) {
	var err error
	if fetch.Node == "" {
		r.counters.StoreFetches.Add(1)
		err = r.fetchFromStore(ctx, fetch)
	} else {
		r.counters.PeerFetches.Add(1)
		err = r.fetchFromPeer(ctx, fetch)
	}
	if err != nil {
		r.counters.FetchFailures.Add(1)
	}
}

// fetchFromStore reads a body from the store. It does not verify the hash; the controller
// does.
func (r *Runner) fetchFromStore(ctx context.Context, fetch controller.Fetch) error {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	body, err := r.options.Platform.GetObject(ctx, fetch.Record.Body)
	if err != nil {
		return err
	}
	return r.applyBody(fetch.Version, fetch.Record, body)
}

func (r *Runner) fetchFromPeer(ctx context.Context, fetch controller.Fetch) error {
	address, ok := r.address(fetch.Node)
	if !ok {
		return Error.New("fetch: peer %s is not listed", fetch.Node)
	}
	ctx, cancel := context.WithTimeout(ctx, PeerFetchTimeout)
	defer cancel()
	var reply FetchReply
	err := r.options.Peers.Call(ctx, address, peer.KindConfig, FetchRequest{fetch.Version}, &reply)
	if err != nil {
		return err
	}
	return r.applyBody(reply.Version, reply.Record, reply.Body)
}

func (r *Runner) address(node string) (string, bool) {
	for _, vm := range r.options.Nodes() {
		if vm.Name == node {
			return vm.Address, true
		}
	}
	return "", false
}

// applyBody passes a body to the controller and publishes the version that comes into
// force. Current returns that version before the subscribers are called.
func (r *Runner) applyBody(version uint64, record controller.Record, body []byte) error {
	r.publishMu.Lock()
	defer r.publishMu.Unlock()
	var config *fleet.Config
	var subscribers []func(*fleet.Config)
	var err error
	r.update(func(s *controller.State) {
		config, err = s.OnBody(version, record, body)
		subscribers = r.subscribers
		r.counters.copyFrom(s)
	})
	if err != nil {
		r.logRejected(version, err)
		return err
	}
	level.Info(r.options.Logger).Log("event", "config_in_force", "version", version)
	for _, publish := range subscribers {
		publish(config)
	}
	return nil
}

// logRejected logs that the body of version was rejected, unless it has already logged that
// for this version or a higher one.
func (r *Runner) logRejected(version uint64, err error) {
	if version <= r.lastRejected {
		return
	}
	r.lastRejected = version
	level.Warn(r.options.Logger).Log("event", "config_refused", "version", version, "err", err)
}
