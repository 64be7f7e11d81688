package pgfront

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/shoenig/test/must"

	"crocusyoke/internal/budget"
)

// TestOneSessionTakesTheRoomOfOthers guards against sessions that together prepare more than the node has room
// for, and against one that leaves no room for the others.
func TestOneSessionTakesTheRoomOfOthers(t *testing.T) {
	former := statementLimits
	t.Cleanup(func() { statementLimits = former })
	statementLimits = budget.Limits{Share: 4 << 10, Common: 64 << 10}
	f := newTestServer(t, nil)
	ctx := context.Background()
	large, other := f.connect(t, ""), f.connect(t, "")
	text := "select '" + strings.Repeat("x", 10<<10) + "'"
	prepared := 0
	for ; prepared < 20; prepared++ {
		if _, err := large.Prepare(ctx, fmt.Sprint("s", prepared), text); err != nil {
			must.Eq(t, "53300", sqlState(t, err))
			break
		}
	}
	must.Eq(t, 6, prepared)
	_, err := other.Prepare(ctx, "small", "select 1")
	must.NoError(t, err)
	_, err = other.Prepare(ctx, "large", text)
	must.Eq(t, "53300", sqlState(t, err))
	must.Eq(t, "1", queryValue(t, other, "select 1"))
	must.NoError(t, large.Deallocate(ctx, "s0"))
	_, err = other.Prepare(ctx, "large", text)
	must.NoError(t, err)
	must.NoError(t, large.Close(ctx))
	must.NoError(t, other.Close(ctx))
	eventually(t, func() bool { return f.statementBudget.Held() == 0 })
}

// TestShortNameKeepsALongValue guards against an application name that keeps the whole value that it was cut from.
func TestShortNameKeepsALongValue(t *testing.T) {
	const length = 1 << 20
	before := memoryInUse()
	sessions := make([]variables, 16)
	for i := range sessions {
		must.NoError(t, sessions[i].set(nil, varAppName, strings.Repeat("x", length)))
	}
	must.Less(t, length, memoryInUse()-before)
	runtime.KeepAlive(sessions)
}

// TestHalfStatementsTakeTheRoom guards against sessions that stop in the middle of large statements and leave no room
// for the small statements of others.
func TestHalfStatementsTakeTheRoom(t *testing.T) {
	const limit, room = 32 << 10, 128 << 10
	f := newTestServer(t, func(o *Options) { o.MaxExchangeBytes, o.Memory = limit, readPart*room })
	other := f.connect(t, "")
	half := (&pgproto3.Query{String: strings.Repeat("x", limit-100)})
	body, err := half.Encode(nil)
	must.NoError(t, err)
	refused := 0
	for range 10 {
		conn, err := f.connect(t, "").PgConn().Hijack()
		must.NoError(t, err)
		defer conn.Conn.Close()
		must.NoError(t, conn.Conn.SetDeadline(time.Now().Add(100*time.Millisecond)))
		_, err = conn.Conn.Write(body[:len(body)-1])
		must.NoError(t, err)
		if message, err := conn.Frontend.Receive(); err == nil {
			must.Eq(t, "53300", message.(*pgproto3.ErrorResponse).Code)
			must.StrContains(t, message.(*pgproto3.ErrorResponse).Detail, "not run")
			refused++
		}
	}
	must.Between(t, 1, refused, 9)
	must.LessEq(t, room+11*readShare, f.reads.Held())
	must.Eq(t, "1", queryValue(t, other, "select 1"))
}

// TestStatementThatDoesNotArrive guards against a caller that keeps a session by a statement that never ends, and
// against one that is cut off while it sends nothing, also behind a Flush.
func TestStatementThatDoesNotArrive(t *testing.T) {
	f := newTestServer(t, func(o *Options) { o.StatementTimeout = 30 * time.Millisecond })
	for _, sent := range []string{"", "H\x00\x00\x00\x04", "Q\x00\x00\x00\x09sel"} {
		conn, err := f.connect(t, "").PgConn().Hijack()
		must.NoError(t, err)
		defer conn.Conn.Close()
		must.NoError(t, conn.Conn.SetDeadline(time.Now().Add(200*time.Millisecond)))
		_, err = conn.Conn.Write([]byte(sent))
		must.NoError(t, err)
		message, err := conn.Frontend.Receive()
		if !strings.HasPrefix(sent, "Q") {
			must.ErrorIs(t, err, os.ErrDeadlineExceeded)
			continue
		}
		must.NoError(t, err)
		must.Eq(t, "57014", message.(*pgproto3.ErrorResponse).Code)
	}
	must.Eq(t, 1, f.Stalled.Value())
}
