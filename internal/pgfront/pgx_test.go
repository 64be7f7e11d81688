package pgfront

import (
	"context"
	"errors"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/shoenig/test/must"

	"crocusyoke/internal/request"
)

func queryValue(t *testing.T, conn *pgx.Conn, sql string, arguments ...any) string {
	t.Helper()
	var v string
	must.NoError(t, conn.QueryRow(context.Background(), sql, arguments...).Scan(&v))
	return v
}

func TestPgxEveryExecMode(t *testing.T) {
	f := newTestServer(t, nil)
	for name, mode := range map[string]pgx.QueryExecMode{
		"cache statement": pgx.QueryExecModeCacheStatement,
		"cache describe":  pgx.QueryExecModeCacheDescribe,
		"describe exec":   pgx.QueryExecModeDescribeExec,
		"exec":            pgx.QueryExecModeExec,
		"simple":          pgx.QueryExecModeSimpleProtocol,
	} {
		t.Run(name, func(t *testing.T) {
			config, err := pgx.ParseConfig(f.url(""))
			must.NoError(t, err)
			config.DefaultQueryExecMode = mode
			conn, err := pgx.ConnectConfig(context.Background(), config)
			must.NoError(t, err)
			defer conn.Close(context.Background())
			for range 3 {
				must.Eq(t, "1", queryValue(t, conn, "select v from orders"))
				must.Eq(t, "1", queryValue(t, conn, "select w from orders"))
				must.Eq(t, "careful", queryValue(t, conn, "show crocusyoke.profile"))
			}
			must.Eq(t, request.KindRead, f.owner.lastReceived().Kind)
			tx, err := conn.Begin(context.Background())
			must.NoError(t, err)
			_, err = tx.Exec(context.Background(), "update orders set v = 2")
			must.NoError(t, err)
			must.NoError(t, tx.Commit(context.Background()))
			must.Eq(t, request.KindCommit, f.owner.lastReceived().Kind)
		})
	}
}

func TestPgxBatchAndPrepare(t *testing.T) {
	f := newTestServer(t, nil)
	conn := f.connect(t, "")
	ctx := context.Background()
	_, err := conn.Prepare(ctx, "by-name", "select v from orders")
	must.NoError(t, err)
	for range 2 {
		batch := &pgx.Batch{}
		for _, sql := range []string{"by-name", "select v from jobs", "insert into jobs values (1)", "by-name"} {
			batch.Queue(sql)
		}
		results := conn.SendBatch(ctx, batch)
		for range 4 {
			_, err := results.Exec()
			must.NoError(t, err)
		}
		must.NoError(t, results.Close())
		must.Eq(t, request.KindWrite, f.owner.lastReceived().Kind)
	}
	must.NoError(t, conn.Deallocate(ctx, "by-name"))
	_, err = conn.PgConn().ExecPrepared(ctx, "by-name", nil, nil, nil).Close()
	must.Eq(t, "26000", sqlState(t, err))
}

func TestVariables(t *testing.T) {
	f := newTestServer(t, nil)
	conn := f.connect(t, "&application_name=desk&crocusyoke.profile=stale")
	ctx := context.Background()
	must.Eq(t, "stale", queryValue(t, conn, "show crocusyoke.profile"))
	must.Eq(t, "UTC", queryValue(t, conn, "show timezone"))
	for _, sql := range []string{
		"set crocusyoke.max_age = '3s'", "set time zone 'UTC'", "SET client_encoding TO 'UTF8'",
		"set statement_timeout = 700", "reset crocusyoke.profile", "set crocusyoke.request_id = 'order-1'",
	} {
		_, err := conn.Exec(ctx, sql)
		must.NoError(t, err, must.Sprint(sql))
	}
	must.Eq(t, "700ms", queryValue(t, conn, "show statement_timeout"))
	must.Len(t, 0, f.owner.received())
	queryValue(t, conn, "select 1")
	_, err := conn.Exec(ctx, "insert into orders values (1)")
	must.NoError(t, err)
	must.Eq(t, "order-1", f.owner.lastReceived().IdempotencyKey)
	must.Eq(t, "careful", f.owner.lastReceived().Profile.Name)
	must.Eq(t, "3s", f.owner.lastReceived().Profile.MaxAge.Std().String())
	_, err = conn.Exec(ctx, "insert into orders values (1)")
	must.NoError(t, err)
	must.Eq(t, "", f.owner.lastReceived().IdempotencyKey)
	for sql, state := range map[string]string{
		"set crocusyoke.profile = 'none'": "22023", "set work_mem = 1": "0A000", "listen x": "0A000",
		"set timezone = 'Asia/Kolkata'": "0A000", "copy t from stdin": "0A000", "set crocusyoke.session = 'forged'": "22023",
		"select pg_advisory_lock(1)": "0A000", "create temp table t (a int)": "0A000",
	} {
		_, err := conn.Exec(ctx, sql)
		must.Eq(t, state, sqlState(t, err), must.Sprint(sql))
	}
}

func sqlState(t *testing.T, err error) string {
	t.Helper()
	var refused *pgconn.PgError
	must.True(t, errors.As(err, &refused), must.Sprintf("%v", err))
	return refused.Code
}
