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
// The argument depends on no clock, lease or platform store. The stored record of a promotion is
// not part of it either: it only informs operators, and nodes that are starting.
//
// The targets are the members of the group, whether or not the platform lists them at the moment
// (package controller/roster), and an attempt ends if one that has adopted its term is a member no
// more. If the primary acknowledges a commit once n replicas have it (SetSyncReplicas), an
// acknowledged write may be in the logs of fewer than a majority; then so many targets adopt the term
// that one of those logs is among them.
//
// With Options.HeldTerms, a target keeps an adopted term only for a while: until it restarts, until
// it is released by Follow, or until any target of the group is promoted. Such a temporary adoption
// is called a hold, and it needs more rules. One node at a time promotes, under a lease that is
// stored as a row of the platform's table. The node writes the term of an attempt into that row
// before it sends the Promote command, so a later lease holder reads there which terms may have
// been promoted. After a Promote command with an unknown outcome, holds are kept for
// HeldMaxPromoteDelay. The term of that command is not used again before every target has answered
// a later poll. Package evidence describes when the answer of a primary may be returned to the
// caller under these rules.
//
// Without Options.HeldTerms, any number of nodes may attempt a promotion at the same time. A target
// adopts a term for one orderer only, and an attempt that does not gather a majority is
// abandoned. An orderer that was paused between two steps is refused by every target that has
// since adopted a higher term.
package promotion
