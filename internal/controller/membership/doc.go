// Package membership decides which listed nodes are alive. It combines the platform's list,
// which lags, with this node's own probes and with the reports of its peers.
//
// An incarnation is a number that a node announces together with its state. A node that
// learns of a wrong claim about itself refutes it by raising its incarnation.
//
// Invariants: Only listed nodes are members. A node becomes suspect only after a direct probe
// and indirect probes through other nodes have failed. A node's state changes only by an
// update with a higher incarnation, or by one with the same incarnation and a State of higher
// value, so that an outdated update never wins. Only the node itself raises its incarnation.
// The number of probes and the size of each message are bounded, whatever the number of nodes.
//
// The nodes of a large fleet are divided into cells. A node receives heartbeats of the single
// nodes of its own cell, and only digests of the other cells.
//
// The package performs no I/O: time and messages come in, probes and a View come out.
package membership
