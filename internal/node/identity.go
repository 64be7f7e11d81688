package node

import (
	"context"
	"net"

	"crocusyoke/internal/peer/quicpeer"
	"crocusyoke/internal/requestlog"
)

// Hosted nodes have no certificates from an authority. Each process makes a key when it
// starts and writes the fingerprint of its certificate into the node's own row. Peers
// accept listed fingerprints. A process that started after the row was read, or while the
// store is away, is asked at the node's listed address to prove that it has the key. An
// operator's tool on a listed VM may ask for the status only.

// selfCurrent reports whether this node's row says what is true of this process.
func (n *Node) selfCurrent() bool { return n.membership.View().SelfCurrent }

// allows reports whether p may connect under its name.
func (n *Node) allows(ctx context.Context, p quicpeer.Peer) bool {
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
	proved := n.peers.Proves(ctx, m.Address, p.Fingerprint)
	n.logProof(p, m.Address, proved)
	return proved
}

// The outcomes of a proof in the log.
const (
	outcomeProved   = "peer_proved"
	outcomeUnproved = "peer_refused"
)

// logProof notes, within the log's bounds, what became of a certificate that is not listed.
func (n *Node) logProof(p quicpeer.Peer, address string, proved bool) {
	outcome := outcomeUnproved
	if proved {
		outcome = outcomeProved
	}
	if n.requests.Allow(outcome, n.clock.Now()) {
		n.requests.Write(requestlog.Entry{Outcome: outcome, Fields: []any{"peer", p.Name, "address", address, "from", p.IP}})
	}
}

// acceptsAt reports whether the node called name may answer at address: it is listed
// there, or no node is. A node that is gone may be listed beside it for a while.
func (n *Node) acceptsAt(address, name string) bool {
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
