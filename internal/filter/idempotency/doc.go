// Package idempotency runs a write that has an idempotency key at most once. A group's owner
// uses it on one connection to the group's primary.
//
// Invariant: the record of the key is written in the same database transaction as the effect of
// the write. So either both exist or neither does, through every promotion. A write whose record
// exists is answered from the record. Any uncertainty is reported as CodeOutcomeUnknown, and the
// write is not retried here.
package idempotency
