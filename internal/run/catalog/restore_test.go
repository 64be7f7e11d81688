package catalog

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/platform"
)

// inForceWithin is the time within which a change of the configuration has to be in force.
const inForceWithin = 3 * time.Second

// restoreAfterOutage ends an outage of f with a restore from c.
func restoreAfterOutage(f *fakeFeed, c feedCopy) {
	f.update(func() { f.down = true })
	time.Sleep(2 * time.Second)
	f.restore(c)
	f.update(func() { f.down = false })
}

// TestNewConfigurationIgnoredAfterRestore checks that a configuration written after a restore is in
// force in time, although its row has a lower version than what was followed before.
func TestNewConfigurationIgnoredAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFeed()
		setInitialRows(f)
		r := startRunner(t, f, nil)
		synctest.Wait()
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
		f := newFakeFeed()
		setInitialRows(f)
		r := startRunner(t, f, nil)
		synctest.Wait()
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
		r.ObservePeer(t.Context(), "other", other.Knowledge())
		time.Sleep(time.Second)
		must.Eq(t, 7, r.Current().Version)
		restoreAfterOutage(f, lost)
		f.set(platform.TableConfiguration, "config", "9", false)
		for range inForceWithin / (500 * time.Millisecond) {
			time.Sleep(500 * time.Millisecond)
			r.ObservePeer(t.Context(), "other", other.Knowledge())
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
		r.ObservePeer(t.Context(), "other", other.Knowledge())
		time.Sleep(2 * peerFetchDelay)
		must.Eq(t, 7, r.Current().Version)
	})
}

// TestTargetsLostInARestoreAreKept checks that targets which the copy lacks are kept until their rows
// can have been written again, also if another restore follows.
func TestTargetsLostInARestoreAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFeed()
		setInitialRows(f)
		r := startRunner(t, f, nil)
		synctest.Wait()
		lost := f.copy()
		f.set(platform.TableTargets, "t3", "a3", false)
		synctest.Wait()
		restoreAfterOutage(f, lost)
		time.Sleep(1900 * time.Millisecond)
		must.Eq(t, "t1 t2 t3", r.targetNames())
		restoreAfterOutage(f, lost)
		time.Sleep(1900 * time.Millisecond)
		must.Eq(t, "t1 t2 t3", r.targetNames())
		time.Sleep(2 * removedTargetRetention)
		must.Eq(t, "t1 t2", r.targetNames())
	})
}
