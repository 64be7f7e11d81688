package catalog

import (
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/controller/roster"
	"crocusyoke/internal/platform"
)

// inForceWithin is the time within which a change of the configuration has to be in force.
const inForceWithin = 3 * time.Second

// startFollowing starts a Runner and returns it, with its feed, once it has the initial rows.
func startFollowing(t *testing.T) (*fakeFeed, *Runner) {
	t.Helper()
	f := newFakeFeed()
	setInitialRows(f)
	r := startRunner(t, f, nil)
	synctest.Wait()
	return f, r
}

// restoreAfterOutage ends an outage of f with a restore from c.
func restoreAfterOutage(f *fakeFeed, c feedCopy) {
	f.update(func() { f.down = true })
	time.Sleep(2 * time.Second)
	f.restore(c)
	f.update(func() { f.down = false })
}

// restoreAndTell is restoreAfterOutage, after which r hears of the new era at once.
func restoreAndTell(r *Runner, f *fakeFeed, c feedCopy) {
	restoreAfterOutage(f, c)
	r.ObserveEra(f.era, "store")
	synctest.Wait()
}

// TestNewConfigurationIgnoredAfterRestore checks that a configuration written after a restore is in
// force in time, although its row has a lower version than what was followed before.
func TestNewConfigurationIgnoredAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, r := startFollowing(t)
		lost := f.copy()
		for _, version := range []string{"4", "7", "8"} {
			f.set(platform.TableConfiguration, "config", version, false)
		}
		synctest.Wait()
		restoreAfterOutage(f, lost)
		must.Eq(t, 8, r.Current().Version)
		f.set(platform.TableConfiguration, "config", "8", false)
		time.Sleep(inForceWithin)
		f.set(platform.TableConfiguration, "config", "9", false)
		time.Sleep(inForceWithin)
		must.Eq(t, 9, r.Current().Version)
	})
}

// TestTargetOfAReusedVersionMissedAfterRestore checks that a row written after a restore is not
// missed if its version had been followed before the restore.
func TestTargetOfAReusedVersionMissedAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, r := startFollowing(t)
		lost := f.copy()
		f.set(platform.TableConfiguration, "config", "4", false)
		f.set(platform.TableTargets, "t2", "a2", false)
		time.Sleep(time.Second)
		f.update(func() { f.down = true })
		time.Sleep(2 * time.Second)
		f.restore(lost)
		f.set(platform.TableTargets, "t3", "a3", false)
		f.set(platform.TableConfiguration, "config", "4", false)
		f.set(platform.TableConfiguration, "config", "9", false)
		f.update(func() { f.down = false })
		time.Sleep(inForceWithin)
		must.Eq(t, "t1 t2 t3", r.targetNames())
		must.Eq(t, 9, r.Current().Version)
	})
}

// TestPeersIgnoreTablesOfARestoredStore checks that a node that gets its tables from peers follows
// them into the era after a restore.
func TestPeersIgnoreTablesOfARestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := largeFleet(295)
		f := newFakeFeed()
		setInitialRows(f)
		other := startRunner(t, f, nil)
		r := startRunnerAs(t, nonReader(nodes), f, fakePeers{other})
		synctest.Wait()
		r.SetNodes(nodes)
		time.Sleep(followWait + time.Second)
		lost := f.copy()
		f.set(platform.TableConfiguration, "config", "7", false)
		f.set(platform.TableTargets, "t3", "a3", false)
		time.Sleep(time.Second)
		r.ObservePeer(t.Context(), "other", other.Knowledge(), time.Now())
		time.Sleep(time.Second)
		must.Eq(t, 7, r.Current().Version)
		restoreAfterOutage(f, lost)
		f.set(platform.TableConfiguration, "config", "9", false)
		for range inForceWithin / (500 * time.Millisecond) {
			time.Sleep(500 * time.Millisecond)
			r.ObservePeer(t.Context(), "other", other.Knowledge(), time.Now())
		}
		must.Eq(t, 9, r.Current().Version)
	})
}

// TestWithdrawnKeysBackAtAStartAfterRestore checks that a node that starts after a restore takes the
// newest configuration from its peers if the copy that it reads has an older one.
func TestWithdrawnKeysBackAtAStartAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFeed()
		setInitialRows(f)
		other := startRunner(t, f, nil)
		synctest.Wait()
		lost := f.copy()
		f.set(platform.TableConfiguration, "config", "7", false)
		synctest.Wait()
		restoreAfterOutage(f, lost)
		time.Sleep(inForceWithin)
		r := startRunner(t, f, fakePeers{other})
		synctest.Wait()
		must.Eq(t, 1, r.Current().Version)
		r.ObservePeer(t.Context(), "other", other.Knowledge(), time.Now())
		time.Sleep(2 * peerFetchDelay)
		must.Eq(t, 7, r.Current().Version)
	})
}

// TestTargetsLostInARestoreAreKept checks that targets which the copy lacks are kept until their rows
// can have been written again, also if another restore follows.
func TestTargetsLostInARestoreAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, r := startFollowing(t)
		lost := f.copy()
		f.set(platform.TableTargets, "t3", "a3", false)
		synctest.Wait()
		restoreAndTell(r, f, lost)
		time.Sleep(1900 * time.Millisecond)
		must.Eq(t, "t1 t2 t3", r.targetNames())
		restoreAndTell(r, f, lost)
		time.Sleep(1900 * time.Millisecond)
		must.Eq(t, "t1 t2 t3", r.targetNames())
		time.Sleep(2 * roster.ListedRetention)
		must.Eq(t, "t1 t2", r.targetNames())
		r.failPolls("t3")
		must.Eq(t, "t1 t2", r.memberNames())
	})
}

// TestHeldFeedNotEndedByARestore checks that a node whose calls the store still holds after a restore
// follows the tables again once it hears of the new era, from whichever source.
func TestHeldFeedNotEndedByARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, r := startFollowing(t)
		lost := f.copy()
		f.set(platform.TableConfiguration, "config", "7", false)
		f.set(platform.TableTargets, "t3", "a3", false)
		time.Sleep(time.Second)
		f.restore(lost)
		f.set(platform.TableConfiguration, "config", "9", false)
		time.Sleep(time.Second)
		must.Eq(t, 7, r.Current().Version)
		r.ObserveEra(f.era, "peer")
		time.Sleep(time.Second)
		must.Eq(t, 9, r.Current().Version)
	})
}

// TestLateAnswerAfterRestore checks that an answer of the earlier era that arrives once the new one
// is known is not applied.
func TestLateAnswerAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, r := startFollowing(t)
		r.ObserveEra(f.era+1, "peer")
		time.Sleep(time.Second)
		must.Eq(t, platform.Revision{Version: 3}, r.followed(r.targets))
		f.set(platform.TableTargets, "t3", "a3", false)
		time.Sleep(3 * time.Second)
		must.Eq(t, "t1 t2", r.targetNames())
		f.restore(f.copy())
		time.Sleep(3 * time.Second)
		must.Eq(t, "t1 t2 t3", r.targetNames())
		must.Eq(t, f.era, r.followed(r.targets).Era)
	})
}

// TestOlderTargetEntryAfterRestore checks that the entry of a target does not revert to the older one
// of the copy, and that a later one of the target is taken.
func TestOlderTargetEntryAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFeed()
		setInitialRows(f)
		f.set(platform.TableTargets, "t2", "old#1", false)
		r := startRunner(t, f, nil)
		synctest.Wait()
		address := func() string { return r.Current().Groups[0].Targets[1].Address }
		lost := f.copy()
		f.set(platform.TableTargets, "t2", "new#2", false)
		synctest.Wait()
		for range 2 {
			restoreAndTell(r, f, lost)
			must.Eq(t, f.era, r.followed(r.targets).Era)
			time.Sleep(1900 * time.Millisecond)
			must.Eq(t, "new", address())
		}
		f.set(platform.TableTargets, "t2", "newer#3", false)
		time.Sleep(inForceWithin)
		must.Eq(t, "newer", address())
	})
}

// TestConfigurationVersionAssignedTwice checks that a configuration whose version was assigned again
// after a restore replaces the lost one, also if the lost one is still in force.
func TestConfigurationVersionAssignedTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, r := startFollowing(t)
		service := func() string { return r.Current().Services[0].Name }
		lost := f.copy()
		f.set(platform.TableConfiguration, "config", "7 lost", false)
		synctest.Wait()
		must.Eq(t, "lost", service())
		restoreAfterOutage(f, lost)
		time.Sleep(inForceWithin)
		must.Eq(t, "lost", service())
		f.set(platform.TableConfiguration, "config", "7 again", false)
		time.Sleep(inForceWithin)
		must.Eq(t, "again", service())
	})
}

// sortedKeys returns the keys of rows in order, separated by blanks.
func sortedKeys(rows []platform.Row) string {
	keys := make([]string, len(rows))
	for i, row := range rows {
		keys[i] = row.Key
	}
	slices.Sort(keys)
	return strings.Join(keys, " ")
}

// TestNodesLostInARestoreAreKept checks that nodes which the copy lacks stay known until they can
// have written their rows again, and that this node's own row is found missing.
func TestNodesLostInARestoreAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFeed()
		setInitialRows(f)
		f.set(platform.TableNodes, "node/n1", "1", false)
		var known atomic.Value
		r := startRunner(t, f, nil, func(o *Options) {
			o.OnNodesChanged = func(rows []platform.Row, _ time.Time) { known.Store(sortedKeys(rows)) }
		})
		synctest.Wait()
		lost := f.copy()
		f.set(platform.TableNodes, "node/n2", "2", false)
		f.set(platform.TableNodes, "node/n3", "3", false)
		f.set(platform.TableNodes, "node/self", "4", false)
		time.Sleep(time.Second)
		must.Eq(t, "node/n1 node/n2 node/n3 node/self", known.Load().(string))
		restoreAfterOutage(f, lost)
		time.Sleep(3 * time.Second)
		must.Eq(t, "node/n1 node/n2 node/n3", known.Load().(string))
		row, _ := r.NodeRow("node/self")
		must.Eq(t, platform.Row{Era: f.era}, row)
		f.set(platform.TableNodes, "node/n2", "2", false)
		time.Sleep(lostNodeRetention)
		must.Eq(t, "node/n1 node/n2", known.Load().(string))
	})
}

// TestPeerKnowsTheNewEraFirst checks that a node that the store does not answer is taken into the new
// era by its peers.
func TestPeerKnowsTheNewEraFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFeed()
		setInitialRows(f)
		other := startRunner(t, f, nil)
		own := newFakeFeed()
		setInitialRows(own)
		r := startRunner(t, own, fakePeers{other})
		synctest.Wait()
		lost := f.copy()
		for _, version := range []string{"4", "7", "8"} {
			f.set(platform.TableConfiguration, "config", version, false)
			own.set(platform.TableConfiguration, "config", version, false)
		}
		synctest.Wait()
		own.update(func() { own.down = true })
		restoreAfterOutage(f, lost)
		f.set(platform.TableConfiguration, "config", "9", false)
		f.set(platform.TableTargets, "t3", "a3", false)
		time.Sleep(inForceWithin)
		r.ObservePeer(t.Context(), "other", other.Knowledge(), time.Now())
		time.Sleep(time.Second)
		must.Eq(t, 9, r.Current().Version)
		must.Eq(t, "t1 t2 t3", r.targetNames())
	})
}

// TestGoneTargetKeptWhileTheStoreAnswers checks that a target whose row was removed is dropped in time
// at a node whose own calls have failed, if its peers have answers of the store.
func TestGoneTargetKeptWhileTheStoreAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, own := newFakeFeed(), newFakeFeed()
		setInitialRows(f)
		setInitialRows(own)
		other := startRunner(t, f, nil)
		r := startRunner(t, own, fakePeers{other})
		synctest.Wait()
		own.update(func() { own.down = true })
		time.Sleep(5 * time.Second)
		f.set(platform.TableTargets, "t2", "", true)
		for range 9 {
			r.ObservePeer(t.Context(), "other", other.Knowledge(), time.Now())
			r.ObservePoll("t2", time.Now(), false)
			time.Sleep(500 * time.Millisecond)
		}
		must.Eq(t, "t1", r.targetNames())
		must.Eq(t, "t1", r.memberNames())
	})
}

// TestCallMissesTheNewEra checks that a new era is never missed by a call that starts as the era is
// told: either the table is found outdated or the call is ended.
func TestCallMissesTheNewEra(t *testing.T) {
	f := newFakeFeed()
	setInitialRows(f)
	r := startRunner(t, f, nil)
	table := newTable()
	table.followed.Version = 1
	for era := uint64(1); era <= 200000; era++ {
		table.followed.Era = era - 1
		told := make(chan struct{})
		go func() {
			defer close(told)
			r.ObserveEra(era, "peer")
		}()
		inEra, release, outdated := r.startCall(t.Context(), table)
		<-told
		if !outdated {
			<-inEra.Done()
		}
		release()
	}
}
