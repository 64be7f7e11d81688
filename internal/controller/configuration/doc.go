// Package configuration decides which version of the live configuration a node has in force,
// and whether the node may still rely on it. The package performs no I/O: rows, bodies,
// peers' reports and the time come in, fetches to perform come out.
//
// # Acceptance
//
// An operator writes the configuration with a compare-and-set of one row. A version is
// accepted from the moment at which a majority of the listed nodes have it, or a later one,
// in force at the same time. Until then, the command line reports the version as pending.
//
// # Monotonic versions
//
// A node puts a body in force only if its hash is the one in the row, the whole body
// validates, and its version is above the one in force. A body that fails is counted. A body
// with a wrong hash is fetched again from another source.
//
// # Freshness
//
// A node is fresh at time t if it has every version that was accepted before t -
// FreshnessBound. Either of two kinds of evidence shows this.
//
// Row evidence: a read of the row was sent at time s >= t - FreshnessBound, and the version v
// that it returned is not above the node's version. Any version above v was written after s,
// hence accepted after s. Peers may relay such evidence together with its age. The receiver
// subtracts the age from the time at which it sent its probe. It sent the probe before the
// peer read its own clock, so the evidence can only appear older than it is, and clocks of
// different nodes are never compared.
//
// Peer evidence: each node of a majority of the listed nodes was asked at or after t -
// FreshnessBound, and answered that its version in force is not above the node's version.
// Suppose that a version w above the node's was accepted at a < t - FreshnessBound. The
// majority that had w in force at a and the majority that answered have a node in common.
// That node had w at a, its version never decreases, and it answered later than a that it has
// an older version: a contradiction. A peer that reports a newer version does not by itself
// make the node stale: either that version is not accepted yet, or no majority with older
// versions can be found.
//
// Answers are relayed too, so that a node in a fleet of any size can count a majority without
// asking every node itself. Once the newest read of the row is older than RelayVotesAfter, a
// node adds votes to its reports: for each listed node, the age of the newest known answer of
// that node, in four bits, rounded up. The receiver dates votes in the same way as row
// evidence. It ignores votes from a node whose list has other names than its own, and votes
// for a version above its own.
//
// A node stores nothing across a restart, and a node that has forgotten w would invalidate
// the argument. Therefore a node's answers count, for others and for itself, only while the
// node vouches. A node vouches once evidence shows that it has every version that was accepted
// before its start. This evidence is either row evidence dated at or after its start, or
// answers that were asked for at or after its start from other nodes that vouch and that make
// up a majority of the listed nodes. That majority has a node in common with every majority
// that accepted a version before. If a majority of the listed nodes restarts during an outage
// of the store, none of them vouches until the store is back: the other nodes cannot know
// which versions only these nodes had.
//
// The argument assumes that the operator's command and this node see lists of nodes that
// differ so little that the two majorities still overlap. During an outage nobody can write,
// so the list that matters is the one from before the outage. The age of evidence is the
// greater of its ages by the monotonic clock and by the wall clock: the monotonic clock may
// stop while a VM is suspended, and old evidence must not appear new afterwards.
//
// # A restored store
//
// The store may come back from a copy and lose what was written since. Versions of rows then go back and
// are given out again, and the store's era grows. The record of the row states the version of the configuration,
// which never goes back, and the era in which it was written. A row whose record is of another era than the answer
// is no row evidence: later versions may have been accepted and lost. Nodes stay fresh by peer evidence, as in an
// outage.
//
// A node writes its version back once peer evidence, dated at or after WriteBackDelay since its first read of the
// restored row, shows that no version above its own was accepted. The version written back, and those after it, are
// above all of earlier eras, also above those that were lost without being accepted. A version of an earlier
// era that is accepted only after that evidence is replaced.
//
// # Reads of the store
//
// Every node polls the row. The interval grows with the number of listed nodes, so that all
// nodes together send at most MaxReadsPerSecond reads. Between polls, versions and evidence
// arrive with the probes. A body is first fetched from where the node learned of its version:
// from the store if the node read the row itself, otherwise from peers. A body that has the
// right hash but does not validate is not fetched again. The node keeps the version that it
// has and, by the argument above, stays fresh until other nodes accept the new version.
package configuration
