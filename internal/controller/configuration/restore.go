package configuration

import (
	"time"

	"crocusyoke/internal/platform"
)

const (
	// WriteBackDelay is the time from a node's first read of a restored row to the time at which its
	// peers must confirm its version before it writes that version back. A version that was written
	// shortly before the restore spreads meanwhile.
	WriteBackDelay = 2 * time.Second
	// versionsPerEra is the number of versions of which each of the store's eras has its own. A node may have
	// versions in force that were not accepted and that the store has lost, and versions of a later era are above
	// these.
	versionsPerEra = 1_000_000_000
)

// VersionAfterRestore returns the version of the first configuration written in the given era, where newest is the
// newest version that was accepted before. Versions written in an earlier era are below it.
func VersionAfterRestore(newest, era uint64) uint64 {
	first := max(newest/versionsPerEra, era-1) * versionsPerEra
	return first + newest%versionsPerEra + 1
}

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

// WriteBack is a write of the configuration in force to a store that was restored from a copy.
type WriteBack struct {
	// RowVersion and Era are those of the restored row; RowVersion is 0 if there is none. The write must replace this
	// row.
	RowVersion uint64
	Era        uint64
	// RowAudit is the audit entry that the restored row names.
	RowAudit string
	// From is the version in force, and Version the one to write it back as. Record and Body are those of From.
	From    uint64
	Version uint64
	Record  Record
	Body    []byte
}

// NextWriteBack returns the write that is due at now, if any. One is due if the store was restored and a majority of
// the listed nodes has confirmed since that it has no version above the one in force here, which is then the
// newest one accepted.
func (s *State) NextWriteBack(now time.Time) (WriteBack, bool) {
	r := s.restored
	if r == nil || s.config == nil || r.record.VersionIn(r.row) > max(s.Version(), s.rejected) {
		return WriteBack{}, false
	}
	from := r.seenAt.Add(WriteBackDelay)
	if now.Before(from) || !s.hasMajoritySince(from) {
		return WriteBack{}, false
	}
	return WriteBack{
		RowVersion: r.row.Version,
		Era:        r.row.Era,
		RowAudit:   r.record.Audit,
		From:       s.Version(),
		Version:    VersionAfterRestore(s.Version(), r.row.Era),
		Record:     s.record,
		Body:       s.body,
	}, true
}

// hasMajoritySince reports whether a majority of the listed nodes, including this one if it vouches, have answered at
// or after since that they have no version above the one in force here.
func (s *State) hasMajoritySince(since time.Time) bool {
	others := s.list.majority()
	if s.vouches && s.list.has(s.self) {
		others--
	}
	return len(s.agreementTimes(since)) >= others
}
