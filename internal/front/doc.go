// Package front serves callers over protocols in which a session is one connection. It keeps
// the state of each session (its settings, its prepared statements and the status of its
// transaction), turns each statement that needs a target into one request for the filter
// chain, and answers the caller.
//
// Invariant: a session runs one statement at a time, and each statement gets exactly one
// answer, its own. This holds because one goroutine per session reads a statement, serves it
// and sends its answer before it reads the next one. If a statement that was to run at a target
// is refused inside a transaction, or if the target reports the transaction as failed, the
// session accepts nothing but the end of that transaction. ROLLBACK and COMMIT both roll it back
// then, so that no part of it can be committed. A COMMIT or ROLLBACK that the filter chain refuses
// ends the transaction itself.
//
// A statement that was read is answered before its connection is closed, also by a drain: a drain takes no
// statement that it would have to cut, cancels what still runs in time for an answer, and a session that
// has ended waits a moment for its caller to close. Only a caller that keeps a transaction open without a
// statement, or does not read its answer, is cut.
//
// What the sessions of a node keep or have under way is bounded, so that no caller takes the memory of the
// others: settings and prepared statements by a budget with a share for each session, statements that are
// being served by another one, answers until they are sent by a third, and statements that are being read by a number
// of turns. Past a bound a caller is refused. Nothing that a session or the log keeps refers to a whole message.
//
// The package does not depend on a particular protocol: reading and writing messages is left
// to a Codec.
package front

import "github.com/zeebo/errs"

// Error is the class of this package's errors.
var Error = errs.Class("front")

// ErrProtocol is the class of errors about input that violates the callers' protocol.
var ErrProtocol = errs.Class("protocol")

// step names this package in refusals and log lines.
const step = "callers"
