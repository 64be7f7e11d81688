package targetd_test

import (
	"context"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/standin/targetd/admin"
	"crocusyoke/internal/standin/targetd/faults"
)

// hangTimeout is the time after which an operation without an answer counts as hanging.
const hangTimeout = 100 * time.Millisecond

func (n *node) admin() *admin.Client {
	n.t.Helper()
	server := httptest.NewServer(&admin.Handler{
		Store: n.Store, Faults: n.Faults, Seen: n.Seen, Counters: n.Counters,
	})
	n.t.Cleanup(server.Close)
	return admin.NewClient(server.Listener.Addr().String())
}

func (n *node) connectAs(ctx context.Context, application string) (*pgx.Conn, error) {
	return pgx.Connect(ctx, "postgres://"+user+":"+password+"@"+n.address+
		"/ledger?sslmode=disable&application_name="+application)
}

// hangs reports whether a query on conn fails to return within hangTimeout. If it does,
// conn cannot be used afterwards.
func hangs(t *testing.T, conn *pgx.Conn) bool {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), hangTimeout)
	defer cancel()
	_, err := conn.Exec(ctx, "SELECT 1")
	return err != nil
}

func TestSilentConnectionsStaySilentWhileNewOnesWork(t *testing.T) {
	a := startNode(t, "a", "")
	old := a.connect()
	silenced, err := a.admin().Silence(t.Context(), admin.Silence{Share: 1, Seed: 1})
	must.NoError(t, err)
	must.EqOp(t, 1, silenced.Connections)
	must.False(t, hangs(t, a.connect()))
	must.True(t, hangs(t, old))
	must.EqOp(t, 1, a.Counters.Connections.Now())
}

func TestBlockedNodeHangsOnlyItsConnections(t *testing.T) {
	a := startNode(t, "a", "")
	ctx := t.Context()
	cut, err := a.connectAs(ctx, "vm-1")
	must.NoError(t, err)
	other, err := a.connectAs(ctx, "vm-2")
	must.NoError(t, err)
	must.NoError(t, a.admin().Change(ctx, admin.Change{Blocked: &[]string{"vm-1"}}))
	must.False(t, hangs(t, other))
	must.True(t, hangs(t, cut))
	short, cancel := context.WithTimeout(ctx, hangTimeout)
	defer cancel()
	_, err = a.connectAs(short, "vm-1")
	must.Error(t, err)
	must.NoError(t, a.admin().Change(ctx, admin.Change{Blocked: &[]string{}}))
	back, err := a.connectAs(ctx, "vm-1")
	must.NoError(t, err)
	must.False(t, hangs(t, back))
}

func TestLimitsAreEnforcedAndCounted(t *testing.T) {
	a := startNode(t, "a", "")
	ctx := t.Context()
	service := fleet.Duration(time.Hour)
	must.NoError(t, a.admin().Change(ctx, admin.Change{ServiceTime: &service}))
	conns := make([]*pgx.Conn, a.options.Wire.Connections)
	for i := range conns {
		conns[i] = a.connect()
	}
	_, err := a.connectAs(ctx, "one-too-many")
	must.EqOp(t, "53300", sqlState(err))
	var group errgroup.Group
	for _, conn := range conns[:a.options.Wire.Slots+2] {
		group.Go(func() error {
			_, err := conn.Exec(ctx, "SELECT 1")
			return err
		})
	}
	eventually(t, "all statements are in flight", func() bool {
		state, err := a.admin().State(ctx)
		return err == nil && state.Counters.InFlight == int64(a.options.Wire.Slots)+2
	})
	service = 0
	must.NoError(t, a.admin().Change(ctx, admin.Change{ServiceTime: &service}))
	must.NoError(t, group.Wait())
	state, err := a.admin().State(ctx)
	must.NoError(t, err)
	must.EqOp(t, 1, state.Counters.RefusedConnections)
	must.EqOp(t, 7, state.Counters.MaxInFlight)
	must.EqOp(t, 2, state.Counters.SlotViolations)
}

// Guards against received startup parameters, query texts or bound parameters that are missing
// from the record.
func TestEverythingSentIsRecorded(t *testing.T) {
	a := startNode(t, "a", "")
	ctx := t.Context()
	conn, err := a.connectAs(ctx, "vm-77")
	must.NoError(t, err)
	_, err = conn.Exec(ctx, "SELECT $1::text", "needle-parameter")
	must.NoError(t, err)
	_, err = conn.Exec(ctx, "SELECT 'needle-text'")
	must.NoError(t, err)
	// The record must survive a restart of the target.
	a.stop()
	a.start()
	for _, text := range []string{"vm-77", "needle-parameter", "needle-text"} {
		seen, err := a.admin().Seen(ctx, text)
		must.NoError(t, err)
		must.Positive(t, seen.Count, must.Sprint(text))
	}
	seen, err := a.admin().Seen(ctx, "needle-never-sent")
	must.NoError(t, err)
	must.EqOp(t, admin.Seen{}, seen)
}

// Guards against entries that are applied before the replication lag has passed, or lost.
func TestReplicationLagDelaysEntries(t *testing.T) {
	a, b, _ := startGroup(t)
	a.exec("CREATE TABLE t (n BIGINT)")
	waitCaughtUp(t, b, a)
	const lag = 300 * time.Millisecond
	b.Faults.Change(func(s *faults.State) { s.ReplicationLag = lag })
	begin := time.Now()
	for n := range 5 {
		a.exec("INSERT INTO t VALUES ($1)", n)
	}
	waitCaughtUp(t, b, a)
	must.GreaterEq(t, lag, time.Since(begin))
	n, err := b.queryCount("SELECT count(*) FROM t")
	must.NoError(t, err)
	must.EqOp(t, 5, n)
}

// Guards against invalid or incomplete startup messages that affect other connections.
func TestMalformedStartupEndsOnlyItsConnection(t *testing.T) {
	a := startNode(t, "a", "")
	for _, garbage := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x08", "\xff\xff\xff\xff\xff"} {
		conn, err := net.Dial("tcp", a.address)
		must.NoError(t, err)
		_, err = conn.Write([]byte(garbage))
		must.NoError(t, err)
		defer conn.Close()
	}
	must.False(t, hangs(t, a.connect()))
}
