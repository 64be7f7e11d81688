package catalog

import (
	"expvar"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/platform"
)

// feedCalls returns how many calls r has made that follow a table.
func feedCalls(r *Runner) int64 {
	if calls, ok := r.Counters.Get("feed_calls").(*expvar.Int); ok {
		return calls.Value()
	}
	return 0
}

// TestStartOfManyTargetsCallsForEach guards against a reader that makes a call for nearly each target of a
// deployment that starts: 60 targets in 4 s. The last of them must be known within a second.
func TestStartOfManyTargetsCallsForEach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const targets, interval, maxCalls = 60, 67 * time.Millisecond, 10
		f := newFakeFeed()
		setInitialRows(f)
		r := startRunner(t, f, nil)
		time.Sleep(time.Second)
		before := feedCalls(r)
		for i := range targets {
			f.set(platform.TableTargets, fmt.Sprint("t", i), "a", false)
			time.Sleep(interval)
		}
		time.Sleep(time.Second)
		must.MapContainsKey(t, rowVersions(r), fmt.Sprint("t", targets-1))
		must.LessEq(t, maxCalls, feedCalls(r)-before)
	})
}

// TestChangeAfterManyIsLate checks that a change of a target is known at once, also if many changes came
// close together before, once these are some time ago.
func TestChangeAfterManyIsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFeed()
		setInitialRows(f)
		r := startRunner(t, f, nil)
		for i := range 40 {
			f.set(platform.TableTargets, fmt.Sprint("t", i), "a", false)
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		for i := range 3 {
			f.set(platform.TableTargets, fmt.Sprint("later", i), "a", false)
			time.Sleep(targetsBatchDelay + time.Millisecond)
			must.MapContainsKey(t, rowVersions(r), fmt.Sprint("later", i))
			time.Sleep(2 * time.Second)
		}
	})
}
