package catalog

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/platform"
)

// TestNodesAreReadOnceStoreAnswers checks that a node that started during an outage of the store reads the table of
// nodes as soon as the store has answered one call, not after a delay that has grown to seconds.
func TestNodesAreReadOnceStoreAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFeed()
		setInitialRows(f)
		f.set(platform.TableNodes, "node/n2", "row", false)
		f.update(func() { f.down = true })
		r := startRunner(t, f, nil)
		time.Sleep(3 * time.Second)
		f.update(func() { f.down = false })
		synctest.Wait()
		_, known := r.NodeRow("node/n2")
		must.False(t, known)
		r.ObserveStoreAnswer()
		synctest.Wait()
		row, known := r.NodeRow("node/n2")
		must.True(t, known)
		must.Eq(t, "row", string(row.Value))
	})
}

// countingFeed counts the reads of whole tables, and fails those of one.
type countingFeed struct {
	*fakeFeed
	mu    sync.Mutex
	reads map[string]int
	// failing is the table whose reads fail.
	failing string
}

func (f *countingFeed) setFailing(table string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failing = table
}

func (f *countingFeed) Read(ctx context.Context, table string) ([]platform.Row, platform.Revision, error) {
	f.mu.Lock()
	f.reads[table]++
	fails := f.failing == table
	f.mu.Unlock()
	if fails {
		return nil, platform.Revision{}, platform.ErrOutage.New("reads of %s fail", table)
	}
	return f.fakeFeed.Read(ctx, table)
}

func (f *countingFeed) readsOf(table string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads[table]
}

// TestOutageIsProbedByOneTable checks that a node that starts during an outage of the store finds out by calls about
// the configuration alone when it has ended, and then has all tables at once.
func TestOutageIsProbedByOneTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &countingFeed{fakeFeed: newFakeFeed(), reads: map[string]int{}}
		setInitialRows(f.fakeFeed)
		f.set(platform.TableNodes, "node/n2", "row", false)
		f.update(func() { f.down = true })
		r := startRunner(t, f.fakeFeed, nil, func(o *Options) { o.Feed = f })
		time.Sleep(1900 * time.Millisecond)
		must.Eq(t, 1, f.readsOf(platform.TableNodes))
		must.Eq(t, 1, f.readsOf(platform.TableTargets))
		must.Greater(t, 1, f.readsOf(platform.TableConfiguration))
		f.update(func() { f.down = false })
		for r.Current() == nil {
			time.Sleep(time.Millisecond)
		}
		synctest.Wait()
		_, known := r.NodeRow("node/n2")
		must.True(t, known)
		must.Eq(t, "t1 t2", r.targetNames())
	})
}

// TestNodesAreReadLateInAPartialOutage guards against a node without a list of nodes for seconds after an outage in which
// the store answered calls about the configuration, which it then holds, and no others.
func TestNodesAreReadLateInAPartialOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &countingFeed{fakeFeed: newFakeFeed(), reads: map[string]int{}, failing: platform.TableNodes}
		setInitialRows(f.fakeFeed)
		f.set(platform.TableNodes, "node/n2", "row", false)
		r := startRunner(t, f.fakeFeed, nil, func(o *Options) { o.Feed = f })
		time.Sleep(300 * time.Millisecond)
		must.NotNil(t, r.Current())
		_, known := r.NodeRow("node/n2")
		must.False(t, known)
		f.setFailing("")
		time.Sleep(600 * time.Millisecond)
		_, known = r.NodeRow("node/n2")
		must.True(t, known)
	})
}

// TestLongOutageKeepsNothing checks that what ends the delays of first reads does not add up over an outage.
func TestLongOutageKeepsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFeed()
		f.update(func() { f.down = true })
		r := startRunner(t, f, nil)
		time.Sleep(10 * time.Minute)
		r.mu.Lock()
		defer r.mu.Unlock()
		must.LessEq(t, 2, len(r.wakeUnread))
	})
}
