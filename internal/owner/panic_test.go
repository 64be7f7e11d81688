package owner

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/contain"
	"crocusyoke/internal/request"
	"crocusyoke/internal/target"
)

// panickingDialer is a Dialer that panics when it is asked for its commands, if armed.
type panickingDialer struct {
	target.Dialer
	armed atomic.Bool
}

func (d *panickingDialer) Commands() target.Commands {
	if d.armed.Load() {
		panic("unexpected command")
	}
	return d.Dialer.Commands()
}

// panickingContext is a context that panics when it is asked whether it has ended, if armed.
type panickingContext struct {
	context.Context
	armed bool
}

func (c *panickingContext) Err() error {
	if c.armed {
		panic("unexpected context")
	}
	return c.Context.Err()
}

// checkNothingHeld fails the test if a target has an open transaction, or a slot or connection in use.
func (h *harness) checkNothingHeld() {
	h.Helper()
	for _, s := range h.manager.Snapshot()[0].Targets {
		must.Eq(h, 0, s.Transactions)
		must.Eq(h, 0, s.InFlight)
		must.Eq(h, 0, s.Waiting)
		must.Eq(h, s.Connections.Idle, s.Connections.Open)
	}
}

// TestPanicOverARollbackEndsTheOwner guards against an owner whose process ends because it panics while it
// rolls back a transaction whose caller has left, and against a transaction, slot or connection that is
// kept after that.
func TestPanicOverARollbackEndsTheOwner(t *testing.T) {
	dialer := &panickingDialer{}
	use := func(o *Options) {
		dialer.Dialer = o.Dialer
		o.Dialer = dialer
	}
	withHarness(t, 5*time.Millisecond, use, func(h *harness) {
		begin := h.request(request.KindBegin, "BEGIN", time.Second)
		_, err := h.serve(begin)
		must.NoError(h, err)
		dialer.armed.Store(true)
		h.manager.End(begin.ID.Session)
		time.Sleep(rollbackTimeout)
		dialer.armed.Store(false)
		h.checkNothingHeld()
		_, err = h.serve(nextRequest(begin, request.KindCommit, "COMMIT"))
		mustRefuse(h.T, err, request.CodeTransactionLost)
		must.Eq(h, 0, h.group.targets[0].count("COMMIT"))
	})
}

// TestPanicOverAStatementKeepsItsTransaction guards against a transaction, slot and connection that are kept
// for good because a statement of the transaction panicked.
func TestPanicOverAStatementKeepsItsTransaction(t *testing.T) {
	withHarness(t, 5*time.Millisecond, nil, func(h *harness) {
		begin := h.request(request.KindBegin, "BEGIN", time.Second)
		_, err := h.serve(begin)
		must.NoError(h, err)
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		_, err = h.manager.Serve(&panickingContext{ctx, true}, nextRequest(begin, request.KindInTransaction, "INSERT 1"))
		mustRefuse(h.T, err, request.CodeOutcomeUnknown)
		h.manager.End(begin.ID.Session)
		time.Sleep(rollbackTimeout)
		h.checkNothingHeld()
		_, err = h.serve(nextRequest(begin, request.KindCommit, "COMMIT"))
		mustRefuse(h.T, err, request.CodeTransactionLost)
		must.Eq(h, 0, h.group.targets[0].count("COMMIT"))
	})
}

// TestPanicOverAnIdempotentWriteKeepsItsSlot guards against a slot and a connection that are kept for good
// because a write with an idempotency key panicked over the target's answer, and against a caller that
// isn't told that it may have run.
func TestPanicOverAnIdempotentWriteKeepsItsSlot(t *testing.T) {
	panics := func(o *Options) {
		o.Idempotent = func(context.Context, target.Conn, *request.Request) (target.Reply, bool, bool, error) {
			panic("unexpected answer")
		}
	}
	withHarness(t, 5*time.Millisecond, panics, func(h *harness) {
		req := h.request(request.KindWrite, "INSERT 1", time.Second)
		req.IdempotencyKey = "key"
		_, err := h.serve(req)
		mustRefuse(h.T, err, request.CodeOutcomeUnknown)
		time.Sleep(100 * time.Millisecond)
		h.checkNothingHeld()
	})
}

// panickingLogger panics over the lines of one event.
type panickingLogger struct{ event string }

func (l panickingLogger) Log(fields ...any) error {
	if len(fields) > 1 && fields[1] == l.event {
		panic("unexpected field")
	}
	return nil
}

// TestPanicOverAnAnswerKeepsItsSlot guards against a slot and a connection that are kept for good because the
// owner panicked over the target's answer to a single statement.
func TestPanicOverAnAnswerKeepsItsSlot(t *testing.T) {
	group := &refusingGroup{refusal: target.SetUpRefused{Code: "BUSY"}}
	panics := func(o *Options) {
		group.pollableGroup = o.Dialer.(pollableGroup)
		o.Dialer, o.Logger = group, panickingLogger{"error answer"}
	}
	withHarness(t, 5*time.Millisecond, panics, func(h *harness) {
		group.left.Store(1)
		_, err := contain.Call("request", func() (*request.Response, error) {
			return h.serve(h.request(request.KindWrite, "INSERT 1", time.Second))
		})
		must.True(h, contain.Error.Has(err), must.Sprint(err))
		time.Sleep(100 * time.Millisecond)
		h.checkNothingHeld()
	})
}
