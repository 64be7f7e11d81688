package configuration

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	controller "crocusyoke/internal/controller/configuration"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/platform"
)

// TestInForceEverywhere checks, on the bubble's clock, that under each fault a written
// version is in force on every node within 9 seconds.
func TestInForceEverywhere(t *testing.T) {
	for name, injectFault := range map[string]func(f *cluster){
		"healthy":          func(*cluster) {},
		"slow store":       func(f *cluster) { f.store.setDelay(1500 * time.Millisecond) },
		"outage after":     func(f *cluster) { go f.startOutageAtVersion(2) },
		"one cut from it":  func(f *cluster) { f.nodes[0].store.cut.Store(true) },
		"lost half probes": func(f *cluster) { f.lossEvery.Store(2) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCluster(t, 6)
				f.writeAndWait(1)
				injectFault(f)
				written := time.Now()
				f.store.write(t, 2)
				f.waitVersion(2)
				took := time.Since(written)
				t.Logf("in force everywhere after %s", took)
				must.Less(t, 9*time.Second, took)
			})
		})
	}
}

func TestLongOutageKeepsNodesFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(t, 6)
		f.writeAndWait(1)
		f.store.SetOutage(true)
		for range 60 {
			time.Sleep(time.Second)
			for _, n := range f.nodes {
				must.True(t, n.runner.Fresh())
			}
		}
	})
}

func TestCutNodeStopsBeingFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(t, 6)
		f.writeAndWait(1)
		cut := f.nodes[0]
		cut.store.cut.Store(true)
		cut.isolated.Store(true)
		time.Sleep(controller.FreshnessBound + 2*time.Second)
		must.False(t, cut.runner.Fresh())
		f.store.write(t, 2)
		time.Sleep(9 * time.Second)
		must.Eq(t, 1, cut.runner.Version())
		must.False(t, cut.runner.Fresh())
		cut.isolated.Store(false)
		time.Sleep(2 * time.Second)
		must.Eq(t, 2, cut.runner.Version())
		must.True(t, cut.runner.Fresh())
	})
}

func TestNodeStartsDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(t, 5)
		f.writeAndWait(1)
		f.store.SetOutage(true)
		late := f.start("late")
		time.Sleep(2 * time.Second)
		must.Eq(t, 1, late.runner.Version())
		must.True(t, late.runner.Fresh())
	})
}

func TestCorruptBodyIsSkippedUntilRepaired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(t, 3)
		f.writeAndWait(1)
		f.store.write(t, 2)
		f.store.SetObject(platform.HashName(body(2)), body(3))
		time.Sleep(9 * time.Second)
		for _, n := range f.nodes {
			must.Eq(t, 1, n.runner.Version())
			must.Positive(t, n.runner.counters.Corrupt.Value())
		}
		f.store.SetObject(platform.HashName(body(2)), body(2))
		f.waitVersion(2)
	})
}

func TestSubscribersReceiveVersionsInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(t, 1)
		runner := f.nodes[0].runner
		var heard []uint64
		publish := func(c *fleet.Config) {
			must.Eq(t, c, runner.Current())
			heard = append(heard, c.Version)
		}
		f.writeAndWait(1)
		runner.Subscribe(publish)
		for version := uint64(2); version <= 4; version++ {
			f.store.write(t, version)
			time.Sleep(3 * time.Second)
		}
		synctest.Wait()
		must.Eq(t, []uint64{1, 2, 3, 4}, heard)
	})
}

func TestHandleFetchRefusesNewerVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(t, 1)
		f.writeAndWait(1)
		runner := f.nodes[0].runner
		_, err := runner.HandleFetch(context.Background(), "b", encode(t, FetchRequest{2}))
		must.ErrorContains(t, err, "fetch from peer b: version 2 was requested, but version 1 is in force")
		_, err = runner.HandleFetch(context.Background(), "b", []byte("garbage"))
		must.ErrorContains(t, err, "peer b")
	})
}

// body returns a valid configuration that differs between versions.
func body(version uint64) []byte {
	return fmt.Appendf(nil, "token_secret = %q\n# %d\n", strings.Repeat("ab", 32), version)
}
