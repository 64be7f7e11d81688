package catalog

import (
	"context"
	"math/rand/v2"
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
	"crocusyoke/internal/peer"
	"crocusyoke/internal/platform"
)

// feed is a store of tables with faults to order.
type feed struct {
	mu      sync.Mutex
	rows    map[string]map[string]platform.Row
	history map[string][]platform.Change
	version uint64
	changed chan struct{}
	down    bool
	// stale makes Read return the rows of an earlier time.
	stale map[string][]platform.Row
	// staleAt is the version of those.
	staleAt   uint64
	forgotten uint64
}

func newFeed() *feed {
	return &feed{
		rows: map[string]map[string]platform.Row{}, history: map[string][]platform.Change{}, changed: make(chan struct{}),
	}
}

func (f *feed) set(table, key, value string, deleted bool) {
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

func (f *feed) order(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *feed) copyOf(table string) []platform.Row {
	var rows []platform.Row
	for _, row := range f.rows[table] {
		rows = append(rows, row)
	}
	return rows
}

func (f *feed) Read(_ context.Context, table string) ([]platform.Row, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, 0, platform.ErrOutage.New("ordered")
	}
	if f.stale != nil {
		return f.stale[table], f.staleAt, nil
	}
	return f.copyOf(table), f.version, nil
}

func (f *feed) Follow(ctx context.Context, table string, after uint64, wait time.Duration) ([]platform.Change, uint64, error) {
	deadline := time.After(wait)
	for {
		f.mu.Lock()
		changed, down, forgotten := f.changed, f.down, after < f.forgotten
		var changes []platform.Change
		for _, c := range f.history[table] {
			if c.Version > after {
				changes = append(changes, c)
			}
		}
		version := f.version
		f.mu.Unlock()
		switch {
		case down:
			return nil, 0, platform.ErrOutage.New("ordered")
		case forgotten:
			return nil, 0, platform.ErrHistory.New("ordered")
		case len(changes) > 0:
			return changes, version, nil
		}
		select {
		case <-changed:
		case <-deadline:
			return nil, version, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// decoder reads a configuration as its version, and a target as its address.
type decoder struct{}

func (decoder) Configuration(value []byte) (*catalog.Configuration, error) {
	version, err := strconv.ParseUint(string(value), 10, 64)
	if err != nil {
		return nil, err
	}
	return &catalog.Configuration{Version: version, Groups: []catalog.Group{{Name: "g"}}}, nil
}

func (decoder) Target(key string, value []byte) (catalog.Target, bool) {
	return catalog.Target{Name: key, Group: "g", Address: string(value)}, len(value) > 0
}

// peers answers with the copies of one other Runner.
type peers struct{ other *Runner }

func (p peers) Call(_ context.Context, _ string, _ peer.Kind, request, reply any) error {
	*reply.(*FetchReply) = p.other.Answer(request.(FetchRequest))
	return nil
}

func start(t *testing.T, f *feed, p peer.Caller) *Runner {
	t.Helper()
	r := New(Options{
		Feed: f, Decoder: decoder{}, Key: "config", Peers: p, Clock: clock.Wall{}, Logger: log.NewNopLogger(),
		Random: rand.New(rand.NewPCG(1, 1)),
	})
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

func (r *Runner) names() string {
	var names []string
	for _, target := range r.Current().Groups[0].Targets {
		names = append(names, target.Name)
	}
	return strings.Join(names, " ")
}

func calm(f *feed) {
	f.set(platform.TableConfiguration, "config", "1", false)
	f.set(platform.TableTargets, "t1", "a1", false)
	f.set(platform.TableTargets, "t2", "a2", false)
}

// TestFollowsChanges: changes are in force at once; entries that can't be read name no target
// and harm no other.
func TestFollowsChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFeed()
		calm(f)
		r := start(t, f, nil)
		synctest.Wait()
		must.Eq(t, 1, r.Current().Version)
		f.set(platform.TableTargets, "foreign", "", false)
		f.set(platform.TableConfiguration, "config", "4", false)
		synctest.Wait()
		f.set(platform.TableConfiguration, "config", "broken", false)
		synctest.Wait()
		must.Eq(t, 4, r.Current().Version)
		must.Eq(t, "t1 t2", r.names())
	})
}

// TestNeverStepsBack: neither a configuration with a lower version, nor an old copy of a table
// after its history was forgotten, undoes what is known.
func TestNeverStepsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFeed()
		calm(f)
		old, oldAt := f.copyOf(platform.TableConfiguration), f.version
		r := start(t, f, nil)
		synctest.Wait()
		f.set(platform.TableConfiguration, "config", "7", false)
		synctest.Wait()
		f.set(platform.TableConfiguration, "config", "5", false)
		synctest.Wait()
		must.Eq(t, 7, r.Current().Version)
		f.order(func() {
			f.forgotten = f.version + 1
			f.stale, f.staleAt = map[string][]platform.Row{platform.TableConfiguration: old}, oldAt
		})
		time.Sleep(time.Second)
		must.Eq(t, 7, r.Current().Version)
		must.Eq(t, "t1 t2", r.names())
		f.order(func() { f.stale, f.forgotten = nil, 0 })
		f.set(platform.TableConfiguration, "config", "9", false)
		time.Sleep(3 * time.Second)
		must.Eq(t, 9, r.Current().Version)
	})
}

// TestLapsedEntries: all entries that go at once after an outage, and come back within two
// seconds, take no target away; one that stays away is dropped.
func TestLapsedEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFeed()
		calm(f)
		r := start(t, f, nil)
		synctest.Wait()
		f.order(func() { f.down = true })
		time.Sleep(5 * time.Second)
		must.Eq(t, "t1 t2", r.names())
		f.order(func() { f.down = false })
		f.set(platform.TableTargets, "t1", "", true)
		f.set(platform.TableTargets, "t2", "", true)
		time.Sleep(1900 * time.Millisecond)
		must.Eq(t, "t1 t2", r.names())
		f.set(platform.TableTargets, "t2", "a2", false)
		time.Sleep(2 * keepGone)
		must.Eq(t, "t2", r.names())
	})
}

// TestPeersTell: a node that the store turns away takes what a peer knows, and goes on from
// there when the store is back.
func TestPeersTell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, away := newFeed(), newFeed()
		away.down = true
		calm(f)
		other := start(t, f, nil)
		r := start(t, away, peers{other})
		synctest.Wait()
		must.Nil(t, r.Current())
		r.HeardVersion(t.Context(), "other", other.Version())
		time.Sleep(2 * fetchAfter)
		must.Eq(t, 1, r.Current().Version)
		must.Eq(t, "t1 t2", r.names())
		must.Eq(t, FetchReply{}, r.Answer(FetchRequest{Above: r.Version()}))
	})
}
