package wire

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"crocusyoke/internal/logpos"
	"crocusyoke/internal/standin/targetd/sqltext"
	"crocusyoke/internal/standin/targetd/store"
)

// outcome is the outcome of a statement: its result, or nil if it returns no rows, and its
// command tag.
type outcome struct {
	result *store.Result
	tag    string
}

// execute runs one statement in the session's transaction. Statements that run in SQLite or
// control a transaction occupy a slot.
func (s *session) execute(stmt *sqltext.Statement, args []any) (outcome, error) {
	if s.status == statusFailed && stmt.Kind != sqltext.KindCommit && stmt.Kind != sqltext.KindRollback {
		return outcome{}, errFailedTx
	}
	ctx, done := s.statementContext()
	defer done()
	switch stmt.Kind {
	case sqltext.KindEmpty:
		return outcome{}, nil
	case sqltext.KindSet:
		return outcome{tag: stmt.Verb}, nil
	case sqltext.KindUnsupported:
		return outcome{}, store.Errorf("0A000", "%s is not supported", stmt.Verb)
	case sqltext.KindControl:
		return s.executeControl(ctx, stmt.Call)
	}
	s.server.counters.Statements.Add(1)
	if err := s.server.acquireSlot(ctx); err != nil {
		return outcome{}, err
	}
	defer s.server.releaseSlot()
	return s.executeInSlot(ctx, stmt, args)
}

// executeInSlot runs a statement that holds a slot.
func (s *session) executeInSlot(ctx context.Context, stmt *sqltext.Statement, args []any) (outcome, error) {
	switch stmt.Kind {
	case sqltext.KindBegin, sqltext.KindBeginRead:
		s.begin(stmt.Kind == sqltext.KindBeginRead)
		return outcome{tag: stmt.Tag(0)}, nil
	case sqltext.KindCommit:
		return s.executeCommit(ctx, stmt)
	case sqltext.KindRollback:
		s.rollback()
		return outcome{tag: stmt.Tag(0)}, nil
	}
	result, position, err := s.transaction.run(ctx, stmt, args)
	s.exchangePosition = logpos.Max(s.exchangePosition, position)
	if err != nil {
		return outcome{}, err
	}
	o := outcome{tag: stmt.Tag(result.Affected)}
	if stmt.Kind == sqltext.KindRead || stmt.Returning {
		o.result = result
	}
	return o, nil
}

// executeCommit ends the block. As in PostgreSQL, it rolls a failed one back and returns the
// tag ROLLBACK.
func (s *session) executeCommit(ctx context.Context, stmt *sqltext.Statement) (outcome, error) {
	if s.status == statusFailed {
		s.rollback()
		return outcome{tag: "ROLLBACK"}, nil
	}
	return outcome{tag: stmt.Tag(0)}, s.commitOpen(ctx)
}

// commitOpen commits the open transaction, if there is one.
func (s *session) commitOpen(ctx context.Context) error {
	wrote := s.writeTx != nil
	position, err := s.commit(ctx)
	if err != nil {
		return err
	}
	if wrote {
		s.server.counters.Commits.Add(1)
		s.exchangePosition = logpos.Max(s.exchangePosition, position)
	}
	return nil
}

// executeControl calls a control function, independently of the session's transaction, and
// returns its value as JSON.
func (s *session) executeControl(ctx context.Context, call sqltext.Call) (outcome, error) {
	value, err := s.callControl(ctx, call)
	if err != nil {
		return outcome{}, err
	}
	body, err := json.Marshal(value)
	if err != nil {
		return outcome{}, err
	}
	result := &store.Result{
		Columns: []store.Column{{Name: call.Function, DeclaredType: "TEXT"}},
		Rows:    [][]any{{string(body)}},
	}
	return outcome{result: result, tag: "SELECT 1"}, nil
}

// callControl calls the control function and returns the value to encode as JSON.
func (s *session) callControl(ctx context.Context, call sqltext.Call) (any, error) {
	if call.Function == "group_status" {
		return s.store.Status(), nil
	}
	numbers := make([]uint64, 4)
	for i := 0; i < min(len(call.Args), len(numbers)); i++ {
		numbers[i], _ = strconv.ParseUint(call.Args[i], 10, 64)
	}
	switch {
	case call.Function == "group_pull" && len(call.Args) == 4:
		s.server.counters.Pulls.Add(1)
		after := logpos.Position{Term: numbers[1], Index: numbers[2]}
		return s.store.Pull(ctx, numbers[0], after, time.Duration(numbers[3])*time.Millisecond)
	case len(call.Args) != 2:
	case call.Function == "group_adopt":
		return s.store.Adopt(numbers[0], call.Args[1])
	case call.Function == "group_promote":
		return s.store.Promote(ctx, numbers[0], call.Args[1])
	case call.Function == "group_follow":
		return s.store.Follow(numbers[0], call.Args[1])
	}
	return nil, store.Errorf("42883", "%s does not take %d arguments", call.Function, len(call.Args))
}
