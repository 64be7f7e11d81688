package configuration

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crocusyoke/internal/platform"
)

// TestHistories checks the package's guarantees over random histories of writes, lost and
// delayed messages, store outages and restarts.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		t.Repeat(s.actions())
		s.heal(t)
	})
}

// TestHistoriesWithRestores is TestHistories with restores of the store from copies.
func TestHistoriesWithRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		actions := s.actions()
		actions["copy"] = s.copyStore
		actions["restore"] = s.restoreStore
		t.Repeat(actions)
		s.heal(t)
	})
}

// simulation is a store and a fleet of nodes on logical time. A message arrives when deliver
// picks it, after any delay.
type simulation struct {
	now    time.Time
	store  storedRow
	era    uint64
	copies []storedRow
	// written holds all versions ever written.
	written []uint64
	outage  bool
	// isolated nodes reach one another, but neither the store nor the other nodes.
	isolated map[string]bool
	names    []string
	listed   []string
	nodes    map[string]*State
	highest  map[string]uint64
	inFlight []message
	accepted map[uint64]time.Time
}

// storedRow is the row of the simulated store: its version in the store, and the version of the configuration
// and the era that its record states.
type storedRow struct{ rowVersion, version, era uint64 }

func (r storedRow) record() Record {
	result := record(r.version)
	result.Version, result.Era = r.version, r.era
	return result
}

// message is an answer in transit to one process of a node.
type message struct {
	to      *State
	deliver func(to *State)
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{now: epoch, era: 1, copies: make([]storedRow, 1), nodes: map[string]*State{}, accepted: map[uint64]time.Time{}}
	s.names = []string{"a", "b", "c", "d", "e"}[:rapid.SampledFrom([]int{1, 3, 3, 4, 5}).Draw(t, "nodes")]
	s.listed = s.names[:rapid.IntRange((len(s.names)+1)/2, len(s.names)).Draw(t, "listed")]
	s.highest = map[string]uint64{}
	for _, name := range s.names {
		s.start(name)
	}
	return s
}

func (s *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"advance": s.advance,
		"write":   s.write,
		"outage":  s.toggleOutage,
		"cut":     s.partition,
		"poll":    s.poll,
		"probe":   s.probe,
		"survey":  s.probeAll,
		"deliver": s.deliver,
		"lose":    s.lose,
		"restart": s.restart,
		"":        s.check,
	}
}

func (s *simulation) start(name string) {
	s.nodes[name] = New(name, s.now)
	s.nodes[name].SetListed(s.listed)
	s.highest[name] = 0
}

func (s *simulation) pick(t *rapid.T, label string) string {
	return rapid.SampledFrom(s.names).Draw(t, label)
}

func (s *simulation) advance(t *rapid.T) {
	ms := rapid.SampledFrom([]int{1, 200, 1000, 2500, 4500}).Draw(t, "ms")
	s.now = s.now.Add(time.Duration(ms) * time.Millisecond)
}

func (s *simulation) write(t *rapid.T) {
	if s.outage {
		t.Skip("outage")
	}
	if s.store.version > 0 && s.store.era != s.era || s.store.version == 0 && len(s.written) > 0 {
		t.Skip("not written back")
	}
	s.put(s.store.version + 1)
}

// put writes version to the store.
func (s *simulation) put(version uint64) {
	s.store = storedRow{s.store.rowVersion + 1, version, s.era}
	s.written = append(s.written, version)
}

func (s *simulation) copyStore(*rapid.T) { s.copies = append(s.copies, s.store) }

func (s *simulation) restoreStore(t *rapid.T) {
	s.store = rapid.SampledFrom(s.copies).Draw(t, "copy")
	s.era++
}

func (s *simulation) toggleOutage(*rapid.T) { s.outage = !s.outage }

func (s *simulation) partition(t *rapid.T) {
	s.isolated = map[string]bool{}
	for _, name := range s.names {
		s.isolated[name] = rapid.Bool().Draw(t, "far")
	}
}

// send delivers an answer at once, or leaves it in transit.
func (s *simulation) send(t *rapid.T, to string, deliver func(to *State)) {
	if rapid.IntRange(0, 3).Draw(t, "late") > 0 {
		deliver(s.nodes[to])
		return
	}
	s.inFlight = append(s.inFlight, message{s.nodes[to], deliver})
}

func (s *simulation) poll(t *rapid.T) {
	name := s.pick(t, "poller")
	if s.outage || s.isolated[name] {
		t.Skip("no store")
	}
	sentAt, stored, era := s.now, s.store, s.era
	s.send(t, name, func(to *State) { receiveRow(to, stored, era, sentAt) })
	s.writeBack(name)
	s.fetch(t, name)
}

func receiveRow(to *State, stored storedRow, era uint64, sentAt time.Time) {
	if stored.version == 0 {
		to.OnNoRow(era, sentAt)
		return
	}
	to.OnRow(platform.Row{Version: stored.rowVersion, Era: era}, stored.record(), sentAt)
}

// writeBack performs the node's conditional write that is due, if any.
func (s *simulation) writeBack(name string) {
	write, due := s.nodes[name].NextWriteBack(s.now)
	if due && write.RowVersion == s.store.rowVersion {
		s.put(write.Version)
		s.store.era = write.Era
	}
}

// probe lets one node ask another one, which may answer after a delay.
func (s *simulation) probe(t *rapid.T) {
	asker, asked := s.pick(t, "asker"), s.pick(t, "asked")
	sentAt := s.now
	if rapid.Bool().Draw(t, "pause") {
		s.advance(t)
	}
	s.ask(t, asker, asked, sentAt)
}

// probeAll lets one node ask all nodes, and then perform the fetch that is due.
func (s *simulation) probeAll(t *rapid.T) {
	asker := s.pick(t, "asker")
	for _, asked := range s.names {
		s.ask(t, asker, asked, s.now)
	}
	s.fetch(t, asker)
}

func (s *simulation) ask(t *rapid.T, asker, asked string, sentAt time.Time) {
	if s.isolated[asker] != s.isolated[asked] {
		return
	}
	report := s.nodes[asked].Report(s.now)
	s.send(t, asker, func(to *State) { to.OnReport(asked, report, sentAt) })
}

func (s *simulation) fetch(t *rapid.T, name string) {
	fetch, due := s.nodes[name].NextFetch(s.now)
	if !due {
		return
	}
	version, fetched := fetch.Version, fetch.Record
	if fetch.Node == "" {
		if s.outage || s.isolated[name] {
			return
		}
	} else {
		if s.isolated[name] != s.isolated[fetch.Node] {
			return
		}
		version, fetched, _ = s.nodes[fetch.Node].Body()
	}
	s.send(t, name, func(to *State) { to.OnBody(version, fetched, body(version)) })
}

func (s *simulation) takeMessage(t *rapid.T) message {
	if len(s.inFlight) == 0 {
		t.Skip("no message in transit")
	}
	i := rapid.IntRange(0, len(s.inFlight)-1).Draw(t, "message")
	m := s.inFlight[i]
	s.inFlight = append(s.inFlight[:i:i], s.inFlight[i+1:]...)
	return m
}

func (s *simulation) deliver(t *rapid.T) {
	m := s.takeMessage(t)
	m.deliver(m.to)
}

func (s *simulation) lose(t *rapid.T) { s.takeMessage(t) }

func (s *simulation) restart(t *rapid.T) { s.start(s.pick(t, "restarted")) }

func (s *simulation) check(t *rapid.T) {
	s.accept()
	for _, name := range s.names {
		node := s.nodes[name]
		version := node.Version()
		if version < s.highest[name] {
			t.Fatalf("%s reverted from version %d to version %d", name, s.highest[name], version)
		}
		s.highest[name] = version
		if required := s.requiredVersion(); node.IsFresh(s.now) && version < required {
			t.Fatalf("%s is fresh with version %d, but version %d was accepted at %s; it is now %s", name, version, required, s.accepted[required], s.now)
		}
	}
}

// accept records the versions that a majority of the listed nodes now have in force.
func (s *simulation) accept() {
	for _, version := range s.written {
		count := 0
		for _, name := range s.listed {
			if s.nodes[name].Version() >= version {
				count++
			}
		}
		if _, known := s.accepted[version]; !known && count > len(s.listed)/2 {
			s.accepted[version] = s.now
		}
	}
}

// requiredVersion returns the newest version that was accepted longer ago than
// FreshnessBound. Every fresh node must have it.
func (s *simulation) requiredVersion() uint64 {
	var newest uint64
	for version, at := range s.accepted {
		if s.now.Sub(at) > FreshnessBound {
			newest = max(newest, version)
		}
	}
	return newest
}

// heal ends all faults and checks that every node gets the newest version.
func (s *simulation) heal(t *rapid.T) {
	s.outage = false
	s.put(s.afterAll())
	s.inFlight = nil
	s.now = s.now.Add(RetryInterval)
	for _, node := range s.nodes {
		receiveRow(node, s.store, s.era, s.now)
		fetch, due := node.NextFetch(s.now)
		if !due || fetch.Version != s.store.version {
			t.Fatalf("no fetch of version %d", s.store.version)
		}
		if _, err := node.OnBody(s.store.version, s.store.record(), body(s.store.version)); err != nil {
			t.Fatal(err)
		}
		if !node.IsFresh(s.now) {
			t.Fatal("not fresh after all faults ended")
		}
	}
}

// afterAll returns a version above all that were written.
func (s *simulation) afterAll() uint64 {
	if len(s.written) == 0 {
		return 1
	}
	return slices.Max(s.written) + 1
}
