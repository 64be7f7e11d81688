package targetd_test

import (
	"context"
	"errors"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/shoenig/test/must"

	"crocusyoke/internal/standin/targetd"
	"crocusyoke/internal/standin/targetd/faults"
	"crocusyoke/internal/standin/targetd/wire"
	"crocusyoke/internal/target"
	"crocusyoke/internal/target/pgtarget"
)

const (
	user     = "system"
	password = "secret"
	// waitTimeout bounds each wait of a test.
	waitTimeout = 10 * time.Second
)

// node is a target that a test can stop and restart at the same address.
type node struct {
	*targetd.Target
	t       *testing.T
	options targetd.Options
	address string
	stop    func()
}

func startNode(t *testing.T, name, follow string) *node {
	t.Helper()
	return startNodeOptions(t, name, follow, wire.Options{})
}

func startNodeWith(t *testing.T, name string, change func(*wire.Options)) *node {
	t.Helper()
	var o wire.Options
	change(&o)
	return startNodeOptions(t, name, "", o)
}

// startNodeOptions starts a target with the given options, except that the credentials and
// limits are the tests' own.
func startNodeOptions(t *testing.T, name, follow string, o wire.Options) *node {
	t.Helper()
	o.User, o.Password = user, password
	o.Slots, o.Connections = 5, 35
	n := &node{t: t, address: "127.0.0.1:0", options: targetd.Options{
		Name: name, Directory: filepath.Join(t.TempDir(), name), Follow: follow,
		Wire: o,
	}}
	n.start()
	t.Cleanup(func() { n.stop() })
	return n
}

func (n *node) start() {
	n.t.Helper()
	listener, err := net.Listen("tcp", n.address)
	must.NoError(n.t, err)
	n.address = listener.Addr().String()
	n.Target, err = targetd.New(n.options)
	must.NoError(n.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	running := n.Target
	go func() { done <- running.Run(ctx, listener, nil) }()
	n.stop = func() {
		cancel()
		must.NoError(n.t, <-done)
		n.stop = func() {}
	}
}

// startGroup starts a primary and two replicas.
func startGroup(t *testing.T) (a, b, c *node) {
	t.Helper()
	a = startNode(t, "a", "")
	b = startNode(t, "b", a.address)
	c = startNode(t, "c", a.address)
	return a, b, c
}

func (n *node) connect() *pgx.Conn {
	n.t.Helper()
	conn, err := pgx.Connect(n.t.Context(), "postgres://"+user+":"+password+"@"+n.address+"/ledger?sslmode=disable")
	must.NoError(n.t, err)
	n.t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func (n *node) control() target.Control {
	n.t.Helper()
	control, err := pgtarget.New(user, password, "node-1").Control(n.t.Context(), target.Login{Address: n.address})
	must.NoError(n.t, err)
	n.t.Cleanup(func() { _ = control.Close() })
	return control
}

func (n *node) exec(sql string, args ...any) {
	n.t.Helper()
	conn := n.connect()
	_, err := conn.Exec(n.t.Context(), sql, args...)
	must.NoError(n.t, err)
	must.NoError(n.t, conn.Close(n.t.Context()))
}

// queryCount returns the number that sql selects.
func (n *node) queryCount(sql string) (int64, error) {
	n.t.Helper()
	conn := n.connect()
	defer conn.Close(n.t.Context())
	var count int64
	err := conn.QueryRow(n.t.Context(), sql).Scan(&count)
	return count, err
}

// eventually waits until condition returns true and fails the test after waitTimeout.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out after %v waiting until %s", waitTimeout, what)
		}
	}
}

func waitCaughtUp(t *testing.T, n, primary *node) {
	t.Helper()
	eventually(t, n.options.Name+" has all of "+primary.options.Name, func() bool {
		return n.Store.Position() == primary.Store.Position()
	})
}

func sqlState(err error) string {
	var pg *pgconn.PgError
	if errors.As(err, &pg) {
		return pg.Code
	}
	return ""
}

func TestQueryProtocols(t *testing.T) {
	a := startNode(t, "a", "")
	ctx := t.Context()
	conn := a.connect()
	_, err := conn.Exec(ctx, "CREATE TABLE orders (id BIGINT PRIMARY KEY, item TEXT NOT NULL, price REAL, paid BOOLEAN)")
	must.NoError(t, err)
	insert := "INSERT INTO orders (id, item, price, paid) VALUES ($1::bigint, $2, $3::float8, $4::boolean)"
	tag, err := conn.Exec(ctx, insert, 7, "it's; $1", 1.5, true)
	must.NoError(t, err)
	must.EqOp(t, "INSERT 0 1", tag.String())
	// A parameter without a cast has the type that the client encodes it as.
	_, err = conn.Exec(ctx, "INSERT INTO orders (id, item, price) VALUES ($1, $2, $3)", 8, "two", 2.0)
	must.NoError(t, err)

	for _, mode := range []pgx.QueryExecMode{
		pgx.QueryExecModeCacheStatement, pgx.QueryExecModeDescribeExec,
		pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
	} {
		var id, n int64
		var item string
		var price float64
		var paid *bool
		row := conn.QueryRow(ctx, "SELECT id, item, price, paid FROM orders WHERE id = $1::bigint", mode, 7)
		must.NoError(t, row.Scan(&id, &item, &price, &paid))
		must.EqOp(t, "it's; $1", item)
		must.EqOp(t, 1.5, price)
		must.True(t, *paid)
		row = conn.QueryRow(ctx, "SELECT count(*) AS n FROM orders WHERE id >= $1::bigint", mode, 1)
		must.NoError(t, row.Scan(&n))
		must.EqOp(t, 2, n)
	}

	var nonce string
	var most int64
	row := conn.QueryRow(ctx, "SELECT $1 AS nonce, coalesce(max(id), 0) FROM orders WHERE id < $2::int8", "n-1", 8)
	must.NoError(t, row.Scan(&nonce, &most))
	must.EqOp(t, "n-1", nonce)
	must.EqOp(t, 7, most)

	_, err = conn.Exec(ctx, insert, 7, "again", 1.0, false)
	must.EqOp(t, "23505", sqlState(err))
	_, err = conn.Exec(ctx, "SELEC 1")
	must.EqOp(t, "42601", sqlState(err))
	_, err = conn.Exec(ctx, "SELECT * FROM nowhere")
	must.EqOp(t, "42P01", sqlState(err))

	tx, err := conn.Begin(ctx)
	must.NoError(t, err)
	_, err = tx.Exec(ctx, "UPDATE orders SET item = 'x'")
	must.NoError(t, err)
	_, err = tx.Exec(ctx, "SELECT * FROM nowhere")
	must.EqOp(t, "42P01", sqlState(err))
	_, err = tx.Exec(ctx, "SELECT 1")
	must.EqOp(t, "25P02", sqlState(err))
	must.Error(t, tx.Commit(ctx))
	n, err := a.queryCount("SELECT count(*) FROM orders WHERE item = 'x'")
	must.NoError(t, err)
	must.EqOp(t, 0, n)

	var returned int64
	row = conn.QueryRow(ctx, "UPDATE orders SET item = $1 WHERE id = 8 RETURNING id", "eight")
	must.NoError(t, row.Scan(&returned))
	must.EqOp(t, 8, returned)
}

func TestReplicaRefusesWritesAndFollowsInOrder(t *testing.T) {
	a, b, _ := startGroup(t)
	a.exec("CREATE TABLE orders (id BIGINT PRIMARY KEY)")
	b.Faults.Change(func(s *faults.State) { s.CutReplication = true })
	for id := range 20 {
		a.exec("INSERT INTO orders VALUES ($1)", id)
	}
	conn := b.connect()
	_, err := conn.Exec(t.Context(), "INSERT INTO orders VALUES (100)")
	must.EqOp(t, "25006", sqlState(err))
	must.NotEqOp(t, a.Store.Position(), b.Store.Position())
	b.Faults.Change(func(s *faults.State) { s.CutReplication = false })
	waitCaughtUp(t, b, a)
	n, err := b.queryCount("SELECT count(*) FROM orders")
	must.NoError(t, err)
	must.EqOp(t, 20, n)
}

// Guards against a commit by a primary that has adopted a higher term, also of a transaction
// that began before the adoption.
func TestAdoptedTermFencesPrimary(t *testing.T) {
	a := startNode(t, "a", "")
	a.exec("CREATE TABLE orders (id BIGINT PRIMARY KEY)")
	ctx := t.Context()
	conn := a.connect()
	tx, err := conn.Begin(ctx)
	must.NoError(t, err)
	_, err = tx.Exec(ctx, "INSERT INTO orders VALUES (1)")
	must.NoError(t, err)
	before := a.Store.Position()
	b := startNode(t, "b", a.address)
	b.Faults.Change(func(s *faults.State) { s.CutReplication = true })

	control := a.control()
	status, err := control.Adopt(ctx, 2, "node-1")
	must.NoError(t, err)
	must.EqOp(t, 2, status.Term)
	must.EqOp(t, target.RoleReplica, status.Role)
	must.EqOp(t, "40001", sqlState(tx.Commit(ctx)))
	_, err = conn.Exec(ctx, "INSERT INTO orders VALUES (2)")
	must.EqOp(t, "25006", sqlState(err))
	must.EqOp(t, before, a.Store.Position())
	// The former primary still serves the entries of its term to replicas.
	b.Faults.Change(func(s *faults.State) { s.CutReplication = false })
	waitCaughtUp(t, b, a)

	// The term belongs to one orderer only, also after a restart of the target.
	_, err = control.Adopt(ctx, 2, "node-2")
	must.Error(t, err)
	a.stop()
	a.start()
	must.EqOp(t, "node-1", a.Store.Status().Orderer)
	must.EqOp(t, target.RoleReplica, a.Store.Status().Role)
	control = a.control()
	_, err = control.Promote(ctx, 2, "node-2")
	must.Error(t, err)
	status, err = control.Promote(ctx, 2, "node-1")
	must.NoError(t, err)
	must.EqOp(t, target.RolePrimary, status.Role)
	must.EqOp(t, 2, status.Last.Term)
	must.EqOp(t, before.Index+1, status.Last.Index)
	n, err := a.queryCount("SELECT count(*) FROM orders")
	must.NoError(t, err)
	must.EqOp(t, 0, n)
}

// Guards against a returning former primary that serves reads of entries that its successor
// lacks, and against a needless rebuild of a replica that only lags.
func TestDivergedLogIsRebuilt(t *testing.T) {
	a, b, c := startGroup(t)
	ctx := t.Context()
	a.exec("CREATE TABLE orders (id BIGINT PRIMARY KEY)")
	a.exec("INSERT INTO orders VALUES (1)")
	waitCaughtUp(t, b, a)
	waitCaughtUp(t, c, a)
	// The last write of the first term reaches no replica.
	for _, n := range []*node{b, c} {
		n.Faults.Change(func(s *faults.State) { s.CutReplication = true })
	}
	a.exec("INSERT INTO orders VALUES (2)")

	controlB := b.control()
	_, err := controlB.Adopt(ctx, 2, "node-1")
	must.NoError(t, err)
	_, err = c.control().Adopt(ctx, 2, "node-1")
	must.NoError(t, err)
	_, err = controlB.Promote(ctx, 2, "node-1")
	must.NoError(t, err)
	b.exec("INSERT INTO orders VALUES (3)")
	c.Faults.Change(func(s *faults.State) { s.CutReplication = false })
	_, err = c.control().Follow(ctx, 2, b.address)
	must.NoError(t, err)
	waitCaughtUp(t, c, b)
	must.EqOp(t, 0, c.Counters.Rebuilds.Load())

	// The old primary remains the primary of its own term until Follow tells it otherwise.
	a.Faults.Change(func(s *faults.State) { s.CutReplication = true })
	status, err := a.control().Follow(ctx, 2, b.address)
	must.NoError(t, err)
	must.EqOp(t, target.RoleReplica, status.Role)
	_, err = a.queryCount("SELECT count(*) FROM orders")
	must.EqOp(t, "57P03", sqlState(err))
	a.Faults.Change(func(s *faults.State) { s.CutReplication = false })
	waitCaughtUp(t, a, b)
	eventually(t, "the rebuild is counted", func() bool { return a.Counters.Rebuilds.Load() == 1 })
	n, err := a.queryCount("SELECT count(*) FROM orders WHERE id = 2")
	must.NoError(t, err)
	must.EqOp(t, 0, n)
	n, err = a.queryCount("SELECT count(*) FROM orders")
	must.NoError(t, err)
	must.EqOp(t, 2, n)

	// The rebuilt data survives a restart.
	a.stop()
	a.start()
	b.exec("INSERT INTO orders VALUES (4)")
	waitCaughtUp(t, a, b)
	n, err = a.queryCount("SELECT count(*) FROM orders")
	must.NoError(t, err)
	must.EqOp(t, 3, n)
}

// Guards against open transactions that block one another while their clients are idle, and
// against the commit of a transaction whose replayed write fails because of another commit.
func TestOpenTransactionsDoNotBlockOthers(t *testing.T) {
	a := startNode(t, "a", "")
	ctx := t.Context()
	a.exec("CREATE TABLE orders (id BIGINT PRIMARY KEY)")
	const open = 4
	var txs []pgx.Tx
	for id := range open {
		tx, err := a.connect().Begin(ctx)
		must.NoError(t, err)
		_, err = tx.Exec(ctx, "INSERT INTO orders VALUES ($1)", id)
		must.NoError(t, err)
		txs = append(txs, tx)
	}
	for _, tx := range txs {
		must.NoError(t, tx.Commit(ctx))
	}
	n, err := a.queryCount("SELECT count(*) FROM orders")
	must.NoError(t, err)
	must.EqOp(t, open, n)

	conn := a.connect()
	late, err := conn.Begin(ctx)
	must.NoError(t, err)
	_, err = late.Exec(ctx, "INSERT INTO orders VALUES (100)")
	must.NoError(t, err)
	a.exec("INSERT INTO orders VALUES (100)")
	must.EqOp(t, "40001", sqlState(late.Commit(ctx)))
	n, err = a.queryCount("SELECT count(*) FROM orders")
	must.NoError(t, err)
	must.EqOp(t, open+1, n)
}
