package catalog

import (
	"crocusyoke/internal/platform"
)

// Copy is what a node holds of one table.
type Copy struct {
	// Rows are in no order.
	Rows []platform.Row `cbor:"1,keyasint"`
	// Version is how far the table was followed.
	Version uint64 `cbor:"2,keyasint"`
}

// table follows the rows of one table. It is not safe for concurrent use.
type table struct {
	rows map[string]platform.Row
	// version is how far the table was followed; 0 before the first read.
	version uint64
}

func newTable() *table { return &table{rows: make(map[string]platform.Row)} }

// replace takes over a whole copy, unless it is older than what is known. It reports
// whether anything changed.
func (t *table) replace(c Copy) bool {
	if c.Version < t.version || c.Version == 0 {
		return false
	}
	changed := t.version == 0
	next := make(map[string]platform.Row, len(c.Rows))
	for _, row := range c.Rows {
		next[row.Key] = row
		changed = changed || t.rows[row.Key].Version != row.Version
	}
	changed = changed || len(next) != len(t.rows)
	t.rows, t.version = next, c.Version
	return changed
}

// apply takes over changes that lead to version. What is older than a row that is known
// is passed over.
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
	t.version = max(t.version, version)
	return changed
}

func (t *table) copy() Copy {
	c := Copy{Version: t.version, Rows: make([]platform.Row, 0, len(t.rows))}
	for _, row := range t.rows {
		c.Rows = append(c.Rows, row)
	}
	return c
}
