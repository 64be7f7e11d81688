package catalog

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/controller/roster"
	"crocusyoke/internal/platform"
)

// keepAnswering lets time pass in which the targets of the given names answer this node's polls.
func (r *Runner) keepAnswering(d time.Duration, names ...string) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, name := range names {
			r.ObservePoll(name, time.Now(), true)
		}
	}
}

// TestOddEntryDropsALiveTarget guards against a target that leaves its group because another writer has
// replaced its entry by one that can't be decoded, until the target writes its own again.
func TestOddEntryDropsALiveTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, r := startFollowing(t)
		for range 5 {
			f.set(platform.TableTargets, "t1", "", false)
			f.set(platform.TableTargets, "t2", "panic", false)
			synctest.Wait()
			must.Eq(t, "t1 t2", r.targetNames())
			time.Sleep(time.Second)
			must.Eq(t, "t1 t2", r.targetNames())
			f.set(platform.TableTargets, "t1", "a1", false)
			f.set(platform.TableTargets, "t2", "a2", false)
			time.Sleep(200 * time.Millisecond)
		}
		f.set(platform.TableTargets, "t2", "", false)
		r.keepAnswering(2*roster.ListedRetention, "t1", "t2")
		must.Eq(t, "t1", r.targetNames())
		must.Eq(t, "t1 t2", r.memberNames())
	})
}

// TestTargetCutOffFromTheStoreIsForgotten guards against majorities that are counted without a target
// that has lost its entry and still runs.
func TestTargetCutOffFromTheStoreIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, r := startFollowing(t)
		f.set(platform.TableTargets, "t2", "", true)
		r.keepAnswering(2*roster.ListedRetention, "t1", "t2")
		must.Eq(t, "t1", r.targetNames())
		must.Eq(t, "t1 t2", r.memberNames())
		f.set(platform.TableTargets, "t2", "a2", false)
		synctest.Wait()
		must.Eq(t, "t1 t2", r.targetNames())
	})
}

// TestOddEntriesPassedOnByAPeer checks that odd entries among those that a peer passes on are left out,
// also if they are in the first list after a start, and that the others are used.
func TestOddEntriesPassedOnByAPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, down := newFakeFeed(), newFakeFeed()
		down.down = true
		setInitialRows(f)
		f.set(platform.TableTargets, "t2", "", false)
		f.set(platform.TableTargets, "odd", "panic", false)
		f.set(platform.TableTargets, "t3", "a3", false)
		other := startRunner(t, f, nil)
		r := startRunner(t, down, fakePeers{other})
		synctest.Wait()
		r.ObservePeer(t.Context(), "other", other.Knowledge(), time.Now())
		time.Sleep(2 * peerFetchDelay)
		must.Eq(t, "t1 t3", r.targetNames())
		f.set(platform.TableTargets, "t2", "a2", false)
		f.set(platform.TableTargets, "t1", "panic", false)
		time.Sleep(time.Second)
		r.ObservePeer(t.Context(), "other", other.Knowledge(), time.Now())
		time.Sleep(2 * peerFetchDelay)
		must.Eq(t, "t1 t2 t3", r.targetNames())
	})
}
