package catalog

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/peer"
	"crocusyoke/internal/platform"
)

// partlyDeadPeers answers calls to the address "alive" like fakePeers, and no others. It records the
// addresses that were called.
type partlyDeadPeers struct {
	fakePeers
	mu     sync.Mutex
	called []string
}

func (p *partlyDeadPeers) Call(ctx context.Context, address string, kind peer.Kind, request, reply any) error {
	p.mu.Lock()
	p.called = append(p.called, address)
	p.mu.Unlock()
	if address != "alive" {
		<-ctx.Done()
		return ctx.Err()
	}
	return p.fakePeers.Call(ctx, address, kind, request, reply)
}

// startBehind returns a node that relies on its peers for the tables and lacks version 2 of the
// configuration, and the knowledge of a peer that has it.
func startBehind(t *testing.T) (*Runner, *partlyDeadPeers, Knowledge) {
	t.Helper()
	f, own := newFakeFeed(), newFakeFeed()
	setInitialRows(f)
	setInitialRows(own)
	nodes := largeFleet(295)
	peers := &partlyDeadPeers{fakePeers: fakePeers{startRunner(t, f, nil)}}
	r := startRunnerAs(t, nonReader(nodes), own, peers)
	synctest.Wait()
	r.SetNodes(nodes)
	f.set(platform.TableConfiguration, "config", "2", false)
	synctest.Wait()
	return r, peers, peers.other.Knowledge()
}

// TestVersionLateBehindADeadPeer checks that a node that fetches a version from a peer that does not
// answer turns to another peer that has told of it meanwhile, without being told again.
func TestVersionLateBehindADeadPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, peers, k := startBehind(t)
		r.ObservePeer(t.Context(), "dead", k, time.Now())
		synctest.Wait()
		r.ObservePeer(t.Context(), "alive", k, time.Now())
		time.Sleep(peerFetchTimeout + time.Millisecond)
		must.Eq(t, 2, r.Current().Version)
		must.Eq(t, []string{"dead", "alive"}, peers.called)
	})
}

// TestVersionLateBehindRowsOfNodes checks that a node that waits before it fetches rows of nodes does not
// wait once it hears of a newer configuration.
func TestVersionLateBehindRowsOfNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, peers, k := startBehind(t)
		nodesOnly := r.Knowledge()
		nodesOnly.Changed.Nodes = k.Changed.Nodes + 100
		r.ObservePeer(t.Context(), "dead", nodesOnly, time.Now())
		synctest.Wait()
		r.ObservePeer(t.Context(), "alive", k, time.Now())
		time.Sleep(time.Millisecond)
		must.Eq(t, 2, r.Current().Version)
		must.Eq(t, []string{"alive"}, peers.called)
	})
}

// TestAnnouncementConfirmsNothing checks that a node fetches what an announcement tells of, but does not
// count the confirmation in it: an announcement may have been on its way for any time.
func TestAnnouncementConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _, k := startBehind(t)
		time.Sleep(2 * time.Second)
		age := r.confirmedAgeMillis()
		k.ConfirmedAgeMillis, k.ConfirmedBy = 0, 1
		r.ObserveAnnouncement(t.Context(), "alive", k)
		synctest.Wait()
		must.Eq(t, 2, r.Current().Version)
		must.Eq(t, age, r.confirmedAgeMillis())
	})
}
