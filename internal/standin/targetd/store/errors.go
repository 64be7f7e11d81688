package store

import (
	"errors"
	"fmt"
	"strings"

	"modernc.org/sqlite"
	sqlite3 "modernc.org/sqlite/lib"
)

// Error is an error in the form in which PostgreSQL reports it.
type Error struct {
	SQLState string
	Message  string
}

// Error implements the error interface.
func (e *Error) Error() string { return e.Message + " (SQLSTATE " + e.SQLState + ")" }

// Errorf returns an Error with the given SQLSTATE and formatted message.
func Errorf(state, format string, args ...any) *Error {
	return &Error{SQLState: state, Message: fmt.Sprintf(format, args...)}
}

// Errors caused by the target's role or term, or by concurrent transactions. Those whose
// message ends in "nothing was executed" guarantee that the transaction has no effect.
var (
	ErrReadOnly      = &Error{"25006", "cannot write: this target is not a primary"}
	ErrCommitFenced  = &Error{"57P01", "commit refused: a higher term was adopted; nothing was executed"}
	ErrTxFenced      = &Error{"40001", "transaction refused: a higher term was adopted; nothing was executed"}
	ErrRebuilding    = &Error{"57P03", "this target's log has not yet been matched to its primary's"}
	ErrTermConflict  = &Error{"55000", "this target has adopted a different term or orderer"}
	ErrNotPrimary    = &Error{"55000", "this target is not the primary of that term"}
	ErrCancelled     = &Error{"57014", "statement was cancelled before it was executed"}
	ErrLockTimeout   = &Error{"55P03", "timed out waiting for another transaction"}
	ErrSerialization = &Error{"40001", "could not serialize access due to a concurrent transaction; nothing was executed"}
	ErrNoTransaction = &Error{"25P01", "no transaction is open"}
)

// codeStates maps SQLite's extended result codes to SQLSTATEs.
var codeStates = map[int]string{
	sqlite3.SQLITE_CONSTRAINT_UNIQUE:     "23505",
	sqlite3.SQLITE_CONSTRAINT_PRIMARYKEY: "23505",
	sqlite3.SQLITE_CONSTRAINT_ROWID:      "23505",
	sqlite3.SQLITE_CONSTRAINT_NOTNULL:    "23502",
	sqlite3.SQLITE_CONSTRAINT_FOREIGNKEY: "23503",
	sqlite3.SQLITE_CONSTRAINT_CHECK:      "23514",
	sqlite3.SQLITE_READONLY:              "25006",
	sqlite3.SQLITE_BUSY:                  "55P03",
	sqlite3.SQLITE_BUSY_SNAPSHOT:         "40001",
	sqlite3.SQLITE_MISMATCH:              "22P02",
	sqlite3.SQLITE_RANGE:                 "08P01",
}

// messageStates maps parts of the messages that SQLite returns under its generic error code
// to SQLSTATEs.
var messageStates = []struct{ part, state string }{
	{"no such table", "42P01"},
	{"no such column", "42703"},
	{"already exists", "42P07"},
	{"syntax error", "42601"},
	{"incomplete input", "42601"},
	{"unrecognized token", "42601"},
	{"no such function", "42883"},
}

// AsError returns the Error that err wraps, or else an Error with err's message and the
// SQLSTATE that PostgreSQL would report, which is XX000 if it is unknown.
func AsError(err error) *Error {
	var known *Error
	if errors.As(err, &known) {
		return known
	}
	state := "XX000"
	var raw *sqlite.Error
	if errors.As(err, &raw) {
		if mapped, ok := codeStates[raw.Code()]; ok {
			state = mapped
		}
	}
	for _, m := range messageStates {
		if state == "XX000" && strings.Contains(err.Error(), m.part) {
			state = m.state
		}
	}
	return &Error{SQLState: state, Message: err.Error()}
}
