package promotion

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"crocusyoke/internal/audit"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/platform"
)

// trailSearchLimit is how many of the newest audit entries are searched for a promotion
// whose entry may exist already: the write may have succeeded and its response been lost.
const trailSearchLimit = 32

// Store is the part of the platform that recording promotions needs.
type Store interface {
	platform.Table
	platform.Objects
}

// recorder records one promotion in the group's row and audit trail. However often attempt
// is called, the promotion is added to the audit trail only once.
type recorder struct {
	store Store
	key   string
	group string
	// id is the unique ID of this promotion's audit entry.
	id    string
	entry Entry
	// outcomeUnknown is true once a write of the row has failed with an error other than a
	// conflict, so that it may have taken effect.
	outcomeUnknown bool
	// written is the audit entry of the last write of the row, stored as the object writtenName.
	written     audit.Entry
	writtenName string
}

// attempt tries to record the promotion and returns nil once the audit trail contains it.
// The row always describes the promotion with the highest term. If the row already has a
// higher term, the promotion is added to the audit trail only.
func (w *recorder) attempt(ctx context.Context) error {
	row, current, err := readRow(ctx, w.store, w.key)
	if err != nil {
		return err
	}
	if w.writtenName != "" && current.Audit == w.writtenName {
		return w.storeEntry(ctx)
	}
	if w.outcomeUnknown {
		written, err := w.isRecorded(ctx, current.Audit)
		if written || err != nil {
			return err
		}
	}
	next := current
	if w.entry.Term > current.Term {
		next = w.entry
	}
	w.written = w.auditEntry(row.Version, current)
	next.Audit, err = audit.Append(ctx, w.store, w.written)
	if err != nil {
		return err
	}
	w.writtenName = next.Audit
	value, err := json.Marshal(next)
	if err != nil {
		return Error.Wrap(err)
	}
	written, err := w.store.Put(ctx, w.key, row.Version, value)
	if err == nil && written.Era != row.Era {
		err = Error.New("group %s: the store was restored between reading and writing the row", w.group)
	}
	w.outcomeUnknown = w.outcomeUnknown || err != nil && !platform.ErrConflict.Has(err)
	return err
}

// storeEntry stores the audit entry that the row names, which a restore of the store may have lost.
func (w *recorder) storeEntry(ctx context.Context) error {
	_, err := audit.Append(ctx, w.store, w.written)
	return err
}

// isRecorded reports whether the newest entries of the audit trail contain this promotion.
// A missing or corrupt object ends the search.
func (w *recorder) isRecorded(ctx context.Context, newest string) (bool, error) {
	entries, err := audit.History(ctx, w.store, newest, trailSearchLimit)
	for _, e := range entries {
		if e.ID == w.id {
			return true, nil
		}
	}
	if platform.ErrNotFound.Has(err) || platform.ErrCorrupt.Has(err) {
		return false, nil
	}
	return false, err
}

func (w *recorder) auditEntry(version uint64, current Entry) audit.Entry {
	object := "group " + w.group
	return audit.Entry{
		ID:          w.id,
		Who:         w.entry.By,
		When:        w.entry.At.Round(time.Millisecond),
		FromVersion: version,
		ToVersion:   version + 1,
		Previous:    current.Audit,
		Changes: []fleet.Change{
			{Op: fleet.OpChange, Object: object, Field: "term", From: formatTerm(current.Term), To: formatTerm(w.entry.Term)},
			{Op: fleet.OpChange, Object: object, Field: "primary", From: current.Primary, To: w.entry.Primary},
			{Op: fleet.OpChange, Object: object, Field: "reason", From: string(current.Reason), To: string(w.entry.Reason)},
		},
	}
}

// formatTerm formats a term; 0, which means no term, becomes the empty string.
func formatTerm(n uint64) string {
	if n == 0 {
		return ""
	}
	return strconv.FormatUint(n, 10)
}

// readRow returns a group's row and its decoded value. A row that does not exist has
// version 0.
func readRow(ctx context.Context, store platform.Table, key string) (platform.Row, Entry, error) {
	var current Entry
	row, err := store.Get(ctx, key)
	if platform.ErrNotFound.Has(err) {
		return platform.Row{Era: row.Era}, current, nil
	}
	if err != nil {
		return row, current, err
	}
	err = json.Unmarshal(row.Value, &current)
	return row, current, Error.Wrap(err)
}

// History returns at most limit audit entries of a group's promotions, the most recently
// recorded first. A promotion whose recording was delayed by a store outage may appear
// before a promotion to a higher term.
func History(ctx context.Context, store Store, deployment, group string, limit int) ([]audit.Entry, error) {
	_, current, err := readRow(ctx, store, RowKey(deployment, group))
	if err != nil {
		return nil, err
	}
	return audit.History(ctx, store, current.Audit, limit)
}
