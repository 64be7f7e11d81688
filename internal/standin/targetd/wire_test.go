package targetd_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"crocusyoke/internal/standin/targetd/wire"
)

// sql generates valid and malformed statements.
var sql = rapid.OneOf(
	rapid.SampledFrom([]string{
		"", ";", "BEGIN", "COMMIT", "ROLLBACK", "BEGIN READ ONLY", "SELECT 1; SELECT 2", "SELECT",
		"INSERT INTO t VALUES ($1::bigint, $2)", "SELECT a, count(*) FROM t WHERE a > $2 GROUP BY a",
		"SELECT $1, $3", "UPDATE t SET b = $1 RETURNING a, b", "DELETE FROM t", "SELECT a FROM t",
		"SELECT group_status()", "SELECT group_pull(1, 1)", "SELECT 'x", "SELECT $99999", "VALUES (1)",
	}),
	rapid.Map(rapid.String(), func(s string) string { return strings.ReplaceAll(s, "\x00", "") }),
)

// message draws a random frontend message.
func message(t *rapid.T) pgproto3.FrontendMessage {
	name := rapid.SampledFrom([]string{"", "a"}).Draw(t, "name")
	formats := rapid.SliceOfN(rapid.Int16Range(-1, 2), 0, 3)
	switch rapid.IntRange(0, 7).Draw(t, "message") {
	case 0:
		return &pgproto3.Query{String: sql.Draw(t, "sql")}
	case 1:
		oids := rapid.SliceOfN(rapid.SampledFrom([]uint32{0, 16, 20, 25, 701, 1114}), 0, 3).Draw(t, "oids")
		return &pgproto3.Parse{Name: name, Query: sql.Draw(t, "sql"), ParameterOIDs: oids}
	case 2:
		return &pgproto3.Bind{
			DestinationPortal: name, PreparedStatement: name,
			ParameterFormatCodes: formats.Draw(t, "formats"),
			Parameters:           rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 0, 9), 0, 3).Draw(t, "parameters"),
			ResultFormatCodes:    formats.Draw(t, "result formats"),
		}
	case 3:
		return &pgproto3.Describe{ObjectType: rapid.SampledFrom([]byte("SP")).Draw(t, "type"), Name: name}
	case 4:
		return &pgproto3.Execute{Portal: name, MaxRows: rapid.Uint32().Draw(t, "rows")}
	case 5:
		return &pgproto3.Close{ObjectType: rapid.SampledFrom([]byte("SP")).Draw(t, "type"), Name: name}
	case 6:
		return &pgproto3.Flush{}
	}
	return &pgproto3.CopyFail{Message: "no"}
}

// Guards against message sequences that leave a session without an answer at Sync, or that
// disturb other sessions.
func TestAnyMessageSequenceIsAnsweredAtSync(t *testing.T) {
	a := startNode(t, "a", "")
	a.exec("CREATE TABLE t (a BIGINT, b TEXT)")
	other := a.connect()
	rapid.Check(t, func(rt *rapid.T) {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		pc, err := pgconn.Connect(ctx, "postgres://"+user+":"+password+"@"+a.address+"/ledger?sslmode=disable")
		must.NoError(rt, err)
		conn, err := pc.Hijack()
		must.NoError(rt, err)
		defer conn.Conn.Close()
		must.NoError(rt, conn.Conn.SetDeadline(time.Now().Add(waitTimeout)))
		queries := 0
		for range rapid.IntRange(1, 8).Draw(rt, "messages") {
			m := message(rt)
			if _, ok := m.(*pgproto3.Query); ok {
				queries++
			}
			conn.Frontend.Send(m)
		}
		conn.Frontend.Send(&pgproto3.Sync{})
		must.NoError(rt, conn.Frontend.Flush())
		for ready := 0; ready < queries+1; {
			answer, err := conn.Frontend.Receive()
			must.NoError(rt, err)
			if _, ok := answer.(*pgproto3.ReadyForQuery); ok {
				ready++
			}
		}
		_, err = other.Exec(ctx, "SELECT 1")
		must.NoError(rt, err)
	})
}

// Guards against echo answers that an ordinary client rejects, within or outside transactions,
// and against the loss of the control functions in echo mode.
func TestEchoAnswersClients(t *testing.T) {
	a := startNodeWith(t, "a", func(o *wire.Options) { o.Echo = true })
	ctx := t.Context()
	conn := a.connect()
	for _, mode := range []pgx.QueryExecMode{
		pgx.QueryExecModeCacheStatement, pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
	} {
		var n int64
		must.NoError(t, conn.QueryRow(ctx, "SELECT n FROM t WHERE id = $1::bigint", mode, 5).Scan(&n))
		must.EqOp(t, 1, n)
	}
	tx, err := conn.Begin(ctx)
	must.NoError(t, err)
	must.EqOp(t, 'T', rune(conn.PgConn().TxStatus()))
	must.NoError(t, tx.Commit(ctx))
	status, err := a.control().Status(ctx)
	must.NoError(t, err)
	must.EqOp(t, "a", status.Target)
}
