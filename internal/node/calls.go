package node

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	controller "crocusyoke/internal/controller/configuration"
	"crocusyoke/internal/controller/membership"
	"crocusyoke/internal/peer"
	"crocusyoke/internal/peer/quicpeer"
	"crocusyoke/internal/platform"
	"crocusyoke/internal/run/configuration"
	"crocusyoke/internal/target"
)

const (
	// cancelTimeout limits how long a cancel request is forwarded to other nodes.
	cancelTimeout = time.Second
	// maxCancelNodes limits the number of nodes that a cancel request is forwarded to.
	maxCancelNodes = 32
)

// newPeerClient returns the client of the other nodes, which sends from packets.
func (n *Node) newPeerClient(config *tls.Config, packets net.PacketConn) *quicpeer.Client {
	client := quicpeer.NewClient(config, packets, n.clock, n.delayTo)
	client.Logger = n.logger
	return client
}

// newPeerServer returns the server of the other nodes' requests and calls.
func (n *Node) newPeerServer(config *tls.Config) *quicpeer.Server {
	server := quicpeer.NewServer(n.settings.Node.Name, config, n.clock, n.owner)
	server.Logger = n.logger
	return server
}

// registerHandlers registers the handler of each kind of control message that peers and
// operators send.
func (n *Node) registerHandlers() {
	n.server.Handle(peer.KindProbe, false, n.membership.HandleProbe)
	n.server.Handle(peer.KindConfig, false, n.exchange.fetch)
	if n.exchange.news != nil {
		n.server.Handle(peer.KindNews, false, n.exchange.news)
	}
	n.server.Handle(peer.KindQuotaReport, false, n.quota.HandleShare)
	n.server.Handle(peer.KindSuspect, false, n.promotion.HandleSuspect)
	n.server.Handle(peer.KindUnfit, false, n.handleUnfit)
	if n.cancel != nil {
		n.server.Handle(peer.KindCancel, false, n.handleCancel)
	}
	n.server.Handle(peer.KindStatus, true, n.handleStatus)
}

// newReportExchange returns an exchange that reports to peers which configuration is in force on
// this node, so that they can tell when a majority has accepted it. From the reports of a
// majority, a node can determine that its own configuration is fresh even while the store is
// unavailable.
func newReportExchange(config *configuration.Runner) configExchange {
	return configExchange{
		attach: func() []byte {
			body, err := cbor.Marshal(config.Report())
			if err != nil {
				return nil
			}
			return body
		},
		receive: func(name string, attached []byte, sentAt time.Time) {
			var report controller.Report
			if cbor.Unmarshal(attached, &report) == nil {
				config.HandleReport(name, report, sentAt)
			}
		},
		fetch: config.HandleFetch,
	}
}

// listedNodes returns the nodes of the platform's list as last read.
func (n *Node) listedNodes() []platform.VM {
	view := n.membership.View()
	var vms []platform.VM
	for _, name := range view.Listed() {
		m, _ := view.Member(name)
		vms = append(vms, toVM(m))
	}
	return vms
}

// otherNodes returns all nodes but this one that are not known to be gone.
func (n *Node) otherNodes() []platform.VM {
	var vms []platform.VM
	for _, m := range n.membership.View().Members {
		if m.Name != n.settings.Node.Name && m.State != membership.Gone {
			vms = append(vms, toVM(m))
		}
	}
	return vms
}

func toVM(m membership.Member) platform.VM {
	state := platform.VMLive
	if m.State == membership.Leaving {
		state = platform.VMLeaving
	}
	return platform.VM{Name: m.Name, Address: m.Address, Domain: m.Domain, State: state}
}

// cancelRequest is the payload of peer.KindCancel: a caller's cancel request, identified by the
// process ID and secret key that its session was given.
type cancelRequest struct {
	PID    uint32 `cbor:"1,keyasint"`
	Secret uint32 `cbor:"2,keyasint"`
}

// cancelReply reports whether the node holds the session.
type cancelReply struct {
	Found bool `cbor:"1,keyasint"`
}

func (n *Node) handleCancel(_ context.Context, _ string, payload []byte) (any, error) {
	var request cancelRequest
	if err := cbor.Unmarshal(payload, &request); err != nil {
		return nil, err
	}
	return cancelReply{Found: n.cancel(request.PID, request.Secret)}, nil
}

// forwardCancel forwards a cancel request to the other nodes, one after another, until one of
// them holds the session.
func (n *Node) forwardCancel(pid, secret uint32) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	nodes := n.otherNodes()
	for _, vm := range nodes[:min(len(nodes), maxCancelNodes)] {
		var reply cancelReply
		err := n.peers.Call(ctx, vm.Address, peer.KindCancel, cancelRequest{PID: pid, Secret: secret}, &reply)
		if err == nil && reply.Found {
			return
		}
	}
}

// observePoll is owner.Options.Observe.
func (n *Node) observePoll(group string, sentAt time.Time, status target.Status) {
	n.promotion.Observe(group, sentAt, status)
	if n.polls != nil {
		n.polls.ObservePoll(status.Target, sentAt, true)
	}
}

// expectHold is promotion.Options.Holding. The order's answer may be lost, so earlier polls stop to count before it is
// sent.
func (n *Node) expectHold(group, targetName string) { n.owner.ExpectHold(group, targetName) }

// observeHeld is promotion.Options.Held. A target that holds a higher term receives nothing of the primary, so no
// earlier poll of it may confirm a write.
func (n *Node) observeHeld(group string, at time.Time, status target.Status) {
	n.owner.ObserveHeld(group, at, status)
}

// observeFailedPoll is owner.Options.Unreachable.
func (n *Node) observeFailedPoll(group, targetName string, sentAt time.Time) {
	n.promotion.ObserveFailedPoll(group, targetName, sentAt)
	if n.polls != nil {
		n.polls.ObservePoll(targetName, sentAt, false)
	}
}

// observeDeclinedPoll is owner.Options.Declined.
func (n *Node) observeDeclinedPoll(group, targetName string, sentAt time.Time) {
	n.promotion.ObserveDeclinedPoll(group, targetName, sentAt)
	if n.polls != nil {
		n.polls.ObservePoll(targetName, sentAt, true)
	}
}
