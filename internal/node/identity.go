package node

import (
	"context"
	"net"

	"crocusyoke/internal/peer/quicpeer"
	"crocusyoke/internal/requestlog"
)

// Hosted nodes have no certificates from an authority. Each process generates a key when it
// starts and writes the fingerprint of its certificate to the node's own row. A node accepts
// connections from peers whose fingerprints are listed in the rows. The listed fingerprint is out
// of date if the peer's process started after the row was read or while the store was
// unavailable. In that case the accepting node connects back to the peer's listed address, where
// the process must prove that it has the key. An operator's tool is accepted from the address of
// a listed VM and may only query the status.

// isOwnRowCurrent reports whether this node's row describes this process: its address, failure
// domain and fingerprint.
func (n *Node) isOwnRowCurrent() bool { return n.membership.View().SelfCurrent }

// isPeerAllowed reports whether p may connect under the name that it claims.
func (n *Node) isPeerAllowed(ctx context.Context, p quicpeer.Peer) bool {
	m, ok := n.membership.View().Member(p.Name)
	if !ok {
		return false
	}
	if p.Role == quicpeer.RoleOperator {
		host, _, err := net.SplitHostPort(m.Address)
		return err == nil && host == p.IP
	}
	if m.Fingerprint == p.Fingerprint {
		return true
	}
	proved := n.peers.HoldsKey(ctx, m.Address, p.Fingerprint)
	n.logProof(p, m.Address, proved)
	return proved
}

// Outcomes of a peer's proof of its key, as written to the request log.
const (
	outcomeProved   = "peer_proved"
	outcomeUnproved = "peer_refused"
)

// logProof logs, within the rate limit of the request log, whether a peer with an unlisted
// certificate proved its key.
func (n *Node) logProof(p quicpeer.Peer, address string, proved bool) {
	outcome := outcomeUnproved
	if proved {
		outcome = outcomeProved
	}
	if n.requests.Allow(outcome, n.clock.Now()) {
		n.requests.Write(requestlog.Entry{Outcome: outcome, Fields: []any{"peer", p.Name, "address", address, "from", p.IP}})
	}
}

// canAnswerAt reports whether the node called name may answer at address: either it is listed
// there, or no node is. All entries for the address are checked, because a node that is gone
// may stay listed there for a while beside its successor.
func (n *Node) canAnswerAt(address, name string) bool {
	listed := false
	for _, m := range n.membership.View().Members {
		if m.Address != address {
			continue
		}
		if m.Name == name {
			return true
		}
		listed = true
	}
	return !listed
}
