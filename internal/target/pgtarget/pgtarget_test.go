package pgtarget_test

import (
	"context"
	"encoding/binary"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/shoenig/test/must"

	"crocusyoke/internal/logpos"
	"crocusyoke/internal/standin/targetd"
	"crocusyoke/internal/standin/targetd/faults"
	"crocusyoke/internal/standin/targetd/wire"
	"crocusyoke/internal/target"
	"crocusyoke/internal/target/pgtarget"
)

const (
	user     = "system"
	password = "secret"
)

func startTarget(tb testing.TB, echo bool) (*targetd.Target, string) {
	tb.Helper()
	t, err := targetd.New(targetd.Options{Name: "a", Directory: tb.TempDir(), Wire: wire.Options{
		User: user, Password: password, Slots: 5, Connections: 100, Echo: echo,
	}})
	must.NoError(tb, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(tb, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- t.Run(ctx, listener, nil) }()
	tb.Cleanup(func() {
		cancel()
		must.NoError(tb, <-done)
	})
	return t, listener.Addr().String()
}

func dial(tb testing.TB, address string) target.Conn {
	tb.Helper()
	conn, err := pgtarget.New(user, password, "node-1").Dial(context.Background(), target.Login{Address: address, Database: "ledger"})
	must.NoError(tb, err)
	tb.Cleanup(func() { _ = conn.Close() })
	return conn
}

func query(sql string) []byte {
	q := pgproto3.Query{String: sql}
	message, _ := q.Encode(nil)
	return message
}

func TestExchangeStripsPositionFromReply(t *testing.T) {
	a, address := startTarget(t, false)
	conn := dial(t, address)
	ctx := t.Context()
	reply, sent, err := conn.Exchange(ctx, query("CREATE TABLE t (n BIGINT)"))
	must.NoError(t, err)
	must.True(t, sent)
	must.EqOp(t, logpos.Position{Term: 1, Index: 2}, reply.Position)
	must.EqOp(t, 'I', rune(reply.TxStatus))
	reply, _, err = conn.Exchange(ctx, query("INSERT INTO t VALUES (1), (2)"))
	must.NoError(t, err)
	must.EqOp(t, a.Store.Position(), reply.Position)
	must.EqOp(t, "INSERT 0 2", kindsOrTags(t, reply.Messages)[0])
	reply, _, err = conn.Exchange(ctx, query("SELEC"))
	must.NoError(t, err)
	must.EqOp(t, "42601", reply.Code)
	_, sent, err = conn.Exchange(ctx, append(query("SELECT 1"), query("SELECT 2")...))
	must.Error(t, err)
	must.False(t, sent)
	reply, _, err = conn.Exchange(ctx, query("SELECT n FROM t"))
	must.NoError(t, err)
	must.SliceLen(t, 5, kindsOrTags(t, reply.Messages))
}

// kindsOrTags returns the type byte of each message, or the tag of a CommandComplete. It fails
// the test if there is a ParameterStatus.
func kindsOrTags(t *testing.T, messages []byte) []string {
	t.Helper()
	var all []string
	for len(messages) > 0 {
		size := 1 + int(binary.BigEndian.Uint32(messages[1:]))
		kind := string(messages[0])
		if kind == "C" {
			kind = string(messages[5 : size-1])
		}
		must.NotEqOp(t, "S", kind)
		all = append(all, kind)
		messages = messages[size:]
	}
	return all
}

// After a timeout the answer to the abandoned exchange may still arrive. A later exchange on the
// same connection must fail rather than read it as its own answer.
func TestLateAnswerIsNeverRead(t *testing.T) {
	a, address := startTarget(t, false)
	conn := dial(t, address)
	a.Faults.Change(func(s *faults.State) { s.Frozen = true })
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, sent, err := conn.Exchange(ctx, query("SELECT 'late'"))
	must.ErrorIs(t, err, context.DeadlineExceeded)
	must.True(t, sent)
	a.Faults.Change(func(s *faults.State) { s.Frozen = false })
	_, sent, err = conn.Exchange(t.Context(), query("SELECT 'mine'"))
	must.ErrorIs(t, err, pgtarget.ErrUnusable)
	must.False(t, sent)
}

// Cancelling the context must end an exchange at once, although its deadline is far away.
func TestCancelledContextEndsExchange(t *testing.T) {
	a, address := startTarget(t, false)
	conn := dial(t, address)
	a.Faults.Change(func(s *faults.State) { s.Frozen = true })
	defer a.Faults.Change(func(s *faults.State) { s.Frozen = false })
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	time.AfterFunc(20*time.Millisecond, cancel)
	begin := time.Now()
	_, _, err := conn.Exchange(ctx, query("SELECT 1"))
	must.ErrorIs(t, err, context.Canceled)
	must.Less(t, 10*time.Second, time.Since(begin))
}

// startScriptedTarget starts a target that accepts one login and then sends the given answers. It
// returns the target's address.
func startScriptedTarget(t *testing.T, answers <-chan []byte) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		backend := pgproto3.NewBackend(conn, conn)
		if _, err := backend.ReceiveStartupMessage(); err != nil {
			return
		}
		backend.Send(&pgproto3.AuthenticationOk{})
		backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		_ = backend.Flush()
		for answer := range answers {
			_, _ = conn.Write(answer)
		}
	}()
	return listener.Addr().String()
}

// If an answer arrives while no exchange is in progress, even a complete one, the next exchange
// must fail before it sends anything. Otherwise it would read that answer as its own.
func TestUnsolicitedAnswerMakesConnectionUnusable(t *testing.T) {
	answers := make(chan []byte, 1)
	defer close(answers)
	conn := dial(t, startScriptedTarget(t, answers))
	done, _ := (&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}).Encode(nil)
	ready, _ := (&pgproto3.ReadyForQuery{TxStatus: 'I'}).Encode(done)
	answers <- ready
	time.Sleep(50 * time.Millisecond)
	_, sent, err := conn.Exchange(t.Context(), query("INSERT INTO t VALUES (1)"))
	must.Error(t, err)
	must.False(t, sent)
}

// A message header that announces more than MaxReply bytes must fail the exchange at once, without
// waiting for the body.
func TestOversizedReplyFails(t *testing.T) {
	answers := make(chan []byte, 1)
	defer close(answers)
	conn := dial(t, startScriptedTarget(t, answers))
	header := []byte{'D', 0, 0, 0, 0}
	binary.BigEndian.PutUint32(header[1:], pgtarget.MaxReply+1)
	time.AfterFunc(20*time.Millisecond, func() { answers <- header })
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, _, err := conn.Exchange(ctx, query("SELECT 1"))
	must.Error(t, err)
	must.False(t, errors.Is(err, context.DeadlineExceeded))
}

func TestCancelReachesTheWaitingStatement(t *testing.T) {
	a, address := startTarget(t, false)
	conn := dial(t, address)
	a.Faults.Change(func(s *faults.State) { s.ServiceTime = time.Minute })
	go func() {
		for a.Counters.InFlight.Now() == 0 {
			time.Sleep(time.Millisecond)
		}
		_ = conn.Cancel(context.Background())
	}()
	reply, _, err := conn.Exchange(t.Context(), query("SELECT 1"))
	must.NoError(t, err)
	must.EqOp(t, "57014", reply.Code)
}

// TestNamesWithNULAreNotSent guards against a name that ends in the middle of a startup message, where the rest
// would be further parameters.
func TestNamesWithNULAreNotSent(t *testing.T) {
	_, address := startTarget(t, false)
	_, err := pgtarget.New(user, password, "node-1").Dial(t.Context(), target.Login{Address: address, Database: "ledger\x00user\x00admin"})
	must.ErrorContains(t, err, "NUL")
	_, err = pgtarget.New(user, password, "node\x00user\x00admin").Control(t.Context(), target.Login{Address: address})
	must.ErrorContains(t, err, "NUL")
}
