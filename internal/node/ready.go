package node

import (
	"context"
	"net"
	"time"
)

// readyEvery is the pause between two looks whether the node is ready.
const readyEvery = 50 * time.Millisecond

// serveCallers opens the callers' port once the node is ready, so that the platform's
// balancer sends it nobody whom it would have to refuse.
func (n *Node) serveCallers(ctx context.Context) error {
	for !n.ready() && !n.hosted() {
		if n.clock.Sleep(ctx, readyEvery) != nil {
			return nil
		}
	}
	listener, err := net.Listen("tcp", n.settings.Callers.Address)
	if err != nil {
		return Error.Wrap(err)
	}
	_ = n.logger.Log("msg", "ready", "callers", n.settings.Callers.Address)
	return n.front.Serve(ctx, n.delayed(listener))
}

// hosted reports whether the platform asks for readiness itself: the callers' port is then
// open from the start.
func (n *Node) hosted() bool { return n.leases != nil }

// ready reports whether the node can serve callers: it has a fresh configuration, and the
// platform lists it, and it knows every customer and every group's owner.
func (n *Node) ready() bool {
	if n.draining() || n.config.Version() == 0 || !n.config.Fresh() {
		return false
	}
	return n.membership.View().SelfListed && n.quota.HasAllCustomers() && n.owners.complete()
}
