package pgfront

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/fleet"
)

// TestServiceMovesDuringTransaction guards against a transaction that is lost because its service has moved to another
// group: the change applies from the next transaction on.
func TestServiceMovesDuringTransaction(t *testing.T) {
	f := newTestServer(t, nil)
	conn := f.connect(t, "")
	ctx := context.Background()
	run := func(sql string) {
		_, err := conn.Exec(ctx, sql)
		must.NoError(t, err)
	}
	run("BEGIN")
	moved := testConfig()
	moved.Service("ledger").Group = "g2"
	moved.Groups = append(moved.Groups, fleet.Group{Name: "g2"})
	f.config.current.Store(moved)
	run("INSERT INTO t VALUES (1)")
	run("COMMIT")
	run("INSERT INTO t VALUES (2)")
	var groups []string
	for _, req := range f.owner.received() {
		groups = append(groups, req.Group)
	}
	must.Eq(t, []string{"g1", "g1", "g1", "g2"}, groups)
}
