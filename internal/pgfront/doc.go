// Package pgfront serves callers, the proxy's clients, over the PostgreSQL protocol. It
// turns each exchange (a simple query, or an extended query batch up to its Sync or Flush)
// into one request for the filter chain. An exchange that opens a transaction and then runs more
// statements in it becomes two requests, and some exchanges are answered without a target.
//
// Invariants:
//   - An answer is written only to the connection that sent the request, only if it carries
//     the ID of the request being served, and only as a whole.
//   - A caller's key is read, checked and discarded during startup. It appears in no request,
//     log line or counter.
//   - Input from one caller, valid or not, does not affect other callers.
package pgfront
