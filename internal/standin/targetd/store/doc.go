// Package store keeps a stand-in target's data, replicated log and term in one directory. A
// SQLite file holds the data and the log, and a small JSON file holds the term.
//
// The package keeps three invariants:
//
//   - A write transaction and its log entry are committed in one SQLite transaction.
//   - Every commit, of a client's transaction or of replicated entries, checks the term and
//     commits under one lock. A term changes under the same lock and is written to the file
//     before the change is acknowledged. So nothing of a lower term is committed after the
//     adoption of a higher term has been acknowledged.
//   - A log is replaced as a whole or not at all. So a target keeps every entry that it held
//     until it has the complete log of the new primary.
package store
