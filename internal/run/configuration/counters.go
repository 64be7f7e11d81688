package configuration

import (
	"expvar"

	controller "crocusyoke/internal/controller/configuration"
)

// counters are the expvar counters of a Runner.
type counters struct {
	all           *expvar.Map
	Polls         *expvar.Int
	PollFailures  *expvar.Int
	StoreFetches  *expvar.Int
	PeerFetches   *expvar.Int
	FetchFailures *expvar.Int
	Version       *expvar.Int
	Published     *expvar.Int
	Corrupt       *expvar.Int
	Invalid       *expvar.Int
	Stale         *expvar.Int
	// outage is true while the row cannot be read. Only the polling goroutine uses it.
	outage bool
	// restoredEra is the last logged result of State.RestoredEra. Only the polling goroutine uses it.
	restoredEra uint64
}

func newCounters() *counters {
	c := &counters{all: new(expvar.Map)}
	c.Polls = c.add("polls")
	c.PollFailures = c.add("poll_failures")
	c.StoreFetches = c.add("store_fetches")
	c.PeerFetches = c.add("peer_fetches")
	c.FetchFailures = c.add("fetch_failures")
	c.Version = c.add("version")
	c.Published = c.add("published")
	c.Corrupt = c.add("corrupt_bodies")
	c.Invalid = c.add("invalid_bodies")
	c.Stale = c.add("stale_bodies")
	return c
}

func (c *counters) add(name string) *expvar.Int {
	counter := new(expvar.Int)
	c.all.Set(name, counter)
	return counter
}

// copyFrom copies the controller's version and counts.
func (c *counters) copyFrom(state *controller.State) {
	counts := state.Counts()
	c.Version.Set(int64(state.Version()))
	c.Published.Set(int64(counts.Published))
	c.Corrupt.Set(int64(counts.Corrupt))
	c.Invalid.Set(int64(counts.Invalid))
	c.Stale.Set(int64(counts.Stale))
}

// Vars returns the counters, to be published under "configuration".
func (r *Runner) Vars() expvar.Var { return r.counters.all }
