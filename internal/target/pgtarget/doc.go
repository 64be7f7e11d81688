// Package pgtarget implements package target for the PostgreSQL protocol. pgconn logs in.
// After that, one Write sends all messages of an exchange, and the backend messages of the
// answer are copied unchanged. They are delimited by their 5-byte headers, and rows are
// never decoded.
//
// Invariant: the answer that an exchange returns is never that of another exchange. For this
// reason a connection is never used again after an exchange on it has failed, or after bytes
// have arrived on it while no exchange was in progress.
package pgtarget
