// Package soak plays a schedule of faults, drawn from a seed, against the shipped binary: real processes
// on the real clock, as on the users' platform, between the stand-ins of package hosted. Nodes of three
// zones reach targets and the store, and callers reach nodes, through links with a delay. The balancer
// follows the platform's rule. Callers keep their connections until the processes are gone; many sessions
// serve one operation.
//
// What is judged comes from what callers, targets and the supervisor saw:
//   - no request is cut around a planned stop or SIGHUP: a connection must not end without a complete
//     answer to a statement, in a transaction or not, that a target received or that was sent long before
//     (what excuses it is in cut.go);
//   - each stop ends within the grace period, whether or not the process's log is read;
//   - no process ends by itself;
//   - each acknowledged write is in the log of the primary in the end, and no write is there twice;
//   - a withdrawn key is refused once the configuration has to be in force.
package soak
