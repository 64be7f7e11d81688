// Package promotion decides, for one database group, when its primary is replaced and
// by which target. It is a deterministic core: observations, command results and the time
// are passed to the methods of Group, which return Actions for the caller to carry out.
//
// Invariant: the primary of a new term has every acknowledged write of the lower terms in its
// log. A term T' > T is established in two steps. First, a majority of the targets adopts T'
// for one orderer, the node process that attempts the promotion; from then on they refuse log
// entries and commits of T. Second, the target with the highest last log position (term of
// the last entry, index) among the adopters is promoted. An acknowledged write is in the logs
// of a majority of the targets. That majority and the adopters share at least one target, and
// the promoted log is at least as high as the log of that target, so it contains the write.
// The argument depends on no clock, lease or platform store: the record of a promotion serves
// only operators and nodes that start.
//
// Some targets keep an adopted term only until they restart, are released by Follow, or any
// target of the group is promoted (Options.HeldTerms). Such an adoption is called a hold, and it
// needs more rules. One node at a time promotes, under a lease whose row names the term of an
// attempt before its Promote command is sent, so a later lease holder reads there which terms
// may have been promoted. After a Promote command with an unknown outcome, holds are kept for
// HeldMaxPromoteDelay, and its term is not used again before every target has answered a later
// poll. Package evidence describes when an answer may be confirmed under these rules.
//
// Without Options.HeldTerms, any number of nodes may attempt a promotion at the same time. A target
// adopts a term for one orderer only, and an attempt that does not gather a majority is
// abandoned. An orderer that was paused between two steps is refused by every target that has
// since adopted a higher term.
package promotion
