package front

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/request"
)

// stopTime is how long a drain of these tests may take.
const stopTime = 3 * time.Second

// slowTarget is a fakeTarget whose statements take a time, or until their request is canceled.
type slowTarget struct {
	fakeTarget
	chain *fakeChain
	takes map[string]time.Duration
}

func newSlowTarget(takes map[string]time.Duration) *slowTarget {
	d := &slowTarget{fakeTarget: fakeTarget{tx: txIdle}, takes: takes}
	d.chain = &fakeChain{}
	d.chain.answer = func(req *request.Request, call *Call) (*request.Response, error) {
		return d.answer(req, call)
	}
	return d
}

// Serve implements request.Handler.
func (d *slowTarget) Serve(ctx context.Context, req *request.Request) (*request.Response, error) {
	call, err := DecodeCall(req.Messages)
	if err != nil {
		return nil, err
	}
	select {
	case <-time.After(d.takes[call.Text]):
		return d.chain.Serve(ctx, req)
	case <-ctx.Done():
		return nil, request.Refuse(request.CodeOutcomeUnknown, "exchange", "t1", "canceled")
	}
}

// End implements request.Handler.
func (d *slowTarget) End(session string) { d.chain.End(session) }

// startDrain begins a drain that may take stopTime.
func startDrain(t *testing.T, s *Server) chan error {
	ctx, cancel := context.WithTimeout(t.Context(), stopTime)
	t.Cleanup(cancel)
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(ctx) }()
	synctest.Wait()
	return drained
}

// TestStopCutsAStatementOfAnOpenTransaction guards against a stop that takes a statement of a transaction
// which it then cuts while the target runs it: the caller gets neither an answer nor a refusal.
func TestStopCutsAStatementOfAnOpenTransaction(t *testing.T) {
	for _, text := range []string{"write", "commit", "rollback"} {
		synctest.Test(t, func(t *testing.T) {
			d := newSlowTarget(map[string]time.Duration{text: time.Second})
			s, lines := newLoggedServer(d.chain)
			s.options.Chain = d
			caller := connectTo(t, s)
			must.Eq(t, "ok", caller.send("begin"))
			drained := startDrain(t, s)
			must.Eq(t, "ok", caller.send("r"))
			time.Sleep(stopTime - 200*time.Millisecond)
			want := "transaction_lost"
			if text == "rollback" {
				want = "done"
			}
			must.Eq(t, want, caller.send(text))
			must.Eq(t, "EOF", caller.readLine())
			must.NoError(t, <-drained)
			must.Eq(t, 1, d.chain.ended)
			must.False(t, slices.Contains(d.chain.seen, "commit q commit"))
			s.options.Log.Flush()
			must.StrNotContains(t, lines.String(), "outcome=cut")
		})
	}
}

// TestStopCutsAStatementThatOutlastsIt guards against a stop that closes a connection under a statement
// that was sent long before and still runs, without an answer.
func TestStopCutsAStatementThatOutlastsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newSlowTarget(map[string]time.Duration{"r": time.Hour})
		s, _ := newLoggedServer(d.chain)
		s.options.Chain = d
		caller := connectTo(t, s)
		caller.write("r")
		synctest.Wait()
		drained := startDrain(t, s)
		must.Eq(t, "outcome_unknown", caller.readLine())
		must.NoError(t, <-drained)
	})
}

// TestStopServesTransactionsThatCanEnd checks that a transaction goes on in a stop while its statements'
// timeouts leave time for their answers, and for a time in any case.
func TestStopServesTransactionsThatCanEnd(t *testing.T) {
	for timeout, last := range map[time.Duration]time.Duration{
		time.Second:     stopTime - answerTime - time.Second,
		2 * stopTime:    transactionTime - time.Millisecond,
		answerTime / 10: stopTime - answerTime - answerTime/10,
	} {
		synctest.Test(t, func(t *testing.T) {
			config := testConfig()
			config.Profiles[0].Timeout = fleet.Duration(timeout)
			d := newSlowTarget(nil)
			s, _ := newLoggedServer(d.chain)
			s.options.Chain, s.options.Config = d, fixedConfig{config}
			first, second := connectTo(t, s), connectTo(t, s)
			must.Eq(t, "ok", first.send("begin"))
			must.Eq(t, "ok", second.send("begin"))
			drained := startDrain(t, s)
			time.Sleep(last)
			must.Eq(t, "ok", first.send("commit"))
			time.Sleep(time.Millisecond)
			must.Eq(t, "transaction_lost", second.send("write"))
			must.NoError(t, <-drained)
		})
	}
}

// TestStopCutsTheRollbackOfACanceledStatement guards against a session that is closed before its caller has
// ended the transaction whose statement the stop canceled.
func TestStopCutsTheRollbackOfACanceledStatement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newSlowTarget(map[string]time.Duration{"write": time.Hour})
		s, lines := newLoggedServer(d.chain)
		s.options.Chain = d
		caller := connectTo(t, s)
		must.Eq(t, "ok", caller.send("begin"))
		caller.write("write")
		synctest.Wait()
		drained := startDrain(t, s)
		must.Eq(t, "outcome_unknown", caller.readLine())
		must.Eq(t, "done", caller.send("rollback"))
		must.NoError(t, <-drained)
		rolledBack := slices.Contains(d.chain.seen, "rollback - UNDO")
		must.True(t, rolledBack != (d.chain.dropped == 1))
		s.options.Log.Flush()
		must.StrNotContains(t, lines.String(), "outcome=cut")
	})
}

// TestStopCutsAnOperationThatWasPrepared guards against a session that a stop ends between the preparation
// of a statement and its execution.
func TestStopCutsAnOperationThatWasPrepared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newSlowTarget(map[string]time.Duration{"r": time.Second})
		s, _ := newLoggedServer(d.chain)
		s.options.Chain = d
		caller, silent := connectTo(t, s), connectTo(t, s)
		drained := startDrain(t, s)
		must.Eq(t, "done", caller.send("set"))
		must.Eq(t, "done", silent.send("set"))
		time.Sleep(idleReadTime / 2)
		must.Eq(t, "ok", caller.send("r"))
		must.Eq(t, "EOF", caller.readLine())
		must.Eq(t, "EOF", silent.readLine())
		must.NoError(t, <-drained)
	})
}

// TestStopDropsTheRollbackItAskedFor guards against a session that is closed right after a statement of its
// transaction was refused: the caller's ROLLBACK, which must follow, gets no answer.
func TestStopDropsTheRollbackItAskedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newSlowTarget(nil)
		s, lines := newLoggedServer(d.chain)
		s.options.Chain = d
		caller, silent := connectTo(t, s), connectTo(t, s)
		must.Eq(t, "ok", caller.send("begin"))
		must.Eq(t, "ok", silent.send("begin"))
		drained := startDrain(t, s)
		time.Sleep(stopTime - answerTime)
		must.Eq(t, "transaction_lost", caller.send("write"))
		must.Eq(t, "transaction_lost", silent.send("write"))
		time.Sleep(idleReadTime / 2)
		must.Eq(t, "done", caller.send("rollback"))
		must.Eq(t, "EOF", caller.readLine())
		must.Eq(t, "EOF", silent.readLine())
		must.NoError(t, <-drained)
		must.Eq(t, "", lines.String())
	})
}
