package node

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/logpos"
	"crocusyoke/internal/owner"
	"crocusyoke/internal/platform"
	"crocusyoke/internal/request"
	"crocusyoke/internal/run/lease"
	"crocusyoke/internal/run/membership"
	"crocusyoke/internal/run/quota"
	"crocusyoke/internal/settings"
	"crocusyoke/internal/target"
)

// slowTarget is a primary whose statements take statementTime. It is a target.Dialer and its
// connections.
type slowTarget struct{ statementTime time.Duration }

var slowTargetPosition = logpos.Position{Term: 1, Index: 1}

func (s slowTarget) Dial(context.Context, target.Login) (target.Conn, error) { return s, nil }
func (s slowTarget) Control(context.Context, target.Login) (target.Control, error) {
	return slowControl{}, nil
}

func (s slowTarget) Commands() target.Commands    { return target.Commands{PerCustomer: true} }
func (s slowTarget) Cancel(context.Context) error { return nil }
func (s slowTarget) Close() error                 { return nil }

func (s slowTarget) Exchange(ctx context.Context, _ []byte) (target.Reply, bool, error) {
	select {
	case <-time.After(s.statementTime):
		return target.Reply{TxStatus: 'I', Position: slowTargetPosition}, true, nil
	case <-ctx.Done():
		return target.Reply{}, true, ctx.Err()
	}
}

// slowControl is the control connection of a slowTarget.
type slowControl struct{}

var errNotOrdered = errors.New("orders nothing")

func (slowControl) Close() error { return nil }

func (slowControl) Status(context.Context) (target.Status, error) {
	return target.Status{Target: "t1", Role: target.RolePrimary, Term: 1, Last: slowTargetPosition}, nil
}

func (slowControl) Adopt(context.Context, uint64, string) (target.Status, error) {
	return target.Status{}, errNotOrdered
}

func (slowControl) Promote(context.Context, uint64, string) (target.Status, error) {
	return target.Status{}, errNotOrdered
}

func (slowControl) Follow(context.Context, uint64, string) (target.Status, error) {
	return target.Status{}, errNotOrdered
}

// fixedConfig is a fleet.Source whose configuration never changes.
type fixedConfig struct{ config *fleet.Config }

func (c fixedConfig) Current() *fleet.Config { return c.config }

// busyFront is a server with a caller that never ends its transaction.
type busyFront struct{ callerServer }

func (busyFront) Drain(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// newStoppableNode returns a hosted node that owns a group of one slow target and whose callers do not
// leave before the end of the stop, which has to take limit at most.
func newStoppableNode(limit, statementTime time.Duration) *Node {
	t1 := fleet.Target{Name: "t1", Address: "127.0.0.1:1", Domain: "a", Slots: 5, Connections: 20}
	config := fixedConfig{&fleet.Config{Version: 1, Groups: []fleet.Group{{Name: "ledger", Targets: []fleet.Target{t1}}}}}
	n := &Node{
		settings: &settings.Settings{}, logger: log.NewNopLogger(), clock: clock.Wall{}, drainStarted: make(chan struct{}),
		leases: lease.New(lease.Options{}), front: busyFront{},
		owner: owner.New(owner.Options{Self: "n1", Domain: "a", Dialer: slowTarget{statementTime}, Config: config}),
	}
	n.settings.Node.Drain = fleet.Duration(limit)
	n.membership = membership.New(membership.Options{Self: platform.VM{Name: "n1"}, Clock: n.clock, Logger: n.logger})
	n.quota = quota.New(quota.Options{Self: "n1", Clock: n.clock, Config: config, Logger: n.logger})
	n.owner.SetOwned("ledger", true)
	return n
}

// TestStopOutlastsItsLimit guards against a stop that waits for a long statement of another node's caller
// beyond the node's own limit, so that the platform kills the process.
func TestStopOutlastsItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 5600 * time.Millisecond
		n := newStoppableNode(limit, 10*time.Second)
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 12*time.Second)
		answered := make(chan error, 1)
		go func() {
			_, err := n.owner.Serve(ctx, &request.Request{
				ID: request.ID{Session: "s", Sequence: 1}, Customer: "ravi", Group: "ledger", Kind: request.KindWrite,
				Weight: 1, Deadline: time.Now().Add(12 * time.Second),
			})
			answered <- err
		}()
		defer func() {
			cancel()
			<-answered
			time.Sleep(5 * time.Second)
		}()
		time.Sleep(time.Second)
		began := time.Now()
		n.stop(t.Context())
		must.LessEq(t, limit, time.Since(began))
		must.Eq(t, 0, len(answered), must.Sprint("the statement must still run when the stop ends"))
	})
}

// lineWriter is a writer that sends each line to a channel.
type lineWriter chan string

func (w lineWriter) Write(line []byte) (int, error) {
	w <- string(line)
	return len(line), nil
}

// TestKilledStopLeavesNoLine guards against a log that tells nothing of a stop if the process is killed
// before the end of its stop.
func TestKilledStopLeavesNoLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lines := make(chan string, 100)
		n := newStoppableNode(10*time.Second, time.Second)
		n.logger = log.NewLogfmtLogger(lineWriter(lines))
		go n.stop(t.Context())
		time.Sleep(5 * time.Second)
		synctest.Wait()
		var out string
		for len(lines) > 0 {
			out += <-lines
		}
		must.StrContains(t, out, "event=stopping limit=10s\n")
		must.StrContains(t, out, "msg=stopping step=settle took=2.3s err=null\n")
		time.Sleep(10 * time.Second)
	})
}
