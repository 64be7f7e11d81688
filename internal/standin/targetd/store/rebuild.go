package store

import (
	"context"
	"path/filepath"

	"github.com/zeebo/errs"

	"crocusyoke/internal/logpos"
)

// Rebuild is a copy of the primary's log and data that is built in a new file, while the old
// file stays in use. The caller ends it with Swap or Discard.
type Rebuild struct {
	store *Store
	data  *database
	file  string
	last  logpos.Position
}

// StartRebuild creates an empty copy.
func (s *Store) StartRebuild() (*Rebuild, error) {
	s.commitMu.Lock()
	defer s.commitMu.Unlock()
	next := s.meta
	next.FileCount++
	if err := s.setMeta(next); err != nil {
		return nil, err
	}
	file := fileName(next.FileCount)
	data, err := openDatabase(filepath.Join(s.dir, file))
	return &Rebuild{store: s, data: data, file: file}, err
}

// Position returns the position of the copy's last entry.
func (r *Rebuild) Position() logpos.Position { return r.last }

// Apply executes the entries in the copy and appends them to its log, in one transaction.
func (r *Rebuild) Apply(entries []Entry) error {
	if _, err := r.data.exec("BEGIN IMMEDIATE"); err != nil {
		return err
	}
	last, err := r.data.applyEntries(r.last, entries)
	if err != nil {
		_, _ = r.data.exec("ROLLBACK")
		return err
	}
	if _, err := r.data.exec("COMMIT"); err != nil {
		return err
	}
	r.last = last
	return nil
}

// Discard deletes the copy.
func (r *Rebuild) Discard() error { return r.data.remove() }

// Swap replaces the store's data and log by the copy and deletes the old file. It returns
// ErrTermConflict without effect if the target no longer follows a primary in term.
func (r *Rebuild) Swap(ctx context.Context, term uint64) error {
	s := r.store
	if err := s.lockWriter(ctx); err != nil {
		return err
	}
	defer s.unlockWriter()
	old, err := r.swap(term)
	if err != nil {
		return err
	}
	return old.remove()
}

func (r *Rebuild) swap(term uint64) (*database, error) {
	s := r.store
	s.commitMu.Lock()
	defer s.commitMu.Unlock()
	if !s.meta.canPull() || s.meta.Term != term {
		return nil, ErrTermConflict
	}
	s.dataMu.Lock()
	defer s.dataMu.Unlock()
	next := s.meta
	next.File = r.file
	next.Matched = true
	if err := s.setMeta(next); err != nil {
		return nil, errs.New("rebuild: %w", err)
	}
	old := s.data
	s.data = r.data
	s.generation++
	s.position.Store(&r.last)
	return old, nil
}
