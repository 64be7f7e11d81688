package promotion

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/audit"
	"crocusyoke/internal/controller/promotion"
	"crocusyoke/internal/platform/platformtest"
)

// stepClock is a clock whose Sleep advances the time without blocking and calls sleep with
// the number of Sleep calls so far.
type stepClock struct {
	mu    sync.Mutex
	now   time.Time
	sleep func(n int)
	count int
}

func (s *stepClock) Now() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

func (s *stepClock) Sleep(ctx context.Context, d time.Duration) error {
	s.mu.Lock()
	s.now = s.now.Add(d)
	s.count++
	n, sleep := s.count, s.sleep
	s.mu.Unlock()
	if sleep != nil {
		sleep(n)
	}
	return ctx.Err()
}

func newTestRunner(self string, store Store, sleep func(n int)) *Runner {
	clock := &stepClock{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), sleep: sleep}
	return New(Options{Self: self, Deployment: "trust", Table: store, Clock: clock})
}

func newRecord(term uint64, primary string) promotion.RecordPromotion {
	return promotion.RecordPromotion{Term: term, Primary: primary, Reason: promotion.ReasonUnreachable}
}

func auditTrail(t *testing.T, store Store) []audit.Entry {
	t.Helper()
	entries, err := History(context.Background(), store, "trust", "ledger-1", 10)
	must.NoError(t, err)
	return entries
}

func currentEntry(t *testing.T, store Store) Entry {
	t.Helper()
	_, entry, err := readRow(context.Background(), store, RowKey("trust", "ledger-1"))
	must.NoError(t, err)
	return entry
}

func TestTrailNamesNodeAndReason(t *testing.T) {
	store := platformtest.New()
	newTestRunner("n1", store, nil).record(t.Context(), "ledger-1", newRecord(2, "t2"))
	newTestRunner("n3", store, nil).record(t.Context(), "ledger-1", newRecord(5, "t1"))
	entries := auditTrail(t, store)
	must.Len(t, 2, entries)
	must.Eq(t, "n3", entries[0].Who)
	must.Eq(t, "n1", entries[1].Who)
	must.Eq(t, `change group ledger-1: term "2" -> "5"`, entries[0].Changes[0].String())
	must.Eq(t, `change group ledger-1: primary "t2" -> "t1"`, entries[0].Changes[1].String())
	must.Eq(t, string(promotion.ReasonUnreachable), entries[0].Changes[2].To)
}

func TestRecordRetriesThroughStoreOutage(t *testing.T) {
	store := platformtest.New()
	store.SetOutage(true)
	backAfter := func(n int) { store.SetOutage(n < 4) }
	newTestRunner("n1", store, backAfter).record(t.Context(), "ledger-1", newRecord(2, "t2"))
	must.Len(t, 1, auditTrail(t, store))
}

// TestLostAnswersRecordOnce checks that a promotion enters the audit trail once although
// the responses to two writes of its row are lost, one write without effect and one with,
// and another promotion is recorded between the attempts.
func TestLostAnswersRecordOnce(t *testing.T) {
	store := platformtest.New()
	store.LosePuts(platformtest.LossBefore, platformtest.LossAfter)
	between := func(n int) {
		if n == 2 {
			newTestRunner("n2", store, nil).record(context.Background(), "ledger-1", newRecord(3, "t3"))
		}
	}
	newTestRunner("n1", store, between).record(t.Context(), "ledger-1", newRecord(2, "t2"))
	entries := auditTrail(t, store)
	must.Len(t, 2, entries)
	must.Eq(t, "n2", entries[0].Who)
	must.Eq(t, "n1", entries[1].Who)
	must.Eq(t, 3, currentEntry(t, store).Term)
}

// TestLateRecordDoesNotReplaceNewerPromotion checks that a promotion recorded after a later
// one enters the audit trail, but does not replace the later one in the row.
func TestLateRecordDoesNotReplaceNewerPromotion(t *testing.T) {
	store := platformtest.New()
	newTestRunner("n2", store, nil).record(t.Context(), "ledger-1", newRecord(3, "t3"))
	newTestRunner("n1", store, nil).record(t.Context(), "ledger-1", newRecord(2, "t2"))
	must.Len(t, 2, auditTrail(t, store))
	must.Eq(t, 3, currentEntry(t, store).Term)
	must.Eq(t, "t3", currentEntry(t, store).Primary)
}

// TestConcurrentRecordsAreBothKept checks that both promotions are recorded if another node
// writes the row between this node's read and write.
func TestConcurrentRecordsAreBothKept(t *testing.T) {
	store := platformtest.New()
	store.BeforePut(func() {
		newTestRunner("n2", store, nil).record(context.Background(), "ledger-1", newRecord(3, "t3"))
	})
	newTestRunner("n1", store, nil).record(t.Context(), "ledger-1", newRecord(2, "t2"))
	must.Len(t, 2, auditTrail(t, store))
	must.Eq(t, 3, currentEntry(t, store).Term)
}

// TestRecordStopsWithContext checks that a store outage does not keep a node from stopping.
func TestRecordStopsWithContext(t *testing.T) {
	store := platformtest.New()
	store.SetOutage(true)
	ctx, stop := context.WithCancel(t.Context())
	pauses := 0
	newTestRunner("n1", store, func(int) { pauses++; stop() }).record(ctx, "ledger-1", newRecord(2, "t2"))
	must.Eq(t, 1, pauses)
}

// TestGroupWithoutPromotionsHasNoHistory checks that History of a group without promotions
// returns no entries and no error.
func TestGroupWithoutPromotionsHasNoHistory(t *testing.T) {
	must.Len(t, 0, auditTrail(t, platformtest.New()))
}

// TestRowWithoutTrailStartsOne checks that recording a promotion starts an audit trail if
// the group's row, written before trails existed, names none.
func TestRowWithoutTrailStartsOne(t *testing.T) {
	store := platformtest.New()
	_, err := store.Put(t.Context(), RowKey("trust", "ledger-1"), 0, []byte(`{"term":4,"primary":"t1"}`))
	must.NoError(t, err)
	newTestRunner("n1", store, nil).record(t.Context(), "ledger-1", newRecord(6, "t2"))
	entries := auditTrail(t, store)
	must.Len(t, 1, entries)
	must.Eq(t, "4", entries[0].Changes[0].From)
}

// TestRecordLostInARestore checks that a promotion whose record a restore of the store has lost is
// recorded again, once, and that one that was not lost is not.
func TestRecordLostInARestore(t *testing.T) {
	store := platformtest.New()
	r := newTestRunner("n1", store, nil)
	r.record(t.Context(), "ledger-1", newRecord(2, "t2"))
	lost := store.Copy()
	r.record(t.Context(), "ledger-1", newRecord(3, "t1"))
	for range 2 {
		store.Restore(lost)
		must.Len(t, 1, auditTrail(t, store))
		r.ObserveEra(0)
		r.recordAgain(t.Context())
		r.wait.Wait()
		must.Len(t, 2, auditTrail(t, store))
		must.Eq(t, 3, currentEntry(t, store).Term)
	}
}

// TestRecordWrittenAcrossARestore checks that a promotion is recorded if the store is restored
// between the read of the group's row and its write.
func TestRecordWrittenAcrossARestore(t *testing.T) {
	store := platformtest.New()
	r := newTestRunner("n1", store, nil)
	r.record(t.Context(), "ledger-1", newRecord(2, "t2"))
	lost := store.Copy()
	store.BeforePut(func() { store.Restore(lost) })
	r.record(t.Context(), "ledger-1", newRecord(3, "t1"))
	must.Len(t, 2, auditTrail(t, store))
	must.Eq(t, 3, currentEntry(t, store).Term)
}
