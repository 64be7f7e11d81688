package owner

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/request"
	"crocusyoke/internal/target"
)

// refusingGroup is a fake group whose targets refuse the set-up of the next exchanges.
type refusingGroup struct {
	pollableGroup
	refusal target.SetUpRefused
	left    atomic.Int32
	dials   atomic.Int32
}

// Commands makes connections belong to customers, so that none is opened without need.
func (g *refusingGroup) Commands() target.Commands {
	commands := g.pollableGroup.Commands()
	commands.PerCustomer = true
	return commands
}

func (g *refusingGroup) Dial(ctx context.Context, login target.Login) (target.Conn, error) {
	conn, err := g.pollableGroup.Dial(ctx, login)
	g.dials.Add(1)
	return &refusingConn{Conn: conn, group: g}, err
}

type refusingConn struct {
	target.Conn
	group *refusingGroup
	tx    byte
}

func (c *refusingConn) Exchange(ctx context.Context, messages []byte) (target.Reply, bool, error) {
	if string(messages) != string(simpleQuery("ROLLBACK")) && c.group.left.Add(-1) >= 0 {
		refusal := c.group.refusal
		return target.Reply{TxStatus: max(c.tx, 'I')}, false, &refusal
	}
	reply, sent, err := c.Conn.Exchange(ctx, messages)
	c.tx = reply.TxStatus
	return reply, sent, err
}

// TestRefusedSetUpHasUnknownOutcome guards against a statement that was never sent, because its set-up was
// refused, and that is reported as possibly run or costs the target's connection.
func TestRefusedSetUpHasUnknownOutcome(t *testing.T) {
	group := &refusingGroup{refusal: target.SetUpRefused{Code: "BUSY", Retryable: true}}
	useGroup := func(o *Options) {
		group.pollableGroup = o.Dialer.(pollableGroup)
		o.Dialer = group
	}
	withHarness(t, 5*time.Millisecond, useGroup, func(h *harness) {
		_, err := h.serve(h.request(request.KindWrite, "INSERT 0", time.Second))
		must.NoError(t, err)
		dials := group.dials.Load()

		group.left.Store(1)
		_, err = h.serve(h.request(request.KindWrite, "INSERT 1", time.Second))
		must.NoError(t, err)
		group.left.Store(maxAttempts)
		_, err = h.serve(h.request(request.KindWrite, "INSERT 2", time.Second))
		mustRefuse(t, err, request.CodeNoTarget)
		must.Zero(t, h.group.targets[0].count("INSERT 2"))
		must.Eq(t, dials, group.dials.Load())

		begin := h.request(request.KindBegin, "BEGIN", time.Second)
		_, err = h.serve(begin)
		must.NoError(t, err)
		group.left.Store(1)
		_, err = h.serve(nextRequest(begin, request.KindCommit, "COMMIT"))
		mustRefuse(t, err, request.CodeTransactionLost)
		time.Sleep(10 * time.Millisecond)
		must.Eq(t, 1, h.group.targets[0].count("ROLLBACK"))

		must.Eq(t, dials, group.dials.Load())
		g := h.manager.groups["ledger"]
		g.mu.Lock()
		must.Zero(t, g.members[0].errorShare)
		g.mu.Unlock()

		group.refusal = target.SetUpRefused{Code: "MALFORMED"}
		group.left.Store(1)
		_, err = h.serve(h.request(request.KindWrite, "INSERT 3", time.Second))
		mustRefuse(t, err, request.CodeProtocol)
	})
}
