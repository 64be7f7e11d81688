package wire

import (
	"context"

	"crocusyoke/internal/logpos"
	"crocusyoke/internal/standin/targetd/sqltext"
	"crocusyoke/internal/standin/targetd/store"
)

var (
	errFailedTx = store.Errorf("25P02", "current transaction is aborted, commands ignored until end of transaction block")
	errReadTx   = store.Errorf("25006", "cannot write in a read-only transaction")
)

// transaction is a session's transaction. Outside a transaction block, a write begins an
// implicit transaction that is committed at the end of the exchange, and a read without one
// runs in a snapshot of its own.
type transaction struct {
	store  *store.Store
	status byte
	// readOnly is true in a block that began with READ ONLY.
	readOnly bool
	writeTx  *store.Tx
	readTx   *store.ReadTx
}

// begin begins a transaction block. The first statement takes its snapshot.
func (t *transaction) begin(readOnly bool) {
	if t.status != statusIdle {
		return
	}
	t.status = statusInBlock
	t.readOnly = readOnly
}

// run runs one statement and returns the log position that the result reflects.
func (t *transaction) run(ctx context.Context, stmt *sqltext.Statement, args []any) (*store.Result, logpos.Position, error) {
	writes := stmt.Kind == sqltext.KindWrite
	if err := t.ensureOpen(ctx, writes); err != nil {
		return nil, logpos.Position{}, err
	}
	switch {
	case t.writeTx != nil:
		result, err := t.writeTx.Run(ctx, stmt.SQL, args, writes, !writes || stmt.Returning)
		return result, t.writeTx.Position(), err
	case writes && t.readOnly:
		return nil, logpos.Position{}, errReadTx
	case writes:
		return nil, logpos.Position{}, store.ErrReadOnly
	case t.readTx != nil:
		result, err := t.readTx.Run(stmt.SQL, args)
		return result, t.readTx.Position(), err
	}
	return t.store.Read(stmt.SQL, args)
}

// ensureOpen begins a transaction in the store if the statement needs one and none is open.
// A block on a target that is not a primary is read-only.
func (t *transaction) ensureOpen(ctx context.Context, writes bool) (err error) {
	if t.writeTx != nil || t.readTx != nil {
		return nil
	}
	if t.status == statusIdle && !writes {
		return nil
	}
	if !t.readOnly {
		t.writeTx, err = t.store.Begin(ctx, t.status == statusInBlock)
		if err != store.ErrReadOnly || writes {
			return err
		}
	}
	t.readTx, err = t.store.BeginRead(ctx)
	return err
}

// markFailed rolls back after an error. A transaction block stays open in the failed state.
func (t *transaction) markFailed() {
	t.releaseTx()
	if t.status != statusIdle {
		t.status = statusFailed
	}
}

// commit commits the open transaction and ends the block. The position is zero if no write
// transaction was open.
func (t *transaction) commit(ctx context.Context) (position logpos.Position, err error) {
	if t.writeTx != nil {
		position, err = t.writeTx.Commit(ctx)
	}
	t.rollback()
	return position, err
}

// rollback rolls back the open transaction and ends the block.
func (t *transaction) rollback() {
	t.releaseTx()
	t.status = statusIdle
	t.readOnly = false
}

func (t *transaction) releaseTx() {
	if t.writeTx != nil {
		t.writeTx.Rollback()
		t.writeTx = nil
	}
	if t.readTx != nil {
		t.readTx.End()
		t.readTx = nil
	}
}
