package idempotency

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"crocusyoke/internal/request"
)

func newWrite(sql, key string) *request.Request {
	return &request.Request{Customer: "kirana", IdempotencyKey: key, Messages: encodeQuery(sql)}
}

func TestRepeatIsAnsweredFromTheRecord(t *testing.T) {
	db := newFakeDatabase()
	ctx := context.Background()
	first, sent, err := Execute(ctx, &fakeConn{db: db}, newWrite("effect a", "k'; drop"))
	must.NoError(t, err)
	must.True(t, sent)
	must.False(t, first.Repeated)
	must.Eq(t, byte('I'), first.Reply.Messages[len(first.Reply.Messages)-1])
	must.Eq(t, 1, first.Reply.Position.Index)
	conn := &fakeConn{db: db}
	again, _, err := Execute(ctx, conn, newWrite("effect a", "k'; drop"))
	must.NoError(t, err)
	must.True(t, again.Repeated)
	must.Eq(t, first.Reply.Messages, again.Reply.Messages)
	must.Eq(t, byte('I'), conn.status())
	_, _, err = Execute(ctx, &fakeConn{db: db}, newWrite("effect b", "k'; drop"))
	must.Eq(t, request.CodeKeyReused, request.AsRefusal(err).Code)
	must.Eq(t, map[string]int{"a": 1}, db.effects)
}

// TestKeysOfTwoCustomers checks that customers and keys of any form are two values of a record.
func TestKeysOfTwoCustomers(t *testing.T) {
	db := newFakeDatabase()
	for i, pair := range [][2]string{
		{"a/b", "c"}, {"a", "b/c"}, {"a'b", "c"}, {"a", "'b c"}, {"", "abc"}, {"abc", ""}, {"a\x00b", "c"}, {"a", "\x00bc"}, {"A", "b/c"},
	} {
		write := newWrite(fmt.Sprintf("effect %d", i), pair[1])
		write.Customer = pair[0]
		result, _, err := Execute(context.Background(), &fakeConn{db: db}, write)
		must.NoError(t, err)
		must.False(t, result.Repeated)
		must.MapLen(t, i+1, db.records)
	}
}

func TestFailedStatementLeavesNoRecord(t *testing.T) {
	db := newFakeDatabase()
	conn := &fakeConn{db: db}
	result, _, err := Execute(context.Background(), conn, newWrite("fail", "k"))
	must.NoError(t, err)
	must.Eq(t, "23514", result.Reply.Code)
	must.Eq(t, byte('I'), result.Reply.TxStatus)
	must.Eq(t, byte('I'), conn.status())
	must.MapLen(t, 0, db.records)
}

func TestRejectedCommitIsNoSuccess(t *testing.T) {
	db := newFakeDatabase()
	result, _, err := Execute(context.Background(), &fakeConn{db: db, rejectCommit: true}, newWrite("effect a", "k"))
	must.NoError(t, err)
	must.Eq(t, "25006", result.Reply.Code)
	must.MapLen(t, 0, db.effects)
}

func TestLongAnswerKeepsItsTagOnly(t *testing.T) {
	db := newFakeDatabase()
	_, _, err := Execute(context.Background(), &fakeConn{db: db, longAnswer: true}, newWrite("effect a", "k"))
	must.NoError(t, err)
	_, _, err = Execute(context.Background(), &fakeConn{db: db}, newWrite("effect a", "k"))
	must.Eq(t, request.CodeAlreadyRun, request.AsRefusal(err).Code)
	must.Eq(t, 1, db.effects["a"])
}

func TestBeginWithKeyRunsOnce(t *testing.T) {
	db := newFakeDatabase()
	ctx := context.Background()
	conn := &fakeConn{db: db}
	result, _, err := ExecuteBegin(ctx, conn, newWrite("BEGIN", "k"))
	must.NoError(t, err)
	must.Eq(t, byte('T'), result.Reply.TxStatus)
	conn.run(encodeQuery("effect a"))
	conn.run(encodeQuery("COMMIT"))
	_, _, err = ExecuteBegin(ctx, conn, newWrite("BEGIN", "k"))
	must.Eq(t, request.CodeAlreadyRun, request.AsRefusal(err).Code)
	must.Eq(t, byte('I'), conn.status())
	_, _, err = Execute(ctx, conn, newWrite("effect a", "k"))
	must.Eq(t, request.CodeKeyReused, request.AsRefusal(err).Code)
	must.Eq(t, 1, db.effects["a"])
}

// TestAtMostOnce repeats one write over connections that are cut at random exchanges, before or
// after the exchange took effect. The write must run at most once, exactly once if any attempt
// was answered, and not at all in an attempt whose refusal says that it did not run.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		db := newFakeDatabase()
		answered := false
		for range rapid.IntRange(1, 6).Draw(t, "tries") {
			conn := &fakeConn{
				db:                db,
				cutBeforeExchange: rapid.IntRange(0, 5).Draw(t, "cut before"),
				cutAfterExchange:  rapid.IntRange(0, 5).Draw(t, "cut after"),
				rejectCommit:      rapid.Bool().Draw(t, "reject"),
			}
			effectsBefore := db.effects["a"]
			result, sent, err := Execute(context.Background(), conn, newWrite("effect a", "k"))
			var refusal *request.Refusal
			switch {
			case err == nil && result.Reply.Code == "":
				answered = true
			case err == nil, errors.As(err, &refusal) && refusal.Code.Fate == request.NotRun:
				if db.effects["a"] != effectsBefore {
					t.Fatal("the write took effect although its refusal says that it did not run")
				}
			case !sent:
				t.Fatal("sent is false although the connection was written to")
			}
			if n := db.effects["a"]; n > 1 || answered && n != 1 {
				t.Fatalf("ran %d times, answered %v", n, answered)
			}
		}
	})
}
