package node

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	controller "crocusyoke/internal/controller/configuration"
	"crocusyoke/internal/controller/membership"
	"crocusyoke/internal/peer"
	"crocusyoke/internal/platform"
	"crocusyoke/internal/run/configuration"
)

const (
	// cancelTimeout bounds the passing on of a cancel request.
	cancelTimeout = time.Second
	// cancelNodes bounds the number of nodes that a cancel request is passed on to.
	cancelNodes = 32
)

// handleCalls ties the kinds of control message to the parts that answer them.
func (n *Node) handleCalls() {
	n.server.Handle(peer.KindProbe, false, n.membership.HandleProbe)
	n.server.Handle(peer.KindConfig, false, n.exchange.fetch)
	n.server.Handle(peer.KindShare, false, n.quota.HandleShare)
	n.server.Handle(peer.KindSuspect, false, n.promotion.HandleSuspect)
	n.server.Handle(peer.KindUnfit, false, n.handleUnfit)
	if n.cancel != nil {
		n.server.Handle(peer.KindCancel, false, n.handleCancel)
	}
	n.server.Handle(peer.KindStatus, true, n.handleStatus)
}

// reportExchange tells peers which configuration is in force here, for its acceptance by
// a majority.
func reportExchange(config *configuration.Runner) exchange {
	return exchange{
		attach: func() []byte {
			body, err := cbor.Marshal(config.Report())
			if err != nil {
				return nil
			}
			return body
		},
		heard: func(name string, attached []byte, sentAt time.Time) {
			var report controller.Report
			if cbor.Unmarshal(attached, &report) == nil {
				config.HandleReport(name, report, sentAt)
			}
		},
		fetch: config.HandleFetch,
	}
}

// listedNodes returns the platform's list as last read.
func (n *Node) listedNodes() []platform.VM {
	view := n.membership.View()
	var vms []platform.VM
	for _, name := range view.Listed() {
		m, _ := view.Member(name)
		vms = append(vms, toVM(m))
	}
	return vms
}

// otherNodes returns the other nodes that are not known to be dead.
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

// cancelRequest passes on a caller's cancel request.
type cancelRequest struct {
	PID    uint32 `cbor:"1,keyasint"`
	Secret uint32 `cbor:"2,keyasint"`
}

// cancelReply says whether the node has that session.
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

// forwardCancel asks the other nodes whose session a cancel request means.
func (n *Node) forwardCancel(pid, secret uint32) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	nodes := n.otherNodes()
	for _, vm := range nodes[:min(len(nodes), cancelNodes)] {
		var reply cancelReply
		err := n.peers.Call(ctx, vm.Address, peer.KindCancel, cancelRequest{PID: pid, Secret: secret}, &reply)
		if err == nil && reply.Found {
			return
		}
	}
}
