// Package wire serves the PostgreSQL protocol for a stand-in target, with one session for
// each connection. It encodes messages with package pgproto3 and runs statements in package
// store.
//
// An exchange consists of a client's messages up to a ReadyForQuery. Its effect is committed
// before the completion of its last statement is sent, unless a transaction block stays open.
// The log position that it reflects is reported before ReadyForQuery.
package wire
