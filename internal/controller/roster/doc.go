// Package roster decides which targets are the members of their groups. The list of targets that the
// platform keeps is its main input, but not the only one: a target's entry is also missing while the
// target can't reach the platform's store, and another writer may replace it by one that names no
// target. A majority that is counted among the targets listed at the moment would then be too small.
//
// Invariants:
//   - A target that was listed stays a member until it is known to be gone: its entry is missing, it is
//     not written again within ListedRetention, and in addition it was leaving, does not answer the
//     polls of this node, or has been missing for UnlistedRetention without an answer. In a group with
//     synchronous replication silence alone is no proof, since the target may be the only one that
//     has a commit that was acknowledged.
//   - A target without an entry is listed for ListedRetention, and unlisted after that: it counts
//     towards majorities and may be promoted, but gets no requests.
//   - An entry that names no target to use changes nothing about the target that it is written
//     under; the target is treated as one without an entry.
//
// The package uses no goroutines, locks or clocks.
package roster
