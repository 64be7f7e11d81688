package catalog

import (
	"bytes"
	"slices"
	"time"

	"crocusyoke/internal/platform"
)

// Snapshot is a copy of one table.
type Snapshot struct {
	// Rows are in no particular order.
	Rows []platform.Row `cbor:"1,keyasint"`
	// Version and Era are the revision up to which the table was followed.
	Version uint64 `cbor:"2,keyasint"`
	Era     uint64 `cbor:"3,keyasint,omitempty"`
}

func (s Snapshot) revision() platform.Revision {
	return platform.Revision{Era: s.Era, Version: s.Version}
}

// Delta is the change of one table since an earlier version.
type Delta struct {
	// Since is the version that the delta applies to, or an earlier one. It is 0 if Changes holds
	// the whole table, which replaces what is known.
	Since   uint64            `cbor:"1,keyasint,omitempty"`
	Changes []platform.Change `cbor:"2,keyasint,omitempty"`
	// Version is the version that the delta leads to; 0 if there is nothing newer.
	Version uint64 `cbor:"3,keyasint,omitempty"`
	// Era is the era of all versions of the delta.
	Era uint64 `cbor:"4,keyasint,omitempty"`
}

func (d Delta) revision() platform.Revision {
	return platform.Revision{Era: d.Era, Version: d.Version}
}

// contains reports whether a row of the delta has the given value.
func (d Delta) contains(value []byte) bool {
	return slices.ContainsFunc(d.Changes, func(c platform.Change) bool { return bytes.Equal(c.Value, value) })
}

// maxDeletions is the number of deleted rows that a table remembers.
const maxDeletions = 1024

// table is the local copy of one table. All its versions are of one era, that of followed. It is
// not safe for concurrent use.
type table struct {
	rows map[string]platform.Row
	// followed is the revision up to which the table was followed; zero before the first read.
	followed platform.Revision
	// changedVersion is the version of the last change.
	changedVersion uint64
	// deletions holds the versions at which rows were found deleted. Those up to forgottenVersion
	// have been forgotten.
	deletions        map[string]uint64
	forgottenVersion uint64
	// lostAt is when the calls of this node about the table began to fail; zero if the last one
	// was answered. A call under way may be held without a failure.
	lostAt time.Time
	// isAway is true if this node follows the table and the store did not answer its last call about it, or
	// turned it away.
	isAway bool
	// isRelied is true while the node has the table from its peers and makes no calls about it.
	isRelied bool
	// hold is how long the store may hold the next call.
	hold hold
}

func newTable() *table {
	return &table{rows: make(map[string]platform.Row), deletions: make(map[string]uint64)}
}

// isKnown reports whether the table has been read.
func (t *table) isKnown() bool { return t.followed.Version > 0 }

// versionIn returns the version up to which the table was followed in era; 0 if it was followed in
// another one.
func (t *table) versionIn(era uint64) uint64 {
	if t.followed.Era != era {
		return 0
	}
	return t.followed.Version
}

// changedVersionIn is versionIn for the version of the last change.
func (t *table) changedVersionIn(era uint64) uint64 {
	if t.followed.Era != era {
		return 0
	}
	return t.changedVersion
}

// replace replaces all rows by those of the snapshot c unless c is older than the table or
// has version 0, as in an empty FetchReply. It reports whether anything changed.
func (t *table) replace(c Snapshot) bool {
	if c.Version == 0 || c.revision().Precedes(t.followed) {
		return false
	}
	changed := !t.isKnown() || c.Era != t.followed.Era
	if changed {
		t.startEra(c.revision())
	}
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
	t.rows, t.followed = next, c.revision()
	for key, row := range next {
		t.changedVersion = max(t.changedVersion, row.Version)
		delete(t.deletions, key)
	}
	return changed
}

// startEra forgets the versions of an earlier era. What was deleted before first is not known in
// the new one.
func (t *table) startEra(first platform.Revision) {
	clear(t.deletions)
	t.changedVersion, t.forgottenVersion = 0, first.Version
}

// apply applies the changes that bring the table up to revision and reports whether anything
// changed. It skips changes that are not newer than the known row, and all of them if they are of
// another era than the table.
func (t *table) apply(changes []platform.Change, revision platform.Revision) bool {
	if revision.Era != t.followed.Era {
		return false
	}
	changed := false
	for _, c := range changes {
		if known, ok := t.rows[c.Key]; ok && c.Version != 0 && c.Version <= known.Version {
			continue
		}
		changed = true
		if c.Deleted {
			delete(t.rows, c.Key)
			t.recordDeletion(c.Key, max(c.Version, t.followed.Version))
			continue
		}
		t.rows[c.Key] = c.Row
		t.changedVersion = max(t.changedVersion, c.Version)
		delete(t.deletions, c.Key)
	}
	t.followed.Version = max(t.followed.Version, revision.Version)
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
	case !t.followed.Precedes(d.revision()):
		return false
	case d.Since == 0:
		rows := make([]platform.Row, 0, len(d.Changes))
		for _, c := range d.Changes {
			rows = append(rows, c.Row)
		}
		return t.replace(Snapshot{Rows: rows, Version: d.Version, Era: d.Era})
	case d.Since > t.followed.Version:
		return false
	default:
		return t.apply(d.Changes, d.revision())
	}
}

// deltaSince returns what changed after the revision since. It returns the whole table if since is
// of an earlier era, has version 0, or is so old that deletions after it may have been forgotten.
func (t *table) deltaSince(since platform.Revision) Delta {
	if !since.Precedes(t.followed) {
		return Delta{}
	}
	d := Delta{Version: t.followed.Version, Era: t.followed.Era}
	if since.Era == t.followed.Era && since.Version >= t.forgottenVersion {
		d.Since = since.Version
	}
	for _, row := range t.rows {
		if row.Version > d.Since {
			d.Changes = append(d.Changes, platform.Change{Row: row})
		}
	}
	if d.Since == 0 {
		return d
	}
	for key, version := range t.deletions {
		if version > d.Since {
			d.Changes = append(d.Changes, platform.Change{Row: platform.Row{Key: key, Version: version}, Deleted: true})
		}
	}
	return d
}

func (t *table) snapshot() Snapshot {
	c := Snapshot{Version: t.followed.Version, Era: t.followed.Era, Rows: make([]platform.Row, 0, len(t.rows))}
	for _, row := range t.rows {
		c.Rows = append(c.Rows, row)
	}
	return c
}
