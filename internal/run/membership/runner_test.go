package membership

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/controller/membership"
	"crocusyoke/internal/peer"
	"crocusyoke/internal/platform"
)

// staticList is a platform's list that never changes.
type staticList []platform.VM

func (l staticList) ListVMs(context.Context) ([]platform.VM, error) { return l, nil }

// failingCaller fails every call with err.
type failingCaller struct{ err error }

func (a failingCaller) Call(context.Context, string, peer.Kind, any, any) error { return a.err }

// stateAfterFailedCalls is stateAfterCalls with calls that all fail with err.
func stateAfterFailedCalls(t *testing.T, err error) membership.State {
	return stateAfterCalls(t, failingCaller{err})
}

// stateAfterCalls returns the state that a newly started node gives another node after two seconds in
// which it made its calls through peers.
func stateAfterCalls(t *testing.T, peers peer.Caller) membership.State {
	var state membership.State
	synctest.Test(t, func(t *testing.T) {
		vms := staticList{{Name: "n1", Address: "1"}, {Name: "n2", Address: "2"}, {Name: "n3", Address: "3"}}
		r := New(Options{Self: vms[0], Platform: vms, Peers: peers, Clock: clock.Wall{}, Logger: log.NewNopLogger()})
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- r.Run(ctx) }()
		time.Sleep(time.Second)
		r.LinkLost("2")
		time.Sleep(time.Second)
		m, ok := r.View().Member("n2")
		must.True(t, ok)
		state = m.State
		stop()
		must.NoError(t, <-ended)
	})
	return state
}

// lateCaller fails every call, delay after the call's timeout, as in a process that did not run meanwhile.
type lateCaller struct{ delay time.Duration }

func (c lateCaller) Call(ctx context.Context, _ string, _ peer.Kind, _, _ any) error {
	<-ctx.Done()
	time.Sleep(c.delay)
	return ctx.Err()
}

// TestNodeWithoutProcessorTimeSuspectsNobody checks that probes that end well after their timeout make no
// node suspect, and that those that end in time do.
func TestNodeWithoutProcessorTimeSuspectsNobody(t *testing.T) {
	must.Eq(t, membership.Alive, stateAfterCalls(t, lateCaller{lateness + time.Millisecond}))
	must.Eq(t, membership.Suspect, stateAfterCalls(t, lateCaller{lateness}))
}

// TestNewcomerSuspectsNobodyWhoRefusesIt checks that a new node does not suspect nodes that
// refuse its calls because they do not know it yet: a refusal shows that the node is
// running. Only a missing response is a reason for suspicion.
func TestNewcomerSuspectsNobodyWhoRefusesIt(t *testing.T) {
	must.Eq(t, membership.Alive, stateAfterFailedCalls(t, peer.ErrRefused.New("not listed")))
	must.Eq(t, membership.Suspect, stateAfterFailedCalls(t, errors.New("no answer")))
}

// TestPanicInATickEndsTheProcess guards against a panic in the controller's step that ends the process.
func TestPanicInATickEndsTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ticks atomic.Int64
		version := func() uint64 {
			if ticks.Add(1) <= 2 {
				panic("unexpected value")
			}
			return 7
		}
		vms := staticList{{Name: "n1", Address: "1"}}
		r := New(Options{
			Self: vms[0], Platform: vms, Peers: failingCaller{}, Clock: clock.Wall{}, Logger: log.NewNopLogger(), ConfigVersion: version,
		})
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- r.Run(ctx) }()
		time.Sleep(3 * time.Second)
		must.Greater(t, 10, ticks.Load())
		stop()
		must.NoError(t, <-ended)
	})
}
