package promotion

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"crocusyoke/internal/peer"
	"crocusyoke/internal/platform"
	"crocusyoke/internal/target"
)

// Bounds of one round of questions.
const (
	askedPerDomain = 2
	askedAtMost    = 6
)

// SuspectRequest asks a node whether it reaches a target.
type SuspectRequest struct {
	Group  string `cbor:"1,keyasint"`
	Target string `cbor:"2,keyasint"`
	// Address is the target's IP:port.
	Address string `cbor:"3,keyasint"`
}

// SuspectReply answers it.
type SuspectReply struct {
	Reachable bool `cbor:"1,keyasint"`
}

// HandleSuspect answers peer.KindSuspect: it asks the target over a new connection.
func (r *Runner) HandleSuspect(ctx context.Context, _ string, payload []byte) (any, error) {
	var request SuspectRequest
	if err := cbor.Unmarshal(payload, &request); err != nil {
		return nil, err
	}
	return SuspectReply{Reachable: r.reach(ctx, request.login())}, nil
}

func (q SuspectRequest) login() target.Login {
	return target.Login{Address: q.Address, Target: q.Target, Database: q.Group}
}

func (r *Runner) reach(ctx context.Context, login target.Login) bool {
	timeout := target.ControlTimeout
	if r.options.Held {
		timeout = target.HeldControlTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	control, err := r.options.Dialer.Control(ctx, login)
	if err != nil {
		return false
	}
	defer control.Close()
	_, err = control.Status(ctx)
	return err == nil
}

// ask asks a bounded number of nodes, other failure domains first.
func (r *Runner) ask(ctx context.Context, g *group, name string) {
	request := SuspectRequest{Group: g.name, Target: name, Address: r.address(g, name)}
	voters, lone := r.voters()
	if len(voters) == 0 {
		r.answer(g, r.options.Self, "elsewhere", name, r.reach(ctx, request.login()))
		return
	}
	for _, vm := range voters {
		r.wait.Go(func() {
			count.Add(countAsked, 1)
			domain := vm.Domain
			if lone {
				domain = "beside " + domain
			}
			r.askOne(ctx, g, vm, domain, request)
		})
	}
}

func (r *Runner) askOne(ctx context.Context, g *group, vm platform.VM, domain string, request SuspectRequest) {
	ctx, cancel := context.WithTimeout(ctx, 2*target.ControlTimeout)
	defer cancel()
	var reply SuspectReply
	if err := r.options.Peers.Call(ctx, vm.Address, peer.KindSuspect, request, &reply); err != nil {
		return
	}
	r.answer(g, vm.Name, domain, request.Target, reply.Reachable)
}

func (r *Runner) answer(g *group, peerName, domain, targetName string, reachable bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.Answer(r.options.Clock.Now(), peerName, domain, targetName, reachable)
}

// voters returns the nodes to ask. lone is true when every node is in this node's
// failure domain: then their word has to do.
func (r *Runner) voters() (voters []platform.VM, lone bool) {
	perDomain := make(map[string]int)
	nodes := r.options.Nodes()
	for _, vm := range nodes {
		if vm.Domain == r.options.Domain || perDomain[vm.Domain] == askedPerDomain || len(voters) == askedAtMost {
			continue
		}
		perDomain[vm.Domain]++
		voters = append(voters, vm)
	}
	if len(voters) > 0 {
		return voters, false
	}
	return nodes[:min(len(nodes), askedAtMost)], true
}
