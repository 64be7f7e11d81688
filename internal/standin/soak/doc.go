// Package soak plays a schedule of faults, drawn from a seed, against the shipped binary: real processes
// on the real clock, as on the users' platform, between the stand-ins of package hosted. Callers keep
// their connections until the processes are gone.
//
// What is judged comes from what callers, targets and the supervisor saw:
//   - no request is cut around a planned stop: a connection must not end without an answer to a
//     single statement, or the first of a transaction, that a target ran or that was sent long before;
//   - each stop ends within the grace period, whether or not the process's log is read;
//   - no process ends by itself;
//   - each acknowledged write is in the log of the primary in the end, and no write is there twice;
//   - a withdrawn key is refused once the configuration has to be in force.
package soak
