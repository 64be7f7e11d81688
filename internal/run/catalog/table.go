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

// Delta is the change of one table since an earlier version.
type Delta struct {
	// Since is the version that the delta applies to, or an earlier one. It is 0 if Changes holds
	// the whole table, which replaces what is known.
	Since   uint64            `cbor:"1,keyasint,omitempty"`
	Changes []platform.Change `cbor:"2,keyasint,omitempty"`
	// Version is the version that the delta leads to; 0 if there is nothing newer.
	Version uint64 `cbor:"3,keyasint,omitempty"`
}

// maxDeletions is the number of deleted rows that a table remembers.
const maxDeletions = 1024

// table is the local copy of one table. It is not safe for concurrent use.
type table struct {
	rows map[string]platform.Row
	// followedVersion is the version up to which the table was followed; 0 before the first read.
	followedVersion uint64
	// changedVersion is the version of the last change.
	changedVersion uint64
	// deletions holds the versions at which rows were found deleted. Those up to forgottenVersion
	// have been forgotten.
	deletions        map[string]uint64
	forgottenVersion uint64
}

func newTable() *table {
	return &table{rows: make(map[string]platform.Row), deletions: make(map[string]uint64)}
}

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
	for key := range t.rows {
		if _, kept := next[key]; !kept {
			t.recordDeletion(key, c.Version)
		}
	}
	if t.followedVersion == 0 {
		t.forgottenVersion = c.Version
	}
	t.rows, t.followedVersion = next, c.Version
	for key, row := range next {
		t.changedVersion = max(t.changedVersion, row.Version)
		delete(t.deletions, key)
	}
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
			t.recordDeletion(c.Key, max(c.Version, t.followedVersion))
			continue
		}
		t.rows[c.Key] = c.Row
		t.changedVersion = max(t.changedVersion, c.Version)
		delete(t.deletions, c.Key)
	}
	t.followedVersion = max(t.followedVersion, version)
	return changed
}

func (t *table) recordDeletion(key string, version uint64) {
	t.changedVersion = max(t.changedVersion, version)
	t.deletions[key] = version
	if len(t.deletions) > maxDeletions {
		clear(t.deletions)
		t.forgottenVersion = t.changedVersion
	}
}

// applyDelta applies a delta and reports whether anything changed.
func (t *table) applyDelta(d Delta) bool {
	switch {
	case d.Version <= t.followedVersion:
		return false
	case d.Since == 0:
		rows := make([]platform.Row, 0, len(d.Changes))
		for _, c := range d.Changes {
			rows = append(rows, c.Row)
		}
		return t.replace(Snapshot{Rows: rows, Version: d.Version})
	case d.Since > t.followedVersion:
		return false
	default:
		return t.apply(d.Changes, d.Version)
	}
}

// deltaSince returns what changed after version since, or the whole table if since is 0 or so old
// that deletions after it may have been forgotten.
func (t *table) deltaSince(since uint64) Delta {
	if t.followedVersion <= since {
		return Delta{}
	}
	if since < t.forgottenVersion {
		since = 0
	}
	d := Delta{Since: since, Version: t.followedVersion}
	for _, row := range t.rows {
		if row.Version > since {
			d.Changes = append(d.Changes, platform.Change{Row: row})
		}
	}
	if since == 0 {
		return d
	}
	for key, version := range t.deletions {
		if version > since {
			d.Changes = append(d.Changes, platform.Change{Row: platform.Row{Key: key, Version: version}, Deleted: true})
		}
	}
	return d
}

func (t *table) snapshot() Snapshot {
	c := Snapshot{Version: t.followedVersion, Rows: make([]platform.Row, 0, len(t.rows))}
	for _, row := range t.rows {
		c.Rows = append(c.Rows, row)
	}
	return c
}
