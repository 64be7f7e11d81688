package catalog

import (
	"fmt"
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
		role := reader.NewRole(n.Name, time.Time{})
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

// startReaders starts the readers of a fleet over the feed f.
func startReaders(t *testing.T, nodes []reader.Node, f *fakeFeed) []*Runner {
	t.Helper()
	var readers []*Runner
	for _, name := range reader.Choose(nodes) {
		r := startRunnerAs(t, name, f, nil)
		synctest.Wait()
		r.SetNodes(nodes)
		readers = append(readers, r)
	}
	return readers
}

// observeInTurn lets r hear of the peers in turn for the duration d, as often as it sends probes.
func observeInTurn(t *testing.T, r *Runner, peers []*Runner, d time.Duration) {
	t.Helper()
	for i := range int(d / (250 * time.Millisecond)) {
		r.ObservePeer(t.Context(), "reader", peers[i%len(peers)].Knowledge(), time.Now())
		time.Sleep(250 * time.Millisecond)
	}
}

// TestOnlyReadersCallTheStore checks that a node of a large fleet that is not a reader makes no
// call to the store once it has the tables, and still follows every change.
func TestOnlyReadersCallTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := largeFleet(295)
		f, own := newFakeFeed(), newFakeFeed()
		setInitialRows(f)
		setInitialRows(own)
		readers := startReaders(t, nodes, f)
		r := startRunnerAs(t, nonReader(nodes), own, fakePeers{readers[0]})
		synctest.Wait()
		r.SetNodes(nodes)
		calls := r.Counters.Get("feed_calls").String()
		observeInTurn(t, r, readers, followWait+time.Second)
		for i := range 40 {
			f.set(platform.TableTargets, fmt.Sprint("t", i), "a", i%2 == 0)
			observeInTurn(t, r, readers, time.Second)
			must.Eq(t, rowVersions(readers[0]), rowVersions(r))
		}
		must.Eq(t, calls, r.Counters.Get("feed_calls").String())
	})
}

// TestSilentReadersAreReplaced checks that a node that is not a reader follows the tables itself
// once no confirmation has reached it for longer than its patience.
func TestSilentReadersAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := largeFleet(295)
		f := newFakeFeed()
		setInitialRows(f)
		r := startRunnerAs(t, nonReader(nodes), f, nil)
		synctest.Wait()
		r.SetNodes(nodes)
		time.Sleep(followWait + 2*reader.MinPatience)
		f.set(platform.TableConfiguration, "config", "7", false)
		synctest.Wait()
		must.Eq(t, 7, r.Current().Version)
	})
}

// firstStandIn returns the name of the node that is the first to turn to the store if the readers are lost.
func firstStandIn(nodes []reader.Node) string {
	for _, n := range nodes {
		role := reader.NewRole(n.Name, time.Time{})
		role.SetNodes(nodes)
		if !role.IsReader() && role.FollowsConfiguration(time.Time{}.Add(reader.MinPatience+time.Millisecond)) {
			return n.Name
		}
	}
	return ""
}

// TestFailureOfAnEarlierStandInCountsForGood checks that a stand-in confirms the tables as soon as the store
// answers it about the configuration, although its calls about the other tables failed when it last stood
// in.
func TestFailureOfAnEarlierStandInCountsForGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := largeFleet(295)
		f := newFakeFeed()
		setInitialRows(f)
		r := startRunnerAs(t, firstStandIn(nodes), f, nil)
		synctest.Wait()
		r.SetNodes(nodes)
		f.update(func() { f.down = true })
		time.Sleep(time.Minute)
		// A stand-in notices that it is not needed once its last backoff is over.
		for range 2 * standInBackoffMax / roleCheckInterval {
			r.ObservePeer(t.Context(), "reader", Knowledge{ConfirmedBy: reader.IDOf(reader.Choose(nodes)[0])}, time.Now())
			time.Sleep(roleCheckInterval)
		}
		f.update(func() { f.down = false })
		time.Sleep(reader.MinPatience + roleCheckInterval)
		must.Less(t, time.Second.Milliseconds(), r.confirmedAgeMillis().(int64))
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
