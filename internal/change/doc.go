// Package change writes operators' changes of the live configuration to the platform and
// waits for their acceptance.
//
// A change consists of three writes. The first two store the body of the configuration and
// the audit entry as objects that are named by their hash. The third is a compare-and-set of
// the row from the version that the change is based on. Only the compare-and-set makes the
// change take effect: if it fails, nothing refers to the two objects.
//
// If the answer to the compare-and-set is lost, it is unknown whether the row was written.
// The writer then reads the row, whose audit chain contains the change that produced the next
// version. If there is no next version, the writer sends the same compare-and-set again. This
// is safe because a compare-and-set from a given version takes effect at most once.
//
// A store that was restored from a copy may have lost the newest version. Changes then wait until a node has
// written it back, which shows in the row (configuration.Record.IsRestored). A write during which the store is
// restored is of unknown outcome.
//
// A written version is accepted once a majority of the listed nodes have it, or a newer one,
// in force at the same time. The writer checks this with two rounds of polls. A node that has
// the version in both rounds and did not restart in between had it all the time from its
// first answer to its second. Every first answer precedes every second one, so all these
// nodes had the version at the moment between the rounds.
package change
