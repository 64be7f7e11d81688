package pgfront

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/shoenig/test/must"

	"crocusyoke/internal/request"
)

// TestStopCutsTheRollbackAfterACanceledStatement guards against a drain's end that cancels a statement of a
// transaction, but not the rollback that follows before the statement is answered.
func TestStopCutsTheRollbackAfterACanceledStatement(t *testing.T) {
	f := newTestServer(t, nil)
	open := f.connect(t, "")
	ctx := context.Background()
	_, err := open.Begin(ctx)
	must.NoError(t, err)
	entered := make(chan struct{}, 10)
	f.owner.setOverride(func(ctx context.Context, _ *request.Request) (*request.Response, error) {
		entered <- struct{}{}
		<-ctx.Done()
		return nil, request.Refuse(request.CodeOutcomeUnknown, "exchange", "t1", "no answer")
	})
	answered := make(chan error, 1)
	go func() {
		_, err := open.Exec(ctx, "update orders set v = 1")
		answered <- err
	}()
	<-entered
	limited, cancel := context.WithTimeout(ctx, 800*time.Millisecond)
	defer cancel()
	go func() { _ = f.Drain(limited) }()
	select {
	case err := <-answered:
		must.Eq(t, "08007", sqlState(t, err))
	case <-limited.Done():
		t.Fatal("no answer before the drain's end, at which all sockets are closed")
	}
}

// TestStopCutsAnExchangeThatWasSentAhead guards against a drain's end that cancels the running request, and
// then takes the next one, which was sent with it, without canceling it.
func TestStopCutsAnExchangeThatWasSentAhead(t *testing.T) {
	f := newTestServer(t, nil)
	front := hijackFrontend(t, f)
	entered := make(chan struct{}, 10)
	f.owner.setOverride(func(ctx context.Context, _ *request.Request) (*request.Response, error) {
		entered <- struct{}{}
		<-ctx.Done()
		return nil, request.Refuse(request.CodeOutcomeUnknown, "exchange", "t1", "no answer")
	})
	front.Send(&pgproto3.Query{String: "update orders set v = 1"})
	front.Send(&pgproto3.Query{String: "update orders set v = 2"})
	must.NoError(t, front.Flush())
	<-entered
	limited, cancel := context.WithTimeout(context.Background(), 800*time.Millisecond)
	defer cancel()
	go func() { _ = f.Drain(limited) }()
	refused := make(chan int, 1)
	go func() {
		n := 0
		for n < 2 {
			m, err := front.Receive()
			if err != nil {
				break
			}
			if _, ok := m.(*pgproto3.ErrorResponse); ok {
				n++
			}
		}
		refused <- n
	}()
	select {
	case n := <-refused:
		must.Eq(t, 2, n)
	case <-limited.Done():
		t.Fatal("no answer to the second request before the drain's end, at which all sockets are closed")
	}
}
