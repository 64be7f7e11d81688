package store

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"crocusyoke/internal/logpos"
)

// MaxPullEntries is the maximum number of entries in one PullResult.
const MaxPullEntries = 500

// Statement is a statement of a log entry with its arguments.
type Statement struct {
	SQL  string `cbor:"1,keyasint"`
	Args []any  `cbor:"2,keyasint"`
}

// Entry is an entry of the log. It holds the writes of one committed transaction, or nothing
// if it is the first entry of a term.
type Entry struct {
	Position logpos.Position `json:"position"`
	// Body is the CBOR encoding of the entry's statements, a []Statement.
	Body []byte `json:"body"`
}

// PullResult is the answer to a replica's pull.
type PullResult struct {
	// Diverged is true if the replica's log is not a prefix of the primary's log.
	Diverged bool    `json:"diverged"`
	Entries  []Entry `json:"entries"`
}

var decoder = mustDecoder()

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{IntDec: cbor.IntDecConvertSignedOrFail}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func (d *database) appendEntry(position logpos.Position, stmts []Statement) error {
	body, err := cbor.Marshal(stmts)
	if err != nil {
		return errs.Wrap(err)
	}
	return d.appendBody(Entry{Position: position, Body: body})
}

func (d *database) appendBody(e Entry) error {
	_, err := d.exec("INSERT INTO "+logTable+" (idx, term, body) VALUES (?1, ?2, ?3)",
		int64(e.Position.Index), int64(e.Position.Term), e.Body)
	return err
}

// applyEntries executes the entries and appends them to the log in the open SQLite
// transaction. The first one must directly follow the position last. It returns the position
// of the last entry that was applied.
func (d *database) applyEntries(last logpos.Position, entries []Entry) (logpos.Position, error) {
	for _, e := range entries {
		if e.Position.Index != last.Index+1 || e.Position.Term < last.Term {
			return last, errs.New("entry %v does not follow %v", e.Position, last)
		}
		if err := d.applyEntry(e); err != nil {
			return last, errs.New("entry %v: %w", e.Position, err)
		}
		last = e.Position
	}
	return last, nil
}

func (d *database) applyEntry(e Entry) error {
	var stmts []Statement
	if err := decoder.Unmarshal(e.Body, &stmts); err != nil {
		return err
	}
	for _, stmt := range stmts {
		if _, err := d.exec(stmt.SQL, stmt.Args...); err != nil {
			return err
		}
	}
	return d.appendBody(e)
}

// Pull returns up to MaxPullEntries entries after the given position, for a replica that
// follows this target as the primary of term. If there are none, it waits for entries, for
// at most wait, and may return without any. A primary that has adopted a higher term commits
// nothing more in its old term, but still returns the entries that it committed in it. Pull
// returns ErrNotPrimary unless the target was last promoted in term and has not followed
// another primary since.
func (s *Store) Pull(ctx context.Context, term uint64, after logpos.Position, wait time.Duration) (PullResult, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		pulled, changed, err := s.pullOnce(term, after)
		if err != nil || pulled.Diverged || len(pulled.Entries) > 0 {
			return pulled, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return pulled, nil
		case <-ctx.Done():
			return pulled, ErrCancelled
		}
	}
}

func (s *Store) pullOnce(term uint64, after logpos.Position) (PullResult, <-chan struct{}, error) {
	s.commitMu.Lock()
	isPrimary, changed := s.meta.LedTerm == term, s.changed
	s.commitMu.Unlock()
	if !isPrimary {
		return PullResult{}, changed, ErrNotPrimary
	}
	s.dataMu.RLock()
	defer s.dataMu.RUnlock()
	pulled, err := s.data.entries(after)
	return pulled, changed, err
}

// entries returns the entries after the position. If the log does not contain an entry at
// that position, the result is Diverged and has no entries. The zero position precedes every
// log.
func (d *database) entries(after logpos.Position) (PullResult, error) {
	rows, err := d.readPool.Query("SELECT idx, term, body FROM "+logTable+
		" WHERE idx >= ?1 ORDER BY idx LIMIT ?2", int64(after.Index), MaxPullEntries+1)
	if err != nil {
		return PullResult{}, AsError(err)
	}
	defer rows.Close()
	pulled := PullResult{Diverged: !after.IsZero()}
	for rows.Next() {
		var e Entry
		if err := rows.Scan(&e.Position.Index, &e.Position.Term, &e.Body); err != nil {
			return PullResult{}, AsError(err)
		}
		if e.Position == after {
			pulled.Diverged = false
			continue
		}
		pulled.Entries = append(pulled.Entries, e)
	}
	if pulled.Diverged {
		pulled.Entries = nil
	}
	return pulled, rows.Err()
}

// Apply executes the entries, which were pulled in term, and appends them to the log, in
// order and in one transaction. It returns ErrTermConflict without effect if the target no
// longer follows a primary in term, or if its log has not been matched.
func (s *Store) Apply(ctx context.Context, term uint64, entries []Entry) error {
	if err := s.lockWriter(ctx); err != nil {
		return err
	}
	defer s.unlockWriter()
	if _, err := s.data.exec("BEGIN IMMEDIATE"); err != nil {
		return err
	}
	last, err := s.data.applyEntries(s.Position(), entries)
	if err == nil {
		err = s.commitApplied(term, last)
	}
	if err != nil {
		_, _ = s.data.exec("ROLLBACK")
	}
	return err
}

// commitApplied checks that the target still follows a primary in term and commits the
// applied entries. The caller holds the writer lock.
func (s *Store) commitApplied(term uint64, last logpos.Position) error {
	s.commitMu.Lock()
	defer s.commitMu.Unlock()
	if !s.meta.canPull() || s.meta.Term != term || !s.meta.Matched {
		return ErrTermConflict
	}
	if _, err := s.data.exec("COMMIT"); err != nil {
		return err
	}
	s.position.Store(&last)
	s.notify()
	return nil
}
