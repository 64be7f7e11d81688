package node

import (
	"context"
	"net"
	"time"
)

// readyPollInterval is the interval between checks whether the node is ready.
const readyPollInterval = 50 * time.Millisecond

// serveCallers serves callers. Unless the node is hosted, it opens the callers' port only once
// the node is ready, so that the platform's load balancer sends no callers that the node would
// have to refuse.
func (n *Node) serveCallers(ctx context.Context) error {
	for !n.isReady() && !n.isHosted() {
		if n.clock.Sleep(ctx, readyPollInterval) != nil {
			return nil
		}
	}
	listener, err := net.Listen("tcp", n.settings.Callers.Address)
	if err != nil {
		return Error.Wrap(err)
	}
	_ = n.logger.Log("msg", "ready", "callers", n.settings.Callers.Address)
	return n.front.Serve(ctx, n.withCallerDelay(listener))
}

// isHosted reports whether this is a hosted node. The platform queries the readiness of such a
// node, so its callers' port is open from the start.
func (n *Node) isHosted() bool { return n.leases != nil }

// isReady reports whether the node can serve callers: it is not draining, has a fresh
// configuration, is listed by the platform, and knows every customer and the owner of every
// group.
func (n *Node) isReady() bool {
	if n.isDraining() || n.config.Version() == 0 || !n.config.Fresh() {
		return false
	}
	return n.membership.View().SelfListed && n.quota.HasAllCustomers() && n.owners.isComplete()
}
