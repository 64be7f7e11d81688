// Package audit records changes in an audit trail: who changed what and when, and the
// versions before and after.
//
// Each audited row of the platform's table has its own hash chain of entries. An entry is
// stored as an object that is named by the SHA-256 of its content. It contains the name of
// the previous entry, and the row contains the name of the newest one. Three properties
// follow:
//
//   - An entry is in the chain if and only if the compare-and-set of its row took effect.
//   - An entry cannot be modified without a hash mismatch.
//   - An entry whose compare-and-set failed is not referenced and has no effect.
package audit

import (
	"context"
	"encoding/json"
	"time"

	"github.com/zeebo/errs"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/platform"
)

// Error is the class of this package's errors.
var Error = errs.Class("audit")

// Entry is one recorded change.
type Entry struct {
	// ID is random, so that the entries of two equal changes have different names.
	ID string `json:"id"`
	// Who is the author of the change: an operator, or a node for changes that it makes
	// itself.
	Who  string    `json:"who"`
	When time.Time `json:"when"`
	// FromVersion and ToVersion are the versions of the row before and after the change.
	FromVersion uint64 `json:"from_version"`
	ToVersion   uint64 `json:"to_version"`
	// Body is the name of the object that contains the state after the change. It is empty if
	// the row itself contains the state.
	Body    string         `json:"body,omitempty"`
	Changes []fleet.Change `json:"changes"`
	// Previous is the name of the previous entry; empty for the first one.
	Previous string `json:"previous,omitempty"`
	// Lost is the name of the entry that preceded this one, if a restore of the platform's store has lost it and
	// the entries from it back to Previous. It is empty otherwise.
	Lost string `json:"lost,omitempty"`
}

// Append stores entry as an object and returns its name. The caller must then write the name
// to the row by compare-and-set; until then, the entry is not part of the chain.
// entry.Previous must be the name that the row contains.
func Append(ctx context.Context, objects platform.Objects, entry Entry) (string, error) {
	body, err := json.Marshal(entry)
	if err != nil {
		return "", Error.Wrap(err)
	}
	return platform.PutHashed(ctx, objects, body)
}

// Read returns the entry with the given object name. It fails with platform.ErrCorrupt if the
// content does not match the name.
func Read(ctx context.Context, objects platform.Objects, name string) (Entry, error) {
	var entry Entry
	body, err := platform.GetHashed(ctx, objects, name)
	if err != nil {
		return entry, err
	}
	err = json.Unmarshal(body, &entry)
	return entry, Error.Wrap(err)
}

// Resume returns the Previous and Lost of an entry that follows the one called newest in a store that was restored
// from a copy, whose newest entry is called copied.
func Resume(ctx context.Context, objects platform.Objects, newest, copied string) (previous, lost string, err error) {
	if newest == "" || newest == copied {
		return copied, "", nil
	}
	switch _, err = Read(ctx, objects, newest); {
	case platform.ErrNotFound.Has(err):
		return copied, newest, nil
	case err != nil:
		return "", "", err
	}
	return newest, "", nil
}

// History returns at most limit entries of a chain, newest first, starting with the entry
// called newest. If an entry cannot be read, it returns the entries read so far and the
// error.
func History(ctx context.Context, objects platform.Objects, newest string, limit int) ([]Entry, error) {
	var entries []Entry
	for name := newest; name != "" && len(entries) < limit; {
		entry, err := Read(ctx, objects, name)
		if err != nil {
			return entries, err
		}
		entries = append(entries, entry)
		name = entry.Previous
	}
	return entries, nil
}
