package hosted

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestCommitWaitsForReplica checks that a commit is acknowledged once a replica has received it, and that one of a
// primary that is replaced meanwhile is answered with TIMEOUT.
func TestCommitWaitsForReplica(t *testing.T) {
	g := NewGroup("ledger", "t1", "t2")
	defer g.Close()
	g.SyncReplicas = 1
	writer, _ := dial(t, g.Target("t1").Address, "ledger")
	control, _ := dial(t, g.Target("t2").Address, "ledger")
	must.StrHasPrefix(t, "COMPLETE t1.w1", writer.query("w1", "WRITE x 1"))
	control.query(ownID, "PAUSE 2")
	writer.send("w2", "WRITE y 1")
	must.True(t, WaitFor(syncTimeout, func() bool { return g.Target("t1").Writes()["y"] == 1 }))
	must.Eq(t, 0, g.Target("t2").Writes()["y"])
	control.query(ownID, "RESUME")
	must.StrHasPrefix(t, "COMPLETE t1.w2", writer.line())
	must.StrHasPrefix(t, "READY I", writer.line())
	must.Eq(t, 1, g.Target("t2").Writes()["y"])
	control.query(ownID, "PAUSE 3")
	writer.send("w3", "WRITE z 1")
	must.True(t, WaitFor(syncTimeout, func() bool { return g.Target("t1").Writes()["z"] == 1 }))
	must.True(t, g.promote(Promotion{Target: "t2"}))
	must.StrHasPrefix(t, "ERROR TIMEOUT", writer.line())
}
