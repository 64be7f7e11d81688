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
