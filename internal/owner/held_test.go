package owner

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/owner/evidence"
	"crocusyoke/internal/request"
	"crocusyoke/internal/target"
)

// hold is the status of a target that holds a higher term.
func hold(f *fakeTarget) target.Status {
	return target.Status{Target: f.name, Role: target.RoleReplica, Term: 2, OwnTerm: 1}
}

// TestWriteIsAcknowledgedWhileReplicasAreHeld guards against a write that is acknowledged, by polls from before, after
// this node has put the replicas on hold, so that none of them receives it.
func TestWriteIsAcknowledgedWhileReplicasAreHeld(t *testing.T) {
	change := func(o *Options) {
		o.HeldTerms, o.FailFastWithoutPrimary = true, true
		o.SoleOrderer = func(string, uint64) bool { return true }
	}
	for name, isUnderWay := range map[string]bool{"sent later": false, "under way": true} {
		withHarness(t, 5*time.Millisecond, change, func(h *harness) {
			primary := h.group.targets[0]
			write := h.request(request.KindWrite, "INSERT held", time.Second)
			write.Profile.Confirm = fleet.ConfirmTerm
			order := func() {
				for _, f := range h.group.targets {
					f.update(func(f *fakeTarget) { f.pollTime = time.Hour })
				}
				for _, f := range h.group.targets[1:] {
					h.manager.ObserveHeld("ledger", time.Now(), hold(f))
				}
				h.manager.ObserveHeld("ledger", time.Now(), target.Status{Target: "nobody"})
				h.manager.ObserveHeld("nowhere", time.Now(), target.Status{})
			}
			if isUnderWay {
				primary.update(func(f *fakeTarget) { f.serviceTime = 50 * time.Millisecond })
				time.AfterFunc(20*time.Millisecond, order)
			} else {
				order()
			}
			_, err := h.serve(write)
			if isUnderWay {
				mustRefuse(t, err, request.CodeOutcomeUnknown)
				return
			}
			mustRefuse(t, err, request.CodeNoTarget)
			must.Zero(t, primary.count("INSERT held"), must.Sprint(name))
		})
	}
}

// holdingGroup is a group whose replicas are on hold while holds is set.
type holdingGroup struct {
	pollableGroup
	holds atomic.Bool
}

func (g *holdingGroup) Control(ctx context.Context, login target.Login) (target.Control, error) {
	control, err := g.pollableGroup.Control(ctx, login)
	return &holdingControl{Control: control, group: g}, err
}

type holdingControl struct {
	target.Control
	group *holdingGroup
}

func (c *holdingControl) Status(ctx context.Context) (target.Status, error) {
	holds := c.group.holds.Load()
	status, err := c.Control.Status(ctx)
	if holds && status.Role == target.RoleReplica {
		status.Term++
	}
	return status, err
}

// holdTime is how long a false attempt keeps replicas on hold in a test.
const holdTime = 200 * time.Millisecond

// TestReleasedGroupWaitsForNextPoll guards against a group that serves no write for long after its replicas are no
// longer on hold, and checks that none is acknowledged meanwhile.
func TestReleasedGroupWaitsForNextPoll(t *testing.T) {
	group := &holdingGroup{}
	change := func(o *Options) {
		group.pollableGroup = o.Dialer.(pollableGroup)
		o.Dialer, o.HeldTerms, o.FailFastWithoutPrimary = group, true, true
		o.SoleOrderer = func(string, uint64) bool { return true }
	}
	var longest time.Duration
	whileHeld := 0
	for phase := range 8 {
		withHarness(t, 5*time.Millisecond, change, func(h *harness) {
			write := func() bool {
				request := h.request(request.KindWrite, "INSERT 1", time.Second)
				request.Profile.Confirm = fleet.ConfirmTerm
				_, err := h.serve(request)
				return err == nil
			}
			time.Sleep(time.Duration(phase) * 50 * time.Millisecond)
			must.True(h, write())
			group.holds.Store(true)
			for _, f := range h.group.targets[1:] {
				h.manager.ObserveHeld("ledger", time.Now(), hold(f))
			}
			for began := time.Now(); time.Since(began) < holdTime; time.Sleep(5 * time.Millisecond) {
				if write() {
					whileHeld++
				}
			}
			group.holds.Store(false)
			released := time.Now()
			for !write() {
				time.Sleep(time.Millisecond)
			}
			longest = max(longest, time.Since(released))
		})
	}
	t.Logf("%d writes acknowledged while replicas were on hold, then none for up to %s", whileHeld, longest)
	must.Zero(t, whileHeld)
	must.LessEq(t, 2*evidence.HeldWaitingPollInterval, longest)
}

// TestLostHoldLeavesOldEvidence guards against a write that is acknowledged by polls from before an order to hold whose
// answer is lost.
func TestLostHoldLeavesOldEvidence(t *testing.T) {
	group := &holdingGroup{}
	change := func(o *Options) {
		group.pollableGroup = o.Dialer.(pollableGroup)
		o.Dialer, o.HeldTerms, o.FailFastWithoutPrimary = group, true, true
		o.SoleOrderer = func(string, uint64) bool { return true }
	}
	withHarness(t, 5*time.Millisecond, change, func(h *harness) {
		h.manager.ExpectHold("nowhere", "nobody")
		for _, f := range h.group.targets {
			h.manager.ExpectHold("ledger", f.name)
		}
		group.holds.Store(true)
		for began := time.Now(); time.Since(began) < time.Second; time.Sleep(5 * time.Millisecond) {
			write := h.request(request.KindWrite, "INSERT 1", 10*time.Millisecond)
			write.Profile.Confirm = fleet.ConfirmTerm
			_, err := h.serve(write)
			mustRefuse(t, err, request.CodeNoTarget)
		}
		must.Zero(h, h.group.targets[0].count("INSERT 1"))
	})
}
