package membership

import (
	"context"
	"errors"
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

// listed is a platform's list that never changes.
type listed []platform.VM

func (l listed) ListVMs(context.Context) ([]platform.VM, error) { return l, nil }

// answering fails each call with an error.
type answering struct{ err error }

func (a answering) Call(context.Context, string, peer.Kind, any, any) error { return a.err }

// stateAfter returns what a node that has just come thinks of the others after two seconds in
// which all its calls fail with err.
func stateAfter(t *testing.T, err error) membership.State {
	var state membership.State
	synctest.Test(t, func(t *testing.T) {
		vms := listed{{Name: "n1", Address: "1"}, {Name: "n2", Address: "2"}, {Name: "n3", Address: "3"}}
		r := New(Options{Self: vms[0], Platform: vms, Peers: answering{err}, Clock: clock.Wall{}, Logger: log.NewNopLogger()})
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- r.Run(ctx) }()
		time.Sleep(time.Second)
		r.Lost("2")
		time.Sleep(time.Second)
		m, ok := r.View().Member("n2")
		must.True(t, ok)
		state = m.State
		stop()
		must.NoError(t, <-ended)
	})
	return state
}

// TestNewcomerSuspectsNobodyWhoRefusesIt: nodes that don't know a newcomer yet end its links;
// that shows that they run. Only silence is a reason for suspicion.
func TestNewcomerSuspectsNobodyWhoRefusesIt(t *testing.T) {
	must.Eq(t, membership.Alive, stateAfter(t, peer.Refused.New("not listed")))
	must.Eq(t, membership.Suspect, stateAfter(t, errors.New("no answer")))
}
