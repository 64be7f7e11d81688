package catalog

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/catalog"
	"crocusyoke/internal/controller/reader"
	"crocusyoke/internal/platform"
)

// largeFleet returns nodes with names n000, n001, ...
func largeFleet(count int) []reader.Node {
	nodes := make([]reader.Node, count)
	for i := range nodes {
		nodes[i] = reader.Node{Name: fmt.Sprintf("n%03d", i), Domain: fmt.Sprint("d", i%6)}
	}
	return nodes
}

// nonReader returns the name of a node that is not a reader.
func nonReader(nodes []reader.Node) string {
	for _, n := range nodes {
		role := reader.NewRole(n.Name, time.Time{}, rand.New(rand.NewPCG(1, 1)))
		if role.SetNodes(nodes); !role.IsReader() {
			return n.Name
		}
	}
	return ""
}

// rowVersions returns the versions of the rows of targets by key.
func rowVersions(r *Runner) map[string]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	versions := make(map[string]uint64)
	for key, row := range r.targets.rows {
		versions[key] = row.Version
	}
	return versions
}

// TestOnlyReadersCallTheStore checks that a node of a large fleet that is not a reader makes no
// call to the store once it has the tables, and still follows every change.
func TestOnlyReadersCallTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := largeFleet(295)
		f, own := newFakeFeed(), newFakeFeed()
		setInitialRows(f)
		setInitialRows(own)
		other := startRunner(t, f, nil)
		r := startRunnerAs(t, nonReader(nodes), own, fakePeers{other})
		synctest.Wait()
		r.SetNodes(nodes)
		time.Sleep(followWait + time.Second)
		calls := r.Counters.Get("feed_calls").String()
		for i := range 40 {
			f.set(platform.TableTargets, fmt.Sprint("t", i), "a", i%2 == 0)
			time.Sleep(time.Second)
			r.ObservePeer(t.Context(), "other", other.Knowledge())
			time.Sleep(time.Millisecond)
			must.Eq(t, rowVersions(other), rowVersions(r))
		}
		must.Eq(t, calls, r.Counters.Get("feed_calls").String())
	})
}

// TestSilentReadersAreReplaced checks that a node that is not a reader follows the tables itself
// once no confirmation has reached it for longer than reader.MaxSilence.
func TestSilentReadersAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := largeFleet(295)
		f := newFakeFeed()
		setInitialRows(f)
		r := startRunnerAs(t, nonReader(nodes), f, nil)
		synctest.Wait()
		r.SetNodes(nodes)
		time.Sleep(followWait + 2*reader.MaxSilence)
		f.set(platform.TableConfiguration, "config", "7", false)
		synctest.Wait()
		must.Eq(t, 7, r.Current().Version)
	})
}

// panickingDecoder panics over the value "panic".
type panickingDecoder struct{ fakeDecoder }

func (d panickingDecoder) Configuration(value []byte) (*catalog.Configuration, error) {
	if string(value) == "panic" {
		panic("malformed configuration")
	}
	return d.fakeDecoder.Configuration(value)
}

func (d panickingDecoder) Target(key string, value []byte) (catalog.Target, bool) {
	if string(value) == "panic" {
		panic("malformed target")
	}
	return d.fakeDecoder.Target(key, value)
}

// TestRowsThatMakeTheDecoderPanic checks that rows over which the decoder panics are left out, and
// that later rows take effect.
func TestRowsThatMakeTheDecoderPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFeed()
		setInitialRows(f)
		r := startRunner(t, f, nil)
		synctest.Wait()
		f.set(platform.TableTargets, "bad", "panic", false)
		f.set(platform.TableConfiguration, "config", "panic", false)
		time.Sleep(time.Second)
		must.Eq(t, 1, r.Current().Version)
		must.Eq(t, "t1 t2", r.targetNames())
		f.set(platform.TableConfiguration, "config", "9", false)
		time.Sleep(time.Second)
		must.Eq(t, 9, r.Current().Version)
	})
}
