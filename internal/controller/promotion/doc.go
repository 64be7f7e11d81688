// Package promotion decides, for one database group, when its primary is replaced and
// by which target. It is a deterministic core: observations, answers and the time come
// in through the methods of Group, and Actions for the caller to carry out come out.
//
// Invariant. A term T' > T is ordered in two steps. First a majority of the targets
// adopts T', for this orderer only; from then on they refuse entries and commits of T.
// Then, of the targets that adopted, the one with the highest last log position
// (term of the last entry, index) is promoted. An acknowledged write is held by a
// majority, the two majorities share a target, and the promoted log is at least as high
// as that target's, so it holds the write. No clock and no lease takes part in the
// argument, and neither does the platform's store: the record of a promotion is for
// people and for nodes that start.
//
// Targets that keep a hold only until they restart, are let go, or any target is promoted
// (Options.Held) need more. One node at a time orders, under a lease whose row names the term
// of an order before its promotion is called; a later holder reads there what may have been
// called. A call whose outcome is not known keeps its holds for HeldEffectMost, and its term
// is not used again. Package evidence says what makes an answer true then.
//
// Any number of nodes may order at the same time: a target adopts a term for one orderer
// only, and an order that fails to gather a majority is dropped. An orderer that was
// paused between two steps is refused by every target that has adopted a higher term.
package promotion
