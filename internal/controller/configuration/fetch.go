package configuration

import "time"

// Intervals and limits of polling and fetching.
const (
	// PollInterval is the time between two reads of the row, which is the one row of the store
	// that names the current configuration. It applies to fleets that are so small that all nodes
	// together send no more than MaxReadsPerSecond reads at this interval.
	PollInterval = time.Second
	// MaxReadsPerSecond is the maximum rate at which all nodes together read the row.
	MaxReadsPerSecond = 200
	// MaxBackoff is the maximum interval between failing reads, unless the fleet is so large
	// that the interval without failures is longer.
	MaxBackoff = 4 * time.Second
	// RetryInterval is the minimum time between two fetches of the same version.
	RetryInterval = 250 * time.Millisecond
	// maxJitterShare is the maximum fraction by which jitter lengthens an interval.
	maxJitterShare = 0.2
)

// PollWait returns the time until the next read of the row. failures is the number of
// consecutive failed reads; jitter is a random number from 0 to 1.
func (s *State) PollWait(failures int, jitter float64) time.Duration {
	fleetInterval := time.Duration(len(s.list.names)) * time.Second / MaxReadsPerSecond
	interval := max(PollInterval, fleetInterval)
	maxInterval := max(MaxBackoff, interval)
	for range failures {
		interval = min(2*interval, maxInterval)
	}
	return interval + time.Duration(jitter*maxJitterShare*float64(interval))
}

// Fetch describes a fetch of a configuration body that is to be performed.
type Fetch struct {
	// Version is the lowest version that is wanted.
	Version uint64
	// Record is the row's value. It is set only for a fetch from the store.
	Record Record
	// Node names the peer to ask; empty for the store.
	Node string
}

// wantedVersion is the newest version that the node has heard of but does not have in force.
type wantedVersion struct {
	version uint64
	// record is the row's value. hasRecord is true if the node has read the row at this version.
	record    Record
	hasRecord bool
	// peers holds the names of the peers that have reported this version as in force there, in
	// the order of their reports.
	peers []string
	// attempts counts the fetches so far. The last one was at lastFetchAt.
	attempts    int
	lastFetchAt time.Time
}

func (w *wantedVersion) addRow(version uint64, record Record) {
	if version < w.version || version == w.version && w.hasRecord {
		return
	}
	if version > w.version {
		*w = wantedVersion{version: version}
	}
	w.record = record
	w.hasRecord = true
}

func (w *wantedVersion) addPeer(version uint64, node string) {
	if version < w.version {
		return
	}
	if version > w.version {
		*w = wantedVersion{version: version}
	}
	for _, known := range w.peers {
		if known == node {
			return
		}
	}
	w.peers = append(w.peers, node)
}

// sources returns the sources to fetch from, in order. The store is the first one if this
// node has read the row itself; otherwise it is not asked.
func (w *wantedVersion) sources() []Fetch {
	var all []Fetch
	if w.hasRecord {
		all = append(all, Fetch{Version: w.version, Record: w.record})
	}
	for _, node := range w.peers {
		all = append(all, Fetch{Version: w.version, Node: node})
	}
	return all
}

// NextFetch returns the fetch that is due at now, if any. Repeated fetches of one version ask
// its sources in turn, at least RetryInterval apart.
func (s *State) NextFetch(now time.Time) (Fetch, bool) {
	w := &s.wanted
	if !s.NeedsFetch() {
		return Fetch{}, false
	}
	if w.attempts > 0 && now.Sub(w.lastFetchAt) < RetryInterval {
		return Fetch{}, false
	}
	sources := w.sources()
	fetch := sources[w.attempts%len(sources)]
	w.attempts++
	w.lastFetchAt = now
	return fetch, true
}

// NeedsFetch reports whether the node knows of a version that it should fetch: one above the
// version in force that has not been rejected as invalid.
func (s *State) NeedsFetch() bool {
	return s.wanted.version > max(s.Version(), s.rejected)
}
