package catalog

import (
	"crocusyoke/internal/platform"
)

// Snapshot is a copy of one table.
type Snapshot struct {
	// Rows are in no particular order.
	Rows []platform.Row `cbor:"1,keyasint"`
	// Version is the version up to which the table was followed.
	Version uint64 `cbor:"2,keyasint"`
}

// table is the local copy of one table. It is not safe for concurrent use.
type table struct {
	rows map[string]platform.Row
	// followedVersion is the version up to which the table was followed; 0 before the first read.
	followedVersion uint64
}

func newTable() *table { return &table{rows: make(map[string]platform.Row)} }

// replace replaces all rows by those of the snapshot c unless c is older than the table or
// has version 0, as in an empty FetchReply. It reports whether anything changed.
func (t *table) replace(c Snapshot) bool {
	if c.Version < t.followedVersion || c.Version == 0 {
		return false
	}
	changed := t.followedVersion == 0
	next := make(map[string]platform.Row, len(c.Rows))
	for _, row := range c.Rows {
		next[row.Key] = row
		changed = changed || t.rows[row.Key].Version != row.Version
	}
	changed = changed || len(next) != len(t.rows)
	t.rows, t.followedVersion = next, c.Version
	return changed
}

// apply applies the changes that bring the table up to version and reports whether anything
// changed. It skips changes that are not newer than the known row.
func (t *table) apply(changes []platform.Change, version uint64) bool {
	changed := false
	for _, c := range changes {
		if known, ok := t.rows[c.Key]; ok && c.Version != 0 && c.Version <= known.Version {
			continue
		}
		changed = true
		if c.Deleted {
			delete(t.rows, c.Key)
			continue
		}
		t.rows[c.Key] = c.Row
	}
	t.followedVersion = max(t.followedVersion, version)
	return changed
}

func (t *table) snapshot() Snapshot {
	c := Snapshot{Version: t.followedVersion, Rows: make([]platform.Row, 0, len(t.rows))}
	for _, row := range t.rows {
		c.Rows = append(c.Rows, row)
	}
	return c
}
