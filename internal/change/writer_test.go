package change

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/peer"
	"crocusyoke/internal/platform"
	"crocusyoke/internal/platform/platformtest"
	"crocusyoke/internal/status"
)

var ctx = context.Background()

// stepClock advances only during Sleep.
type stepClock struct{ now time.Time }

func (c *stepClock) Now() time.Time { return c.now }

func (c *stepClock) Sleep(ctx context.Context, d time.Duration) error {
	c.now = c.now.Add(d)
	return ctx.Err()
}

func newWriter(store platform.Platform, who string) *Writer {
	clock := &stepClock{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	return &Writer{Platform: store, Clock: clock, Deployment: "trust", Who: who}
}

func baseConfig() *fleet.Config {
	return &fleet.Config{
		TokenSecret: strings.Repeat("ab", 32),
		Customers:   []fleet.Customer{{Name: "mill", Rate: 1, Burst: 1, Weight: 1}},
	}
}

// setRate returns an edit that sets a rate, by which tests identify the writer.
func setRate(rate float64) func(*fleet.Config) error {
	return func(c *fleet.Config) error {
		c.Customer("mill").Rate = rate
		return nil
	}
}

// newStoreWithBase returns a store with baseConfig as version 1.
func newStoreWithBase(t *testing.T) *platformtest.Fake {
	t.Helper()
	store := platformtest.New()
	result, err := newWriter(store, "asha").Apply(ctx, 0, baseConfig())
	must.NoError(t, err)
	must.Eq(t, 1, result.Version)
	return store
}

func readRate(t *testing.T, store platform.Platform) float64 {
	t.Helper()
	state, err := Read(ctx, store, "trust")
	must.NoError(t, err)
	return state.Config.Customer("mill").Rate
}

func TestApplyOfSameConfigIsUnchanged(t *testing.T) {
	store := newStoreWithBase(t)
	result, err := newWriter(store, "asha").Apply(ctx, 0, baseConfig())
	must.NoError(t, err)
	must.Eq(t, Result{Version: 1, Unchanged: true}, result)
}

func TestRaceShowsWinner(t *testing.T) {
	store := newStoreWithBase(t)
	store.BeforePut(func() {
		_, err := newWriter(store, "bina").Edit(ctx, setRate(20))
		must.NoError(t, err)
	})
	_, err := newWriter(store, "asha").Edit(ctx, setRate(10))
	var conflict *ConflictError
	must.True(t, errors.As(err, &conflict))
	must.Eq(t, "bina", conflict.Winner.Who)
	must.Eq(t, 2, conflict.Winner.ToVersion)
	must.Eq(t, 2, conflict.Newest)
	must.Eq(t, 20, readRate(t, store))
}

func TestApplyOfOldFileConflicts(t *testing.T) {
	store := newStoreWithBase(t)
	_, err := newWriter(store, "bina").Edit(ctx, setRate(20))
	must.NoError(t, err)
	_, err = newWriter(store, "chand").Edit(ctx, setRate(30))
	must.NoError(t, err)
	changed := baseConfig()
	changed.Customers[0].Rate = 40
	_, err = newWriter(store, "asha").Apply(ctx, 1, changed)
	must.ErrorContains(t, err, "version 1, which the change is based on, was replaced by version 2 of bina")
	must.ErrorContains(t, err, "the newest version is 3")
	must.Eq(t, 30, readRate(t, store))
}

func TestLostAnswers(t *testing.T) {
	after, before := platformtest.LossAfter, platformtest.LossBefore
	for _, losses := range [][]platformtest.Loss{{after}, {before}, {before, after}, {before, before, before}} {
		store := newStoreWithBase(t)
		store.LosePuts(losses...)
		result, err := newWriter(store, "asha").Edit(ctx, setRate(10))
		must.NoError(t, err)
		must.Eq(t, 2, result.Version)
		must.Eq(t, 10, readRate(t, store))
		entries, err := History(ctx, store, "trust", 10)
		must.NoError(t, err)
		must.Len(t, 2, entries, must.Sprintf("%v: written once", losses))
	}
}

// A write takes effect but its answer is lost, and others write before the writer reads the
// row. The writer must find its own entry in the audit chain and report success.
func TestLostAnswerIsResolvedFromAuditChain(t *testing.T) {
	store := newStoreWithBase(t)
	store.LosePuts(platformtest.LossAfter)
	w := newWriter(store, "asha")
	w.Platform = &interleavedStore{Fake: store, beforeRead: func() {
		for _, rate := range []float64{20, 30} {
			_, err := newWriter(store, "bina").Edit(ctx, setRate(rate))
			must.NoError(t, err)
		}
	}}
	result, err := w.Edit(ctx, setRate(10))
	must.NoError(t, err)
	must.Eq(t, 2, result.Version)
	must.Eq(t, 30, readRate(t, store))
}

// interleavedStore calls beforeRead before the first Get that follows a Put, so that other
// writes or an outage come between the two.
type interleavedStore struct {
	*platformtest.Fake
	beforeRead func()
	writeSeen  bool
}

func (s *interleavedStore) Put(ctx context.Context, key string, version uint64, value []byte) (platform.Row, error) {
	s.writeSeen = true
	return s.Fake.Put(ctx, key, version, value)
}

func (s *interleavedStore) Get(ctx context.Context, key string) (platform.Row, error) {
	if s.writeSeen {
		s.writeSeen = false
		s.beforeRead()
	}
	return s.Fake.Get(ctx, key)
}

// A write is lost, and another writer produces the next version with the same content. The
// first writer must report a conflict, not success.
func TestLostWriteReplacedByOtherIsConflict(t *testing.T) {
	store := newStoreWithBase(t)
	store.LosePuts(platformtest.LossBefore)
	w := newWriter(store, "asha")
	w.Platform = &interleavedStore{Fake: store, beforeRead: func() {
		_, err := newWriter(store, "bina").Edit(ctx, setRate(10))
		must.NoError(t, err)
	}}
	_, err := w.Edit(ctx, setRate(10))
	var conflict *ConflictError
	must.True(t, errors.As(err, &conflict))
	must.Eq(t, "bina", conflict.Winner.Who, must.Sprint("an equal change by another operator is a conflict"))
}

func TestOutageAfterWriteReturnsUnknownOutcome(t *testing.T) {
	store := newStoreWithBase(t)
	store.LosePuts(platformtest.LossAfter)
	w := newWriter(store, "asha")
	w.Platform = &interleavedStore{Fake: store, beforeRead: func() { store.SetOutage(true) }}
	_, err := w.Edit(ctx, setRate(10))
	must.True(t, platform.ErrOutcomeUnknown.Has(err))
	store.SetOutage(false)
	must.Eq(t, 10, readRate(t, store))
}

func TestInvalidEditWritesNothing(t *testing.T) {
	store := newStoreWithBase(t)
	_, err := newWriter(store, "asha").Edit(ctx, setRate(-1))
	must.ErrorContains(t, err, "customer[0].rate: must be above zero")
	state, err := Read(ctx, store, "trust")
	must.NoError(t, err)
	must.Eq(t, 1, state.Version)
}

func TestCorruptBodyIsRejected(t *testing.T) {
	store := newStoreWithBase(t)
	state, err := Read(ctx, store, "trust")
	must.NoError(t, err)
	store.SetObject(state.Record.Body, []byte("token_secret = ''"))
	_, err = newWriter(store, "asha").Edit(ctx, setRate(10))
	must.True(t, platform.ErrCorrupt.Has(err))
}

func TestReadVersion(t *testing.T) {
	store := newStoreWithBase(t)
	for _, rate := range []float64{20, 30} {
		_, err := newWriter(store, "asha").Edit(ctx, setRate(rate))
		must.NoError(t, err)
	}
	for version, rate := range map[uint64]float64{1: 1, 2: 20, 3: 30} {
		state, err := ReadVersion(ctx, store, "trust", version)
		must.NoError(t, err)
		must.Eq(t, rate, state.Config.Customer("mill").Rate)
	}
	_, err := ReadVersion(ctx, store, "trust", 4)
	must.True(t, platform.ErrNotFound.Has(err))
}

// fakeNodes answers status calls with the report of the called address. onCall runs after
// each answer and may change the reports.
type fakeNodes struct {
	reports map[string]status.Report
	calls   int
	onCall  func(n *fakeNodes)
}

func (n *fakeNodes) Call(_ context.Context, address string, _ peer.Kind, _, reply any) error {
	report, ok := n.reports[address]
	if !ok {
		return errors.New("no answer")
	}
	if report.Node == "" {
		report.Node = address
	}
	*reply.(*status.Report) = report
	n.calls++
	if n.onCall != nil {
		n.onCall(n)
	}
	return nil
}

// awaitVersion2 calls Await for version 2 on nodes a, b and c and ends it after three rounds.
func awaitVersion2(t *testing.T, n *fakeNodes) Acceptance {
	t.Helper()
	store := platformtest.New()
	store.SetVMs(platform.VM{Name: "a", Address: "a"}, platform.VM{Name: "b", Address: "b"}, platform.VM{Name: "c", Address: "c"})
	w := newWriter(store, "asha")
	w.Peers = &serialCaller{caller: n}
	awaitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	rounds := 0
	w.Clock = &sleepHookClock{stepClock: &stepClock{}, onSleep: func() {
		if rounds++; rounds == 3 {
			cancel()
		}
	}}
	acceptance, err := w.Await(awaitCtx, 2)
	must.NoError(t, err)
	return acceptance
}

func TestVersionInForceAtMajorityIsAccepted(t *testing.T) {
	got := awaitVersion2(t, &fakeNodes{reports: map[string]status.Report{
		"a": {ConfigVersion: 2, Run: "1"},
		"b": {ConfigVersion: 3, Run: "1"},
		"c": {ConfigVersion: 1, Run: "1"},
	}})
	must.Eq(t, Acceptance{Accepted: true, Listed: 3, InForce: 2, Behind: []string{"c"}}, got)
}

func TestVersionWithoutMajorityIsNotAccepted(t *testing.T) {
	got := awaitVersion2(t, &fakeNodes{reports: map[string]status.Report{"a": {ConfigVersion: 2, Run: "1"}}})
	must.Eq(t, Acceptance{Listed: 3, InForce: 1, Behind: []string{"b", "c"}}, got)
}

// A node that has taken over another node's address must count once, not twice.
func TestTakenOverAddressDoesNotAccept(t *testing.T) {
	got := awaitVersion2(t, &fakeNodes{reports: map[string]status.Report{
		"a": {ConfigVersion: 2, Run: "1"},
		"b": {ConfigVersion: 2, Run: "1", Node: "a"},
	}})
	must.False(t, got.Accepted)
	must.Eq(t, 1, got.InForce)
}

// Node a restarts between any two rounds. Nodes a and b may then never have had the version at
// the same time, so it must not be accepted.
func TestRestartedNodesDoNotAccept(t *testing.T) {
	got := awaitVersion2(t, &fakeNodes{
		reports: map[string]status.Report{"a": {ConfigVersion: 2, Run: "1"}, "b": {ConfigVersion: 2, Run: "1"}},
		onCall: func(n *fakeNodes) {
			n.reports["a"] = status.Report{ConfigVersion: 2, Run: strings.Repeat("1", n.calls)}
		},
	})
	must.False(t, got.Accepted)
	must.Eq(t, 2, got.InForce)
}
