// Package membership decides which listed nodes are alive. It combines the platform's list,
// which lags, with this node's own probes and with the reports of its peers.
//
// Invariants: Only listed nodes are members. A node becomes suspect only after a direct probe
// and indirect probes through other nodes have failed. A node's state changes only by an
// update with a higher incarnation, or with a worse state of the same incarnation, so that an
// outdated update never wins. Only the node itself raises its incarnation. The number of
// probes and the size of each message are bounded, whatever the number of nodes.
//
// The package performs no I/O: time and messages come in, probes and a View come out.
package membership
