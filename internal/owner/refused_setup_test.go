package owner

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/request"
	"crocusyoke/internal/target"
)

// oddRefusals is a fake group whose targets refuse set-ups with a status of the test's choice.
type oddRefusals struct {
	refusingGroup
	status atomic.Uint32
	delay  atomic.Int64
}

func (g *oddRefusals) Dial(ctx context.Context, login target.Login) (target.Conn, error) {
	conn, err := g.pollableGroup.Dial(ctx, login)
	return &oddRefusalConn{Conn: conn, group: g}, err
}

type oddRefusalConn struct {
	target.Conn
	group *oddRefusals
}

func (c *oddRefusalConn) Exchange(ctx context.Context, messages []byte) (target.Reply, bool, error) {
	if string(messages) != string(simpleQuery("ROLLBACK")) && c.group.left.Add(-1) >= 0 {
		time.Sleep(time.Duration(c.group.delay.Load()))
		refusal := c.group.refusal
		return target.Reply{TxStatus: byte(c.group.status.Load())}, false, &refusal
	}
	return c.Conn.Exchange(ctx, messages)
}

// TestRefusedSetUpKeepsSlot guards against a slot, connection or transaction that a refused set-up leaves behind, or
// frees twice, whatever status the target reports with the refusal.
func TestRefusedSetUpKeepsSlot(t *testing.T) {
	group := &oddRefusals{refusingGroup: refusingGroup{refusal: target.SetUpRefused{Code: "BUSY", Retryable: true}}}
	useGroup := func(o *Options) {
		group.pollableGroup = o.Dialer.(pollableGroup)
		o.Dialer = group
	}
	withHarness(t, 5*time.Millisecond, useGroup, func(h *harness) {
		g := h.manager.groups["ledger"]
		for _, status := range []byte{'I', 'T', 'E', 0, 'X'} {
			for _, delay := range []time.Duration{0, 30 * time.Millisecond} {
				for _, kind := range []request.Kind{request.KindRead, request.KindWrite, request.KindBegin, request.KindBeginRead, request.KindInTransaction, request.KindCommit, request.KindRollback} {
					name := fmt.Sprintf("status %q, delay %v, kind %v", status, delay, kind)
					group.status.Store(uint32(status))
					group.delay.Store(int64(delay))
					timeout := time.Second
					if delay > 0 {
						timeout = 10 * time.Millisecond
					}
					req := h.request(kind, "INSERT "+fmt.Sprint(h.session.Load()), timeout)
					if isInTransaction(kind) {
						begin := h.request(request.KindBegin, "BEGIN", time.Second)
						_, err := h.serve(begin)
						must.NoError(t, err, must.Sprint(name))
						req = nextRequest(begin, kind, map[request.Kind]string{request.KindInTransaction: "INSERT x", request.KindCommit: "COMMIT", request.KindRollback: "ROLLBACK "}[kind])
						req.Deadline = time.Now().Add(timeout)
					}
					group.left.Store(100)
					_, err := h.serve(req)
					refusal := request.AsRefusal(err)
					must.NotNil(t, refusal, must.Sprint(name))
					must.NotEq(t, request.Unknown, refusal.Code.Fate, must.Sprint(name))
					group.left.Store(0)
					time.Sleep(time.Second)
					g.mu.Lock()
					must.MapEmpty(t, g.transactions, must.Sprint(name))
					for _, m := range g.members {
						s := m.pool.Stats()
						must.Eq(t, s.Open, s.Idle, must.Sprint(name))
					}
					g.mu.Unlock()
				}
			}
		}
		// All slots are free: as many statements as there are slots run at the same time.
		done := make(chan error, fakeSlots)
		for i := range fakeSlots {
			go func() {
				_, err := h.serve(h.request(request.KindWrite, fmt.Sprint("INSERT z", i), time.Second))
				done <- err
			}()
		}
		for range fakeSlots {
			must.NoError(t, <-done)
		}
		must.Eq(t, fakeSlots, h.group.targets[0].maxRunning)
	})
}
