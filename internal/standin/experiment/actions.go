package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os/exec"
	"sync"
	"time"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/platform"
	"crocusyoke/internal/standin/check"
	"crocusyoke/internal/standin/deploy"
	"crocusyoke/internal/standin/platformd"
	"crocusyoke/internal/standin/targetd/admin"
	"crocusyoke/internal/target"
)

// stopTimeout limits a graceful stop of a node.
const stopTimeout = 40 * time.Second

// replaceInterval is the time between two nodes of a rolling replacement.
const replaceInterval = 3 * time.Second

// actions maps each Action to the method that carries it out.
var actions map[Action]func(*run, context.Context, Event) error

func init() {
	actions = map[Action]func(*run, context.Context, Event) error{
		KillNode:           (*run).killNode,
		FreezeNode:         (*run).freezeNode,
		StopNode:           (*run).stopNode,
		ReplaceNodes:       (*run).replaceNodes,
		KillTarget:         (*run).killTarget,
		FreezeTarget:       (*run).freezeTarget,
		IsolateTarget:      (*run).isolateTarget,
		DelayReplication:   (*run).delayReplication,
		SilenceConnections: (*run).silenceConnections,
		LeaveTarget:        (*run).leaveTarget,
		StoreOutage:        (*run).storeOutage,
		StoreSlow:          (*run).storeSlow,
		StoreLosesAnswers:  (*run).storeLosesAnswers,
		WithdrawKey:        (*run).withdrawKey,
		RaceOperators:      (*run).raceOperators,
		Overload:           (*run).overload,
	}
}

// eventNode returns the node that the event selects: by its number, or as the owner of its
// group. If the owner is unknown, it returns the first node.
func (r *run) eventNode(ctx context.Context, event Event) deploy.Node {
	if event.Node > 0 {
		return r.deployment.Nodes[event.Node-1]
	}
	owner := r.groupOwner(ctx, r.deployment.Plan.Services[event.Group-1])
	if n, ok := r.deployment.Place(owner); ok {
		return n
	}
	return r.deployment.Nodes[0]
}

// eventTarget returns the target that the event selects by group and role.
func (r *run) eventTarget(ctx context.Context, event Event) (deploy.Target, error) {
	group := r.deployment.Plan.Services[event.Group-1]
	for _, t := range r.deployment.Targets {
		if t.Group != group {
			continue
		}
		state, err := r.deployment.TargetAdmin(t).State(ctx)
		if err != nil {
			continue
		}
		if (state.Status.Role == target.RolePrimary) == (event.Target == "primary") {
			return t, nil
		}
	}
	return deploy.Target{}, Error.New("no reachable %s in group %s", event.Target, group)
}

func (r *run) recordDowntime(node string, from time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Downtimes = append(r.history.Downtimes, check.NodeDowntime{Node: node, From: from, To: r.recorder.Now()})
}

func (r *run) killNode(ctx context.Context, event Event) error {
	n := r.eventNode(ctx, event)
	from := r.recorder.Now()
	vm := r.deployment.VMName(n)
	r.recordEvent("killing "+vm, nil)
	if err := r.deployment.Processes.Kill(vm); err != nil {
		return err
	}
	_ = sleep(ctx, event.ActionDuration.Std())
	err := r.replaceVM(context.WithoutCancel(ctx), n)
	r.recordDowntime(vm, from)
	return err
}

// replaceVM starts a new VM in the place of one that has ended. The new one counts as down
// until it has had time to fetch the configuration in force.
func (r *run) replaceVM(ctx context.Context, n deploy.Node) error {
	name, err := r.deployment.Replace(ctx, r.binaries, n)
	r.recordEvent("started "+name, err)
	r.mu.Lock()
	defer r.mu.Unlock()
	started := check.NodeDowntime{Node: name, To: r.recorder.Now() + check.ConfigPropagationLimit}
	r.history.Downtimes = append(r.history.Downtimes, started)
	return err
}

func (r *run) freezeNode(ctx context.Context, event Event) error {
	n := r.eventNode(ctx, event)
	from := r.recorder.Now()
	vm := r.deployment.VMName(n)
	r.recordEvent("freezing "+vm, nil)
	if err := r.deployment.Processes.Pause(vm); err != nil {
		return err
	}
	_ = sleep(ctx, event.ActionDuration.Std())
	err := r.deployment.Processes.Resume(vm)
	r.recordDowntime(vm, from)
	return err
}

func (r *run) stopNode(ctx context.Context, event Event) error {
	return r.stopAndReplace(ctx, r.eventNode(ctx, event))
}

func (r *run) stopAndReplace(ctx context.Context, n deploy.Node) error {
	from := r.recorder.Now()
	vm := r.deployment.VMName(n)
	leaving := platform.VM{Name: vm, Address: n.Peers, Domain: n.Domain, State: platform.VMLeaving}
	if err := r.deployment.PlatformAdmin().PutVM(ctx, leaving); err != nil {
		return err
	}
	if err := r.deployment.Processes.Terminate(vm); err != nil {
		return err
	}
	waitCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if err := r.deployment.Processes.Wait(waitCtx, vm); err != nil {
		return err
	}
	to := r.recorder.Now()
	r.mu.Lock()
	r.history.PlannedStops = append(r.history.PlannedStops, check.PlannedStop{Node: n.Name, From: from, To: to})
	r.mu.Unlock()
	r.recordDowntime(vm, from)
	r.recordEvent("stopped "+vm, r.deployment.Processes.Exit(vm))
	return r.replaceVM(context.WithoutCancel(ctx), n)
}

func (r *run) replaceNodes(ctx context.Context, _ Event) error {
	for _, n := range r.deployment.Nodes {
		if ctx.Err() != nil {
			return Error.New("the run ended before every node was replaced")
		}
		if err := r.stopAndReplace(ctx, n); err != nil {
			return err
		}
		_ = sleep(ctx, replaceInterval)
	}
	return nil
}

func (r *run) killTarget(ctx context.Context, event Event) error {
	t, err := r.eventTarget(ctx, event)
	if err != nil {
		return err
	}
	r.recordEvent("killing target "+t.Name, nil)
	if err := r.deployment.Processes.Kill(t.Name); err != nil {
		return err
	}
	_ = sleep(ctx, event.ActionDuration.Std())
	return r.deployment.Processes.Restart(t.Name)
}

// withTargetFault applies begin to the event's target and end when the event is over.
func (r *run) withTargetFault(ctx context.Context, event Event, begin, end admin.Change) error {
	t, err := r.eventTarget(ctx, event)
	if err != nil {
		return err
	}
	r.recordEvent(string(event.Action)+" "+t.Name, nil)
	client := r.deployment.TargetAdmin(t)
	if err := client.Change(ctx, begin); err != nil {
		return err
	}
	_ = sleep(ctx, event.ActionDuration.Std())
	return client.Change(context.WithoutCancel(ctx), end)
}

func (r *run) freezeTarget(ctx context.Context, event Event) error {
	on, off := true, false
	r.markMayRunAbandoned(ctx, event)
	return r.withTargetFault(ctx, event, admin.Change{Frozen: &on}, admin.Change{Frozen: &off})
}

// markMayRunAbandoned records that the event's target may still run statements that were given
// up.
func (r *run) markMayRunAbandoned(ctx context.Context, event Event) {
	t, err := r.eventTarget(ctx, event)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mayRunAbandoned[t.Name] = true
}

// isolateTarget blocks the requests with which replicas pull the target's log.
func (r *run) isolateTarget(ctx context.Context, event Event) error {
	var replicas []string
	for _, t := range r.deployment.Targets {
		replicas = append(replicas, "replica:"+t.Name)
	}
	none := []string{}
	return r.withTargetFault(ctx, event, admin.Change{Blocked: &replicas}, admin.Change{Blocked: &none})
}

func (r *run) delayReplication(ctx context.Context, event Event) error {
	normalLag := fleet.Duration(r.deployment.Plan.Lag)
	return r.withTargetFault(ctx, event, admin.Change{ReplicationLag: &event.Amount}, admin.Change{ReplicationLag: &normalLag})
}

func (r *run) silenceConnections(ctx context.Context, event Event) error {
	r.markMayRunAbandoned(ctx, event)
	t, err := r.eventTarget(ctx, event)
	if err != nil {
		return err
	}
	result, err := r.deployment.TargetAdmin(t).Silence(ctx, admin.Silence{Share: event.Share, Seed: r.plan.Seed})
	r.recordEvent(fmt.Sprintf("silenced %d connections of %s", result.Connections, t.Name), err)
	return err
}

func (r *run) withPlatformFaults(ctx context.Context, event Event, f platformd.Faults) error {
	client := r.deployment.PlatformAdmin()
	if err := client.SetFaults(ctx, f); err != nil {
		return err
	}
	r.recordEvent(string(event.Action)+" begins", nil)
	_ = sleep(ctx, event.ActionDuration.Std())
	return client.SetFaults(context.WithoutCancel(ctx), platformd.Faults{})
}

func (r *run) storeOutage(ctx context.Context, event Event) error {
	return r.withPlatformFaults(ctx, event, platformd.Faults{Outage: true})
}

func (r *run) storeSlow(ctx context.Context, event Event) error {
	return r.withPlatformFaults(ctx, event, platformd.Faults{Slow: event.Amount})
}

func (r *run) storeLosesAnswers(ctx context.Context, event Event) error {
	return r.withPlatformFaults(ctx, event, platformd.Faults{LoseShare: event.Share, Seed: r.plan.Seed})
}

func (r *run) withdrawKey(ctx context.Context, event Event) error {
	c := r.deployment.Customers[event.Customer-1]
	if err := r.runOperatorCommand(ctx, "key", "withdraw", c.Name, c.KeyID); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Withdrawals = append(r.history.Withdrawals, check.Withdrawal{KeyID: qualifiedKeyID(c), At: r.recorder.Now()})
	return nil
}

// runOperatorCommand runs an operators' command and records the configuration version that was
// accepted, if any.
func (r *run) runOperatorCommand(ctx context.Context, args ...string) error {
	args = append(args, "--output", "json")
	output, err := r.deployment.OperateOutput(context.WithoutCancel(ctx), r.binaries, args...)
	if err != nil {
		return err
	}
	var result struct {
		Version uint64 `json:"version"`
		State   string `json:"state"`
	}
	if err := json.Unmarshal(output, &result); err != nil {
		return Error.Wrap(err)
	}
	if result.State == "accepted" {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.history.AcceptedVersions = append(r.history.AcceptedVersions, check.AcceptedVersion{Version: result.Version, At: r.recorder.Now()})
	}
	return nil
}

// conflictExitCode is the operators' command's exit code for a change that lost against a
// concurrent one.
const conflictExitCode = 3

// raceOperators has two operators set the same customer's weight at the same time. A conflict
// is an expected result.
func (r *run) raceOperators(ctx context.Context, event Event) error {
	customer := r.deployment.Customers[len(r.deployment.Customers)-1]
	for i := range max(event.Rounds, 1) {
		var race sync.WaitGroup
		for operator := range 2 {
			race.Go(func() {
				weight := fmt.Sprint(1 + (2*i+operator)%5)
				err := r.runOperatorCommand(ctx, "customer", "set", customer.Name, "--weight", weight, "--as", fmt.Sprintf("operator-%d", operator))
				var exit *exec.ExitError
				if errors.As(err, &exit) && exit.ExitCode() == conflictExitCode {
					err = nil
				}
				if err != nil {
					r.recordEvent("operator", err)
				}
			})
		}
		race.Wait()
	}
	return nil
}

// overloadClients is the number of callers that an overload adds.
const overloadClients = 96

// overload has additional callers offer a multiple of the customer's rate.
func (r *run) overload(ctx context.Context, event Event) error {
	c := r.deployment.Customers[event.Customer-1]
	r.recordEvent("storm of "+c.Name, nil)
	ctx, cancel := context.WithTimeout(ctx, event.ActionDuration.Std())
	defer cancel()
	r.generator.RunExtraClients(ctx, c.Name, overloadClients, event.LoadFactor*c.Rate)
	return nil
}

// leaveTarget drains a target and counts the statements that it still receives after the
// grace period.
func (r *run) leaveTarget(ctx context.Context, event Event) error {
	t, err := r.eventTarget(ctx, event)
	if err != nil {
		return err
	}
	if err := r.runOperatorCommand(ctx, "target", "drain", t.Name); err != nil {
		return err
	}
	if sleep(ctx, check.LeavingGracePeriod) != nil {
		return Error.New("the run ended before the grace period of the leaving target was over")
	}
	client := r.deployment.TargetAdmin(t)
	before, err := client.State(ctx)
	if err != nil {
		return err
	}
	_ = sleep(ctx, event.ActionDuration.Std())
	after, err := client.State(context.WithoutCancel(ctx))
	if err != nil {
		return err
	}
	late := int(after.Counters.Statements - before.Counters.Statements)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.LeavingTargets = append(r.history.LeavingTargets, check.LeavingTarget{Target: t.Name, LateStatements: late})
	return nil
}
