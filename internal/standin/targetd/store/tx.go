package store

import (
	"context"
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"

	"crocusyoke/internal/logpos"
)

// Tx is a read-write transaction. It holds the store's writer lock while it runs a statement.
// A transaction block yields the lock between two statements if another transaction waits
// for it: SQLite's transaction is rolled back, and the block's writes are replayed before its
// next statement. If a replayed write returns a different result, the block fails with
// ErrSerialization. So an idle block does not delay other transactions, and their commits
// become visible between its statements, as with READ COMMITTED. The store aborts a
// transaction when the target ceases to be the primary.
type Tx struct {
	store *Store
	// block is true for a transaction block, which may be idle between its statements.
	block bool
	// term is the term in which the transaction began.
	term uint64

	// mu guards the fields below and is held while a statement runs.
	mu              sync.Mutex
	writes          []recordedWrite
	holdsWriterLock bool
	ended           bool
	// cause is the reason for which the store aborted the transaction, if it did.
	cause *Error
	// position is that of the last log entry when the transaction last acquired the writer
	// lock.
	position logpos.Position
}

// recordedWrite is a write that the transaction has executed, with a hash of its result for
// the comparison at a replay. The hash is set only in a transaction block.
type recordedWrite struct {
	Statement
	returnsRows bool
	resultHash  uint64
}

// Begin begins a read-write transaction, which is a transaction block if block is true. ctx
// bounds the wait for the writer lock. Begin returns ErrReadOnly if the target is not a
// primary.
func (s *Store) Begin(ctx context.Context, block bool) (*Tx, error) {
	tx := &Tx{store: s, block: block}
	s.commitMu.Lock()
	leading := s.meta.isPrimary()
	tx.term = s.meta.Term
	s.commitMu.Unlock()
	if !leading {
		return nil, ErrReadOnly
	}
	tx.mu.Lock()
	defer tx.mu.Unlock()
	if err := tx.acquireWriter(ctx); err != nil {
		if err == ErrTxFenced {
			return nil, ErrReadOnly
		}
		return nil, err
	}
	return tx, nil
}

// acquireWriter acquires the writer lock and begins SQLite's transaction. The caller holds mu.
func (t *Tx) acquireWriter(ctx context.Context) error {
	if err := t.store.lockWriter(ctx); err != nil {
		return err
	}
	if err := t.beginSQLite(); err != nil {
		t.store.unlockWriter()
		return err
	}
	t.holdsWriterLock = true
	return nil
}

// beginSQLite begins SQLite's transaction if the target is still the primary of the term in
// which the transaction began. The caller holds mu and the writer lock.
func (t *Tx) beginSQLite() error {
	s := t.store
	s.commitMu.Lock()
	defer s.commitMu.Unlock()
	if !s.meta.isPrimary() || s.meta.Term != t.term {
		return ErrTxFenced
	}
	if _, err := s.data.exec("BEGIN IMMEDIATE"); err != nil {
		return AsError(err)
	}
	t.position = s.Position()
	s.openTx = t
	return nil
}

// resume acquires the writer lock if the transaction yielded it, and replays its writes. It
// returns ErrSerialization if a write fails or returns a different result.
func (t *Tx) resume(ctx context.Context) error {
	if t.holdsWriterLock {
		return nil
	}
	if err := t.acquireWriter(ctx); err != nil {
		return err
	}
	for i := range t.writes {
		result, err := t.run(t.writes[i].SQL, t.writes[i].Args, t.writes[i].returnsRows)
		if err != nil || hashResult(result) != t.writes[i].resultHash {
			return ErrSerialization
		}
	}
	return nil
}

// yield releases the writer lock between two statements of a block. It waits for the running
// statement.
func (t *Tx) yield() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.yieldLocked()
}

// yieldLocked is yield for a caller that holds mu.
func (t *Tx) yieldLocked() {
	if t.holdsWriterLock && t.block {
		_, _ = t.store.data.exec("ROLLBACK")
		t.releaseWriter()
	}
}

// releaseWriter releases the writer lock after SQLite's transaction has ended. The caller
// holds mu.
func (t *Tx) releaseWriter() {
	t.holdsWriterLock = false
	t.store.commitMu.Lock()
	t.store.openTx = nil
	t.store.commitMu.Unlock()
	t.store.unlockWriter()
}

// Position returns the position of the last log entry that was visible to the last statement.
func (t *Tx) Position() logpos.Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.position
}

// Run runs one statement. If writes is true, the statement becomes part of the log entry. If
// rows is true, Run returns the rows of its result, else only the number of affected rows.
func (t *Tx) Run(ctx context.Context, text string, args []any, writes, rows bool) (*Result, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.checkOpen(); err != nil {
		return nil, err
	}
	if err := t.resume(ctx); err != nil {
		return nil, err
	}
	result, err := t.run(text, args, rows)
	if err != nil {
		return nil, AsError(err)
	}
	if writes {
		t.recordWrite(Statement{SQL: text, Args: args}, rows, result)
	}
	if t.store.waiters.Load() > 0 {
		t.yieldLocked()
	}
	return result, nil
}

// recordWrite records an executed write for the log entry and for a replay.
func (t *Tx) recordWrite(stmt Statement, rows bool, result *Result) {
	next := recordedWrite{Statement: stmt, returnsRows: rows}
	if t.block {
		next.resultHash = hashResult(result)
	}
	t.writes = append(t.writes, next)
}

// Describe returns the result columns of a statement without running it. It sees the
// transaction's own changes to the schema.
func (t *Tx) Describe(ctx context.Context, text string) ([]Column, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.checkOpen(); err != nil {
		return nil, err
	}
	if err := t.resume(ctx); err != nil {
		return nil, err
	}
	columns, err := describe(t.store.data.writeConn, text)
	if err != nil {
		return nil, AsError(err)
	}
	return columns, nil
}

// checkOpen returns an error if the transaction has ended.
func (t *Tx) checkOpen() error {
	if t.cause != nil {
		return t.cause
	}
	if t.ended {
		return ErrNoTransaction
	}
	return nil
}

func (t *Tx) run(text string, args []any, rows bool) (*Result, error) {
	if rows {
		return query(t.store.data.writeConn, text, args)
	}
	n, err := t.store.data.exec(text, args...)
	return &Result{Affected: n}, err
}

// hashResult returns a hash of the rows and of the number of affected rows.
func hashResult(r *Result) uint64 {
	digest := xxhash.New()
	fmt.Fprintln(digest, r.Affected, r.Rows)
	return digest.Sum64()
}

// Commit commits the transaction's writes and its log entry, unless a higher term was
// adopted. It returns the position of the log entry, or that of the last committed entry if
// the transaction wrote nothing. After an error the transaction has ended without effect.
func (t *Tx) Commit(ctx context.Context) (logpos.Position, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.checkOpen(); err != nil {
		return logpos.Position{}, err
	}
	position, err := t.commit(ctx)
	if err != nil {
		t.discard()
		return logpos.Position{}, err
	}
	t.ended = true
	t.releaseWriter()
	return position, nil
}

func (t *Tx) commit(ctx context.Context) (logpos.Position, error) {
	if err := t.resume(ctx); err != nil {
		return logpos.Position{}, err
	}
	return t.store.commitTx(t)
}

// commitTx checks the term and commits while it holds commitMu, so that no adoption of a
// higher term can come between the two.
func (s *Store) commitTx(t *Tx) (logpos.Position, error) {
	s.commitMu.Lock()
	defer s.commitMu.Unlock()
	if !s.meta.isPrimary() {
		return logpos.Position{}, ErrCommitFenced
	}
	position := s.Position()
	stmts := t.statements()
	if len(stmts) > 0 {
		position = logpos.Position{Term: s.meta.Term, Index: position.Index + 1}
		if err := s.data.appendEntry(position, stmts); err != nil {
			return logpos.Position{}, AsError(err)
		}
	}
	if _, err := s.data.exec("COMMIT"); err != nil {
		return logpos.Position{}, AsError(err)
	}
	if len(stmts) > 0 {
		s.position.Store(&position)
		s.notify()
	}
	return position, nil
}

func (t *Tx) statements() []Statement {
	stmts := make([]Statement, len(t.writes))
	for i := range t.writes {
		stmts[i] = t.writes[i].Statement
	}
	return stmts
}

// Rollback rolls the transaction back. It does nothing if the transaction has ended.
func (t *Tx) Rollback() { t.abort(nil) }

// abort rolls the transaction back after its running statement. Further statements fail with
// cause, if it is not nil.
func (t *Tx) abort(cause *Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return
	}
	t.cause = cause
	t.discard()
}

// discard rolls the transaction back and releases the writer lock, if the transaction holds
// it. The caller holds mu.
func (t *Tx) discard() {
	t.ended = true
	if t.holdsWriterLock {
		_, _ = t.store.data.exec("ROLLBACK")
		t.releaseWriter()
	}
}
