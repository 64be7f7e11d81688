package catalog

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"crocusyoke/internal/catalog"
	"crocusyoke/internal/clock"
	"crocusyoke/internal/controller/roster"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/peer"
	"crocusyoke/internal/platform"
)

// fakeFeed is a feed in memory with injected faults.
type fakeFeed struct {
	mu      sync.Mutex
	rows    map[string]map[string]platform.Row
	history map[string][]platform.Change
	version uint64
	changed chan struct{}
	down    bool
	// stale, if not nil, is what Read returns: the rows of an earlier time.
	stale map[string][]platform.Row
	// staleAt is the version of the stale rows.
	staleAt   uint64
	forgotten uint64
	// era counts the restores from a copy.
	era uint64
}

// feedCopy is a copy of a fakeFeed at one moment.
type feedCopy struct {
	rows    map[string]map[string]platform.Row
	history map[string][]platform.Change
	version uint64
}

func (f *fakeFeed) copy() feedCopy {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := feedCopy{map[string]map[string]platform.Row{}, map[string][]platform.Change{}, f.version}
	for table, rows := range f.rows {
		c.rows[table] = maps.Clone(rows)
		c.history[table] = slices.Clone(f.history[table])
	}
	return c
}

// restore replaces the contents by those of a copy and begins a new era. Calls that are held
// stay held until the next change.
func (f *fakeFeed) restore(c feedCopy) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.era++
	f.rows, f.history, f.version = map[string]map[string]platform.Row{}, map[string][]platform.Change{}, c.version
	for table, rows := range c.rows {
		f.rows[table] = maps.Clone(rows)
		f.history[table] = slices.Clone(c.history[table])
	}
}

func newFakeFeed() *fakeFeed {
	return &fakeFeed{
		rows: map[string]map[string]platform.Row{}, history: map[string][]platform.Change{}, changed: make(chan struct{}),
	}
}

func (f *fakeFeed) set(table, key, value string, deleted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	row := platform.Row{Key: key, Version: f.version, Value: []byte(value)}
	if f.rows[table] == nil {
		f.rows[table] = map[string]platform.Row{}
	}
	f.rows[table][key] = row
	if deleted {
		delete(f.rows[table], key)
	}
	f.history[table] = append(f.history[table], platform.Change{Row: row, Deleted: deleted})
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeFeed) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeFeed) rowsOf(table string) []platform.Row {
	var rows []platform.Row
	for _, row := range f.rows[table] {
		rows = append(rows, row)
	}
	return rows
}

func (f *fakeFeed) Read(_ context.Context, table string) ([]platform.Row, platform.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, platform.Revision{}, platform.ErrOutage.New("injected")
	}
	if f.stale != nil {
		return f.stale[table], platform.Revision{Era: f.era, Version: f.staleAt}, nil
	}
	return f.rowsOf(table), platform.Revision{Era: f.era, Version: f.version}, nil
}

func (f *fakeFeed) Follow(
	ctx context.Context, table string, from platform.Revision, wait time.Duration,
) ([]platform.Change, platform.Revision, error) {
	after := from.Version
	deadline := time.After(wait)
	for called := true; ; called = false {
		f.mu.Lock()
		changed, down, forgotten := f.changed, f.down, after < f.forgotten || called && after > f.version
		var changes []platform.Change
		for _, c := range f.history[table] {
			if c.Version > after {
				changes = append(changes, c)
			}
		}
		revision := platform.Revision{Era: f.era, Version: f.version}
		f.mu.Unlock()
		switch {
		case down:
			return nil, platform.Revision{}, platform.ErrOutage.New("injected")
		case forgotten:
			return nil, platform.Revision{}, platform.ErrHistoryExpired.New("injected")
		case len(changes) > 0:
			return changes, revision, nil
		}
		select {
		case <-changed:
		case <-deadline:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, platform.Revision{}, ctx.Err()
		}
	}
}

// fakeDecoder decodes a configuration as its version, which may be followed by a space and any text,
// and a target as its address, which may be followed by "#" and the entry's sequence number.
type fakeDecoder struct{}

func (fakeDecoder) Configuration(value []byte) (*catalog.Configuration, error) {
	number, text, _ := strings.Cut(string(value), " ")
	version, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return nil, err
	}
	return &catalog.Configuration{
		Version: version, Groups: []catalog.Group{{Name: "g"}}, Services: []fleet.Service{{Name: text}},
	}, nil
}

func (fakeDecoder) Target(key string, value []byte) (catalog.Target, bool) {
	address, number, _ := strings.Cut(string(value), "#")
	sequence, _ := strconv.ParseUint(number, 10, 64)
	return catalog.Target{Name: key, Group: "g", Address: address, Sequence: sequence}, len(value) > 0
}

// fakePeers answers every call with the snapshots of another Runner.
type fakePeers struct{ other *Runner }

func (p fakePeers) Call(_ context.Context, _ string, _ peer.Kind, request, reply any) error {
	answer, err := p.other.AnswerFetch(request.(FetchRequest))
	*reply.(*FetchReply) = answer
	return err
}

func startRunner(t *testing.T, f *fakeFeed, p peer.Caller, change ...func(*Options)) *Runner {
	t.Helper()
	return startRunnerAs(t, "self", f, p, change...)
}

func startRunnerAs(t *testing.T, self string, f *fakeFeed, p peer.Caller, change ...func(*Options)) *Runner {
	t.Helper()
	o := Options{
		Self: self,
		Feed: f, Decoder: panickingDecoder{}, ConfigurationKey: "config", Peers: p, Clock: clock.Wall{}, Logger: log.NewNopLogger(),
		EvacuationPrefix: testEvacuationPrefix, Random: rand.New(rand.NewPCG(1, 1)),
	}
	for _, f := range change {
		f(&o)
	}
	r := New(o)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = r.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	return r
}

// targetNames returns the names of the targets that get requests, memberNames those of all members of
// the group.
func (r *Runner) targetNames() string {
	return r.namesOf(func(t fleet.Target) bool { return !t.Leaving })
}

func (r *Runner) memberNames() string {
	return r.namesOf(func(fleet.Target) bool { return true })
}

func (r *Runner) namesOf(isWanted func(fleet.Target) bool) string {
	var names []string
	for _, target := range r.Current().Groups[0].Targets {
		if isWanted(target) {
			names = append(names, target.Name)
		}
	}
	return strings.Join(names, " ")
}

// failPolls makes the targets of the given names unreachable for this node.
func (r *Runner) failPolls(names ...string) {
	for range 5 {
		for _, name := range names {
			r.ObservePoll(name, time.Now(), false)
		}
		time.Sleep(500 * time.Millisecond)
	}
}

func setInitialRows(f *fakeFeed) {
	f.set(platform.TableConfiguration, "config", "1", false)
	f.set(platform.TableTargets, "t1", "a1", false)
	f.set(platform.TableTargets, "t2", "a2", false)
}

// TestFollowsChanges checks that changes come into force at once, and that entries that
// cannot be decoded yield no target and do not affect others.
func TestFollowsChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFeed()
		setInitialRows(f)
		r := startRunner(t, f, nil)
		synctest.Wait()
		must.Eq(t, 1, r.Current().Version)
		f.set(platform.TableTargets, "foreign", "", false)
		f.set(platform.TableConfiguration, "config", "4", false)
		synctest.Wait()
		f.set(platform.TableConfiguration, "config", "broken", false)
		synctest.Wait()
		must.Eq(t, 4, r.Current().Version)
		must.Eq(t, "t1 t2", r.targetNames())
	})
}

// TestNeverStepsBack checks that neither a configuration with a lower version nor a stale
// read, after the feed has lost its history, reverts the known state.
func TestNeverStepsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFeed()
		setInitialRows(f)
		old, oldAt := f.rowsOf(platform.TableConfiguration), f.version
		r := startRunner(t, f, nil)
		synctest.Wait()
		f.set(platform.TableConfiguration, "config", "7", false)
		synctest.Wait()
		f.set(platform.TableConfiguration, "config", "5", false)
		synctest.Wait()
		must.Eq(t, 7, r.Current().Version)
		f.update(func() {
			f.forgotten = f.version + 1
			f.stale, f.staleAt = map[string][]platform.Row{platform.TableConfiguration: old}, oldAt
		})
		time.Sleep(time.Second)
		must.Eq(t, 7, r.Current().Version)
		must.Eq(t, "t1 t2", r.targetNames())
		f.update(func() { f.stale, f.forgotten = nil, 0 })
		f.set(platform.TableConfiguration, "config", "9", false)
		time.Sleep(3 * time.Second)
		must.Eq(t, 9, r.Current().Version)
	})
}

// TestLapsedEntries checks that no target is dropped if all entries are removed at once
// after an outage and written again within two seconds; one that stays removed is dropped.
func TestLapsedEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFeed()
		setInitialRows(f)
		r := startRunner(t, f, nil)
		synctest.Wait()
		f.update(func() { f.down = true })
		time.Sleep(5 * time.Second)
		must.Eq(t, "t1 t2", r.targetNames())
		f.update(func() { f.down = false })
		f.set(platform.TableTargets, "t1", "", true)
		f.set(platform.TableTargets, "t2", "", true)
		time.Sleep(1900 * time.Millisecond)
		must.Eq(t, "t1 t2", r.targetNames())
		f.set(platform.TableTargets, "t2", "a2", false)
		time.Sleep(2 * roster.ListedRetention)
		must.Eq(t, "t2", r.targetNames())
		r.failPolls("t1", "t2")
		must.Eq(t, "t2", r.memberNames())
	})
}

// TestPeerSuppliesTablesDuringOutage checks that a node that cannot reach the store gets
// both tables from a peer.
func TestPeerSuppliesTablesDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, downFeed := newFakeFeed(), newFakeFeed()
		downFeed.down = true
		setInitialRows(f)
		other := startRunner(t, f, nil)
		r := startRunner(t, downFeed, fakePeers{other})
		synctest.Wait()
		must.Nil(t, r.Current())
		r.ObservePeer(t.Context(), "other", other.Knowledge(), time.Now())
		time.Sleep(2 * peerFetchDelay)
		must.Eq(t, 1, r.Current().Version)
		must.Eq(t, "t1 t2", r.targetNames())
		answer, err := r.AnswerFetch(FetchRequest{KnownVersion: r.Version()})
		must.NoError(t, err)
		must.Eq(t, FetchReply{}, answer)
	})
}
