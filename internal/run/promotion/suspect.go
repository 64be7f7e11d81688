package promotion

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"crocusyoke/internal/peer"
	"crocusyoke/internal/platform"
	"crocusyoke/internal/target"
)

// Limits on the number of nodes asked in one round: per failure domain and in total.
const (
	maxAskedPerDomain = 2
	maxAsked          = 6
)

// SuspectRequest asks a node whether it reaches a target that the sender suspects to have
// failed. It is the message that carries out the controller's QueryPeers.
type SuspectRequest struct {
	Group  string `cbor:"1,keyasint"`
	Target string `cbor:"2,keyasint"`
	// Address is the target's IP:port.
	Address string `cbor:"3,keyasint"`
}

// SuspectReply is the response to a SuspectRequest.
type SuspectReply struct {
	Reachable bool `cbor:"1,keyasint"`
}

// HandleSuspect handles peer.KindSuspect: it polls the target's status over a new
// connection.
func (r *Runner) HandleSuspect(ctx context.Context, _ string, payload []byte) (any, error) {
	var request SuspectRequest
	if err := cbor.Unmarshal(payload, &request); err != nil {
		return nil, err
	}
	return SuspectReply{Reachable: r.canReach(ctx, request.login())}, nil
}

func (q SuspectRequest) login() target.Login {
	return target.Login{Address: q.Address, Target: q.Target, Database: q.Group}
}

func (r *Runner) canReach(ctx context.Context, login target.Login) bool {
	timeout := target.ControlTimeout
	if r.options.HeldTerms {
		timeout = target.HeldControlTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	control, err := r.options.Dialer.Control(ctx, login)
	if err != nil {
		return target.ErrDeclined.Has(err)
	}
	defer control.Close()
	_, err = control.Status(ctx)
	return err == nil || target.ErrDeclined.Has(err)
}

// askPeers carries out QueryPeers: it asks a bounded number of nodes whether they reach the
// target. It asks nodes in other failure domains if there are any. The controller requires
// an answer from another failure domain. If all nodes are in this node's failure domain,
// their answers are therefore labeled with a made-up domain name, so that they count. If
// there are no other nodes, this node checks the target itself and labels its own answer
// in the same way.
func (r *Runner) askPeers(ctx context.Context, g *group, name string) {
	request := SuspectRequest{Group: g.name, Target: name, Address: r.address(g, name)}
	asked, singleDomain := r.peersToAsk()
	if len(asked) == 0 {
		r.handleAnswer(g, r.options.Self, "elsewhere", name, r.canReach(ctx, request.login()))
		return
	}
	for _, vm := range asked {
		r.wait.Go(func() {
			counters.Add(counterPeersAsked, 1)
			domain := vm.Domain
			if singleDomain {
				domain = "beside " + domain
			}
			r.askPeer(ctx, g, vm, domain, request)
		})
	}
}

func (r *Runner) askPeer(ctx context.Context, g *group, vm platform.VM, domain string, request SuspectRequest) {
	ctx, cancel := context.WithTimeout(ctx, 2*target.ControlTimeout)
	defer cancel()
	var reply SuspectReply
	if err := r.options.Peers.Call(ctx, vm.Address, peer.KindSuspect, request, &reply); err != nil {
		return
	}
	r.handleAnswer(g, vm.Name, domain, request.Target, reply.Reachable)
}

func (r *Runner) handleAnswer(g *group, peerName, domain, targetName string, reachable bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.ObservePeerAnswer(r.options.Clock.Now(), peerName, domain, targetName, reachable)
}

// peersToAsk returns the nodes to ask. singleDomain is true if every node is in this node's
// failure domain; nodes of that domain are returned then, because there are no others.
func (r *Runner) peersToAsk() (asked []platform.VM, singleDomain bool) {
	perDomain := make(map[string]int)
	nodes := r.options.Nodes()
	for _, vm := range nodes {
		if vm.Domain == r.options.Domain || perDomain[vm.Domain] == maxAskedPerDomain || len(asked) == maxAsked {
			continue
		}
		perDomain[vm.Domain]++
		asked = append(asked, vm)
	}
	if len(asked) > 0 {
		return asked, false
	}
	return nodes[:min(len(nodes), maxAsked)], true
}
