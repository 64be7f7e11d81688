// Package soak plays a schedule of faults, drawn from a seed, against the shipped binary: real processes
// on the real clock, as on the users' platform, between the stand-ins of package hosted. Nodes of three
// zones reach targets and the store, and callers reach nodes, through links with a delay. The balancer
// follows the platform's rule. Callers keep their connections until the processes are gone; many sessions
// serve one operation. Customers share the nodes; their sessions set values and prepare statements whose
// names are the same and whose contents differ, many with blanks, words of the protocol or bytes that are no
// text. Targets refuse a share of what nodes set up there, carry out
// some of it and answer with an error, or lose the answer, and close idle connections at any moment. They refuse
// reads of a position that their log lacks. Other callers send lines that the protocol does not have.
//
// What is judged comes from what callers, targets and the supervisor saw:
//   - no request is cut around a planned stop or SIGHUP: a connection must not end without a complete
//     answer to a statement, in a transaction or not, that a target received or that was sent long before
//     (what excuses it is in cut.go);
//   - each stop ends within the grace period, whether or not the process's log is read;
//   - no process ends by itself;
//   - each acknowledged write is in the log of the primary in the end, and no write is there twice;
//   - a withdrawn key is refused, and a dropped route, once the configuration has to be in force, and both are
//     allowed again once they are back; a node does not return to an older configuration;
//   - a statement runs as its caller set it up: for its customer, with the values that were acknowledged, as
//     what the session prepared, in its own transaction or in none;
//   - a target runs only what a caller sent, with its text unchanged;
//   - a refusal that promises that nothing ran is true: the log has nothing of the statement;
//   - a success is what a target answered, with its digest and rows;
//   - a read sees what was acknowledged before it was sent, before its transaction began, or before the age that its
//     route allows, and its session's own writes;
//   - a customer that presses runs no more than its rate and burst allow;
//   - nothing reaches the targets of an evacuated zone once that has to be in force;
//   - a target that has just started gets few requests in any second, counted as they arrive from all nodes;
//   - a request reaches targets only in the home regions of its route and its customer;
//   - a node's memory and descriptors stay within its class;
//   - each node serves every group soon after the last event.
//
// What was recorded of a statement is dropped some time after its answer (sent.go). What grows with a run are
// the logs of targets and the names of acknowledged writes.
package soak
