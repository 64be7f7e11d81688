package catalog

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/peer"
)

// silentPeers answers no call until its context ends, and counts the calls.
type silentPeers struct{ calls *atomic.Int32 }

func (p silentPeers) Call(ctx context.Context, _ string, _ peer.Kind, _, _ any) error {
	p.calls.Add(1)
	<-ctx.Done()
	return ctx.Err()
}

// TestFetchFromAPeerOutlastsTheStop guards against a fetch that goes on, or begins, after the node has
// stopped: the process then ends later than its stop, or panics over a WaitGroup that is used again.
func TestFetchFromAPeerOutlastsTheStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFeed()
		f.down = true
		var calls atomic.Int32
		r := New(Options{
			Self: "self", Feed: f, Decoder: fakeDecoder{}, ConfigurationKey: "config", Peers: silentPeers{&calls},
			Clock: clock.Wall{}, Logger: log.NewNopLogger(), Random: rand.New(rand.NewPCG(1, 1)),
		})
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- r.Run(ctx) }()
		newer := Knowledge{ConfigurationVersion: 2}
		r.ObservePeer(context.Background(), "other", newer, time.Now())
		time.Sleep(peerFetchTimeout / 2)
		must.Eq(t, 1, calls.Load())
		stopped := time.Now()
		stop()
		must.NoError(t, <-ended)
		must.Eq(t, 0, time.Since(stopped))
		r.ObservePeer(context.Background(), "other", newer, time.Now())
		time.Sleep(peerFetchTimeout)
		must.Eq(t, 1, calls.Load())
	})
}
