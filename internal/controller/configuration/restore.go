package configuration

import (
	"time"

	"crocusyoke/internal/platform"
)

// restoredRow is a row that was written before the store was last restored, or the lack of a row that was.
type restoredRow struct {
	row    platform.Row
	record Record
	// seenAt is the time of this node's first read of the row in this era.
	seenAt time.Time
}

// OnRow processes the answer to a read of the row that was sent at sentAt. A row from before a restore of
// the store is no evidence of what was accepted.
func (s *State) OnRow(row platform.Row, record Record, sentAt time.Time) {
	version := record.VersionIn(row)
	if !record.IsRestored(row) {
		s.restored = nil
		s.OnRowRead(version, record, sentAt)
		return
	}
	s.setRestored(row, record, sentAt)
	if version > s.Version() {
		s.wanted.addRow(version, record)
	}
}

// RestoredEra returns the store's era if the store was restored since the row was written, otherwise 0.
func (s *State) RestoredEra() uint64 {
	if s.restored == nil {
		return 0
	}
	return s.restored.row.Era
}

// OnNoRow processes a read of the row that was sent at sentAt and found no row in a store of the given
// era; 0 means that the store states none. If it states one, the row may have been lost in a restore, and its
// lack is no evidence.
func (s *State) OnNoRow(era uint64, sentAt time.Time) {
	switch {
	case era == 0:
		s.OnRowMissing(sentAt)
	case s.config != nil && s.record.IsRestored(platform.Row{Era: era}):
		s.setRestored(platform.Row{Era: era}, Record{}, sentAt)
	}
}

func (s *State) setRestored(row platform.Row, record Record, sentAt time.Time) {
	seenAt := sentAt
	if s.restored != nil && s.restored.row.Era == row.Era {
		seenAt = s.restored.seenAt
	}
	s.restored = &restoredRow{row: platform.Row{Version: row.Version, Era: row.Era}, record: record, seenAt: seenAt}
}
