// Package front serves callers whose sessions are plain connections: it keeps what a
// session owns (values, prepared statements, the state of its transaction), turns each
// statement into one request for the filter chain, and answers.
//
// Invariant: a session has one statement under way at a time; each gets exactly one
// answer, its own; a session whose transaction was lost stays failed until its caller
// ends the transaction.
//
// The protocol itself is behind Codec.
package front

import "github.com/zeebo/errs"

// Error is the class of this package's errors.
var Error = errs.Class("front")

// ErrProtocol is the class of what a caller sent against the protocol.
var ErrProtocol = errs.Class("protocol")

const step = "callers"
