package owner

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/logpos"
	"crocusyoke/internal/request"
	"crocusyoke/internal/target"
)

// unknownPositions is a fake group whose replicas report no position with the answer to a BEGIN READ.
type unknownPositions struct{ pollableGroup }

type unknownPositionConn struct {
	target.Conn
	replica bool
}

func (g unknownPositions) Dial(ctx context.Context, login target.Login) (target.Conn, error) {
	conn, err := g.pollableGroup.Dial(ctx, login)
	return &unknownPositionConn{Conn: conn, replica: login.Target != "db0"}, err
}

func (c *unknownPositionConn) Exchange(ctx context.Context, messages []byte) (target.Reply, bool, error) {
	reply, sent, err := c.Conn.Exchange(ctx, messages)
	if c.replica && string(messages) == string(simpleQuery("BEGIN")) {
		time.Sleep(300 * time.Millisecond) // so that other statements get the slots that come free next
		reply.Position = logpos.Position{}
	}
	return reply, sent, err
}

// TestAbandonedTransactionCountsAsOpen guards against a transaction at a replica whose answer was not accepted, whose
// session has begun another one at the primary meanwhile, and whose rollback gets no slot in time: the replica's
// schedule counted it as open for good.
func TestAbandonedTransactionCountsAsOpen(t *testing.T) {
	change := func(o *Options) { o.Dialer = unknownPositions{o.Dialer.(pollableGroup)} }
	withHarness(t, 5*time.Millisecond, change, func(h *harness) {
		g := h.manager.groups["ledger"]
		h.setServiceTime(1, time.Second)
		h.setServiceTime(2, time.Second)
		for range 4 {
			h.setServiceTime(0, time.Second)
			for range 75 {
				read := h.request(request.KindRead, "SELECT", 30*time.Second)
				read.Customer = "mina"
				go func() { _, _ = h.serve(read) }()
			}
			time.Sleep(1500 * time.Millisecond)
			time.AfterFunc(100*time.Millisecond, func() { h.setServiceTime(0, time.Millisecond) })
			begin := h.request(request.KindBeginRead, "BEGIN", 30*time.Second)
			begin.MinPosition = logpos.Position{Term: 1, Index: 1}
			resp, err := h.serve(begin)
			must.NoError(t, err)
			t.Logf("BEGIN READ: at %s, replica %v, %d attempts", resp.Target, resp.Replica, resp.Times.Exchanges)
			time.Sleep(2 * rollbackTimeout)
			_, err = h.serve(nextRequest(begin, request.KindCommit, "COMMIT"))
			must.NoError(t, err)
		}
		time.Sleep(60 * time.Second)
		g.mu.Lock()
		defer g.mu.Unlock()
		must.MapEmpty(t, g.transactions)
		for _, m := range g.members {
			if open := m.schedule.OpenTransactions(); open != 0 {
				t.Errorf("%s: %d transactions count as open", m.name, open)
			}
		}
	})
}

func (h *harness) setServiceTime(i int, d time.Duration) {
	f := h.group.targets[i]
	f.mu.Lock()
	defer f.mu.Unlock()
	f.serviceTime = d
}
