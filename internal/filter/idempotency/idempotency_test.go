package idempotency

import (
	"context"
	"errors"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"crocusyoke/internal/request"
)

func write(sql, key string) *request.Request {
	return &request.Request{Customer: "kirana", IdempotencyKey: key, Messages: query(sql)}
}

func TestRepeatIsAnsweredFromTheRecord(t *testing.T) {
	db := newDatabase()
	ctx := context.Background()
	first, sent, err := Execute(ctx, &session{db: db}, write("effect a", "k'; drop"))
	must.NoError(t, err)
	must.True(t, sent)
	must.False(t, first.Repeated)
	must.Eq(t, byte('I'), first.Reply.Messages[len(first.Reply.Messages)-1])
	must.Eq(t, 1, first.Reply.Position.Index)
	conn := &session{db: db}
	again, _, err := Execute(ctx, conn, write("effect a", "k'; drop"))
	must.NoError(t, err)
	must.True(t, again.Repeated)
	must.Eq(t, first.Reply.Messages, again.Reply.Messages)
	must.Eq(t, byte('I'), conn.status())
	_, _, err = Execute(ctx, &session{db: db}, write("effect b", "k'; drop"))
	must.Eq(t, request.CodeKeyReused, request.AsRefusal(err).Code)
	must.Eq(t, map[string]int{"a": 1}, db.effects)
}

func TestFailedStatementLeavesNoRecord(t *testing.T) {
	db := newDatabase()
	conn := &session{db: db}
	result, _, err := Execute(context.Background(), conn, write("fail", "k"))
	must.NoError(t, err)
	must.Eq(t, "23514", result.Reply.Code)
	must.Eq(t, byte('I'), result.Reply.TxStatus)
	must.Eq(t, byte('I'), conn.status())
	must.MapLen(t, 0, db.records)
}

func TestRejectedCommitIsNoSuccess(t *testing.T) {
	db := newDatabase()
	result, _, err := Execute(context.Background(), &session{db: db, rejectCommit: true}, write("effect a", "k"))
	must.NoError(t, err)
	must.Eq(t, "25006", result.Reply.Code)
	must.MapLen(t, 0, db.effects)
}

func TestLongAnswerKeepsItsTagOnly(t *testing.T) {
	db := newDatabase()
	_, _, err := Execute(context.Background(), &session{db: db, longAnswer: true}, write("effect a", "k"))
	must.NoError(t, err)
	_, _, err = Execute(context.Background(), &session{db: db}, write("effect a", "k"))
	must.Eq(t, request.CodeAlreadyRun, request.AsRefusal(err).Code)
	must.Eq(t, 1, db.effects["a"])
}

func TestBeginWithKeyRunsOnce(t *testing.T) {
	db := newDatabase()
	ctx := context.Background()
	conn := &session{db: db}
	result, _, err := ExecuteBegin(ctx, conn, write("BEGIN", "k"))
	must.NoError(t, err)
	must.Eq(t, byte('T'), result.Reply.TxStatus)
	conn.run(query("effect a"))
	conn.run(query("COMMIT"))
	_, _, err = ExecuteBegin(ctx, conn, write("BEGIN", "k"))
	must.Eq(t, request.CodeAlreadyRun, request.AsRefusal(err).Code)
	must.Eq(t, byte('I'), conn.status())
	_, _, err = Execute(ctx, conn, write("effect a", "k"))
	must.Eq(t, request.CodeKeyReused, request.AsRefusal(err).Code)
	must.Eq(t, 1, db.effects["a"])
}

// TestAtMostOnce repeats one write over connections that are cut at any exchange, before
// or after it took effect: it runs at most once, exactly once when any try is answered,
// and never after a refusal that says it did not run.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		db := newDatabase()
		answered := false
		for range rapid.IntRange(1, 6).Draw(t, "tries") {
			conn := &session{
				db:           db,
				cutBefore:    rapid.IntRange(0, 5).Draw(t, "cut before"),
				cutAfter:     rapid.IntRange(0, 5).Draw(t, "cut after"),
				rejectCommit: rapid.Bool().Draw(t, "reject"),
			}
			had := db.effects["a"]
			result, sent, err := Execute(context.Background(), conn, write("effect a", "k"))
			var refusal *request.Refusal
			switch {
			case err == nil && result.Reply.Code == "":
				answered = true
			case err == nil, errors.As(err, &refusal) && refusal.Code.Fate == request.NotRun:
				if db.effects["a"] != had {
					t.Fatal("a refusal that says not run is false")
				}
			case !sent:
				t.Fatal("the connection was written to")
			}
			if n := db.effects["a"]; n > 1 || answered && n != 1 {
				t.Fatalf("ran %d times, answered %v", n, answered)
			}
		}
	})
}
