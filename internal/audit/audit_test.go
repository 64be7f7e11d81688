package audit_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/audit"
	"crocusyoke/internal/platform"
	"crocusyoke/internal/platform/platformtest"
)

// appendChain appends one entry for each author, each linked to the one before, and returns
// the names of the entries.
func appendChain(t *testing.T, store *platformtest.Fake, authors ...string) []string {
	t.Helper()
	var names []string
	previous := ""
	for i, who := range authors {
		entry := audit.Entry{Who: who, ToVersion: uint64(i + 1), Previous: previous}
		name, err := audit.Append(t.Context(), store, entry)
		must.NoError(t, err)
		names = append(names, name)
		previous = name
	}
	return names
}

func TestHistoryIsNewestFirstAndLimited(t *testing.T) {
	store := platformtest.New()
	names := appendChain(t, store, "asha", "bela", "chetan")
	entries, err := audit.History(t.Context(), store, names[2], 2)
	must.NoError(t, err)
	must.Len(t, 2, entries)
	must.Eq(t, "chetan", entries[0].Who)
	must.Eq(t, "bela", entries[1].Who)
}

// TestModifiedEntryIsDetected checks that an entry with modified content is reported as
// corrupt, because it does not match its name, and that newer entries are still returned.
func TestModifiedEntryIsDetected(t *testing.T) {
	store := platformtest.New()
	names := appendChain(t, store, "asha", "bela", "chetan")
	store.SetObject(names[1], []byte(`{"who":"nobody"}`))
	entries, err := audit.History(t.Context(), store, names[2], 10)
	must.True(t, platform.ErrCorrupt.Has(err))
	must.Len(t, 1, entries)
	must.Eq(t, "chetan", entries[0].Who)
}

// TestLosingEntryIsNotInChain checks that, of two entries with the same previous entry, only
// the one that the row refers to is in the history.
func TestLosingEntryIsNotInChain(t *testing.T) {
	store := platformtest.New()
	names := appendChain(t, store, "asha")
	winner, err := audit.Append(t.Context(), store, audit.Entry{Who: "bela", Previous: names[0]})
	must.NoError(t, err)
	_, err = audit.Append(t.Context(), store, audit.Entry{Who: "chetan", Previous: names[0]})
	must.NoError(t, err)
	entries, err := audit.History(t.Context(), store, winner, 10)
	must.NoError(t, err)
	must.Len(t, 2, entries)
	must.Eq(t, "bela", entries[0].Who)
	must.Eq(t, "asha", entries[1].Who)
}

func TestHistoryReturnsOutageError(t *testing.T) {
	store := platformtest.New()
	names := appendChain(t, store, "asha")
	store.SetOutage(true)
	_, err := audit.Append(t.Context(), store, audit.Entry{Who: "bela"})
	must.True(t, platform.ErrOutage.Has(err))
	_, err = audit.History(t.Context(), store, names[0], 10)
	must.True(t, platform.ErrOutage.Has(err))
}

// TestTrailResumedAfterRestore guards against a trail that breaks off at an entry that a restored store has lost.
func TestTrailResumedAfterRestore(t *testing.T) {
	store := platformtest.New()
	names := appendChain(t, store, "asha", "bina")
	for _, newest := range []string{"", names[0]} {
		previous, lost, err := audit.Resume(t.Context(), store, newest, names[0])
		must.NoError(t, err)
		must.Eq(t, [2]string{names[0], ""}, [2]string{previous, lost})
	}
	previous, lost, err := audit.Resume(t.Context(), store, names[1], names[0])
	must.NoError(t, err)
	must.Eq(t, [2]string{names[1], ""}, [2]string{previous, lost}, must.Sprint("the entry is still there"))
	previous, lost, err = audit.Resume(t.Context(), store, "gone", names[0])
	must.NoError(t, err)
	must.Eq(t, [2]string{names[0], "gone"}, [2]string{previous, lost})
	store.SetOutage(true)
	_, _, err = audit.Resume(t.Context(), store, names[1], names[0])
	must.True(t, platform.ErrOutage.Has(err))
}
