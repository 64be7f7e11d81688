package pgfront

import (
	"context"
	"net"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/shoenig/test/must"

	"crocusyoke/internal/filter/auth"
	"crocusyoke/internal/filter/idempotency"
	"crocusyoke/internal/filter/session"
	"crocusyoke/internal/request"
	"crocusyoke/internal/standin/targetd"
	"crocusyoke/internal/standin/targetd/wire"
	"crocusyoke/internal/target"
	"crocusyoke/internal/target/pgtarget"
)

// standinOwner is an owner that uses one connection to the stand-in target per session.
type standinOwner struct {
	t       testing.TB
	address string
	mu      sync.Mutex
	conns   map[string]target.Conn
}

func (d *standinOwner) conn(session string) target.Conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conns[session] == nil {
		conn, err := pgtarget.New("system", "secret", "node-1").Dial(context.Background(), target.Login{Address: d.address, Database: "ledger"})
		must.NoError(d.t, err)
		d.conns[session] = conn
	}
	return d.conns[session]
}

func (d *standinOwner) Serve(ctx context.Context, req *request.Request) (*request.Response, error) {
	conn := d.conn(req.ID.Session)
	var result idempotency.Result
	var err error
	switch {
	case req.IdempotencyKey != "" && req.Kind == request.KindWrite:
		result, _, err = idempotency.Execute(ctx, conn, req)
	case req.IdempotencyKey != "" && req.Kind == request.KindBegin:
		result, _, err = idempotency.ExecuteBegin(ctx, conn, req)
	default:
		result.Reply, _, err = conn.Exchange(ctx, req.Messages)
	}
	if err != nil {
		return nil, err
	}
	return &request.Response{
		ID: req.ID, Messages: result.Reply.Messages, TxStatus: result.Reply.TxStatus,
		Position: result.Reply.Position, Repeated: result.Repeated,
	}, nil
}

func (d *standinOwner) End(session string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if conn := d.conns[session]; conn != nil {
		_ = conn.Close()
	}
}

// newStandinServer returns a Server whose owner runs statements on a stand-in target.
func newStandinServer(t *testing.T) *testServer {
	standin, err := targetd.New(targetd.Options{Name: "a", Directory: t.TempDir(), Wire: wire.Options{
		User: "system", Password: "secret", Slots: 5, Connections: 100,
	}})
	must.NoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- standin.Run(ctx, listener, nil) }()
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-done)
	})
	owner := &standinOwner{t: t, address: listener.Addr().String(), conns: make(map[string]target.Conn)}
	return newTestServer(t, func(o *Options) {
		o.Session = session.New(owner, o.Config)
		o.Auth = auth.New(o.Session, o.Config, nil)
		o.Chain = o.Auth
	})
}

func exec(t *testing.T, conn *pgx.Conn, sql string, arguments ...any) int64 {
	t.Helper()
	tag, err := conn.Exec(context.Background(), sql, arguments...)
	must.NoError(t, err, must.Sprint(sql))
	return tag.RowsAffected()
}

func countOrders(t *testing.T, conn *pgx.Conn) int64 {
	t.Helper()
	var n int64
	must.NoError(t, conn.QueryRow(context.Background(), "select count(*) from orders").Scan(&n))
	return n
}

// A repeated insert with the same idempotency key must take effect once in every execution mode
// of pgx, and a different statement with that key must be refused.
func TestStandinEveryExecMode(t *testing.T) {
	f := newStandinServer(t)
	exec(t, f.connect(t, ""), "create table orders (id bigint primary key, shop text)")
	ctx := context.Background()
	for i, mode := range []pgx.QueryExecMode{
		pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeDescribeExec,
		pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
	} {
		t.Run(mode.String(), func(t *testing.T) {
			config, err := pgx.ParseConfig(f.url(""))
			must.NoError(t, err)
			config.DefaultQueryExecMode = mode
			insertWithKey := func(id int64) (int64, error) {
				conn, err := pgx.ConnectConfig(ctx, config)
				must.NoError(t, err)
				defer conn.Close(ctx)
				exec(t, conn, "set crocusyoke.request_id = 'mode-"+mode.String()+"'")
				tag, err := conn.Exec(ctx, "insert into orders values ($1, $2)", id, "rajkot")
				return tag.RowsAffected(), err
			}
			id := int64(10 * i)
			for range 2 {
				rows, err := insertWithKey(id)
				must.NoError(t, err)
				must.Eq(t, 1, rows)
			}
			_, err = insertWithKey(id + 1)
			must.Eq(t, "22000", sqlState(t, err))
			conn, err := pgx.ConnectConfig(ctx, config)
			must.NoError(t, err)
			defer conn.Close(ctx)
			must.Eq(t, int64(i+1), countOrders(t, conn))
			_, err = conn.Exec(ctx, "insert into orders values ($1, $2)", id, "again")
			must.Eq(t, "23505", sqlState(t, err))
			must.Eq(t, int64(i+1), countOrders(t, conn))
		})
	}
}

// A repeated transaction with the same idempotency key must be refused and change nothing.
func TestStandinTransactionWithKey(t *testing.T) {
	f := newStandinServer(t)
	ctx := context.Background()
	conn := f.connect(t, "")
	exec(t, conn, "create table orders (id bigint primary key, shop text)")
	transfer := func() error {
		exec(t, conn, "set crocusyoke.request_id = 'transfer-1'")
		return pgx.BeginFunc(ctx, conn, func(tx pgx.Tx) error {
			batch := &pgx.Batch{}
			batch.Queue("insert into orders values ($1, $2)", countOrders(t, conn)+1, "a")
			batch.Queue("insert into orders values ($1, $2)", countOrders(t, conn)+2, "b")
			return tx.SendBatch(ctx, batch).Close()
		})
	}
	must.NoError(t, transfer())
	must.Eq(t, "23505", sqlState(t, transfer()))
	must.Eq(t, int64(2), countOrders(t, conn))
	must.NotEq(t, "", conn.PgConn().ParameterStatus(varSession))
}
