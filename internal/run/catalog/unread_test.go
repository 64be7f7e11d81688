package catalog

import (
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
		time.Sleep(4 * time.Second)
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
