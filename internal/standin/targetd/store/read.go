package store

import (
	"context"
	"database/sql"

	"crocusyoke/internal/logpos"
)

// Read runs one read-only statement outside of any transaction. The statement sees at least
// the log up to the returned position.
func (s *Store) Read(text string, args []any) (*Result, logpos.Position, error) {
	s.dataMu.RLock()
	defer s.dataMu.RUnlock()
	if err := s.checkReadable(); err != nil {
		return nil, logpos.Position{}, err
	}
	position := s.Position()
	result, err := query(s.data.readPool, text, args)
	if err != nil {
		return nil, position, AsError(err)
	}
	return result, position, nil
}

// Describe returns the result columns of a statement without running it.
func (s *Store) Describe(ctx context.Context, text string) ([]Column, error) {
	s.dataMu.RLock()
	defer s.dataMu.RUnlock()
	columns, err := s.data.describe(ctx, text)
	if err != nil {
		return nil, AsError(err)
	}
	return columns, nil
}

// checkReadable returns ErrRebuilding while the log may contain entries that the followed
// primary's log lacks.
func (s *Store) checkReadable() error {
	if !s.serving.Load() {
		return ErrRebuilding
	}
	return nil
}

// ReadTx is a read-only transaction on one snapshot. It is not safe for concurrent use.
type ReadTx struct {
	store      *Store
	conn       *sql.Conn
	generation int
	position   logpos.Position
}

// BeginRead begins a read-only transaction. The caller must call End.
func (s *Store) BeginRead(ctx context.Context) (*ReadTx, error) {
	s.dataMu.RLock()
	defer s.dataMu.RUnlock()
	if err := s.checkReadable(); err != nil {
		return nil, err
	}
	tx := &ReadTx{store: s, generation: s.generation, position: s.Position()}
	var err error
	if tx.conn, err = s.data.readPool.Conn(ctx); err != nil {
		return nil, ErrCancelled
	}
	if _, err := tx.conn.ExecContext(context.Background(), "BEGIN"); err != nil {
		_ = tx.conn.Close()
		return nil, AsError(err)
	}
	return tx, nil
}

// Position returns a log position that the snapshot includes.
func (t *ReadTx) Position() logpos.Position { return t.position }

// Run runs one read-only statement. It returns ErrRebuilding if the target's log was replaced
// after the transaction began.
func (t *ReadTx) Run(text string, args []any) (*Result, error) {
	t.store.dataMu.RLock()
	defer t.store.dataMu.RUnlock()
	if t.generation != t.store.generation {
		return nil, ErrRebuilding
	}
	if err := t.store.checkReadable(); err != nil {
		return nil, err
	}
	result, err := query(t.conn, text, args)
	if err != nil {
		return nil, AsError(err)
	}
	return result, nil
}

// End ends the transaction and releases its connection.
func (t *ReadTx) End() {
	_, _ = t.conn.ExecContext(context.Background(), "ROLLBACK")
	_ = t.conn.Close()
}
