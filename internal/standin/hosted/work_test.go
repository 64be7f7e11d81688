package hosted

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// client is a connection to a target.
type client struct {
	conn net.Conn
	in   *bufio.Reader
}

// dial connects to a target and returns the answer to the login.
func dial(t *testing.T, address, group string) (*client, string) {
	conn, err := net.Dial("tcp", address)
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	c := &client{conn: conn, in: bufio.NewReader(conn)}
	_, err = fmt.Fprintf(conn, "STARTUP %s maker\r\n", group)
	must.NoError(t, err)
	return c, c.line()
}

func (c *client) line() string {
	line, err := c.in.ReadString('\n')
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(line)
}

func (c *client) send(id, text string) { _, _ = fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text) }

// query returns the words that the answer's lines begin with, and the code of an error.
func (c *client) query(id, text string) string {
	c.send(id, text)
	line := c.line()
	if strings.HasPrefix(line, "READY") || !strings.Contains(line, " ") {
		return line
	}
	for next := line; !strings.HasPrefix(next, "READY"); {
		next = c.line()
	}
	return line
}

// TestTargetIsBusyBeyondItsQueue checks that a target runs as many statements at once as it has slots,
// keeps a queue, refuses more, and that the runs are recorded.
func TestTargetIsBusyBeyondItsQueue(t *testing.T) {
	g := NewGroup("ledger", "t1")
	defer g.Close()
	finish := make(chan struct{})
	working := make(chan struct{})
	g.Load = Load{Slots: 1, Queue: 1, Work: func() time.Duration {
		working <- struct{}{}
		<-finish
		return 0
	}}
	address := g.Target("t1").Address
	first, _ := dial(t, address, "ledger")
	second, _ := dial(t, address, "ledger")
	third, _ := dial(t, address, "ledger")
	first.send("q1", "READ x")
	<-working
	second.send("q2", "READ x")
	must.True(t, WaitFor(10*time.Second, func() bool { return g.Target("t1").demand.Load() == 2 }))
	must.Eq(t, "ERROR BUSY t1", third.query("q3", "READ x"))
	finish <- struct{}{}
	must.Eq(t, "COMPLETE t1.q1", first.line())
	<-working
	finish <- struct{}{}
	must.Eq(t, "COMPLETE t1.q2", second.line())
	run, ok := g.Run("q3")
	must.True(t, ok)
	must.Eq(t, "BUSY", run.Result)
	run, _ = g.Run("q2")
	must.False(t, run.Ended.IsZero() || run.BrokeOff || run.Result != "")
	_, ok = g.Run("q4")
	must.False(t, ok)
}

// TestTargetThatEndsRunsNothing checks that a statement at work when its target ends has no effect and no
// answer, and that the record says that the target broke off.
func TestTargetThatEndsRunsNothing(t *testing.T) {
	g := NewGroup("ledger", "t1")
	defer g.Close()
	working, finish := make(chan struct{}), make(chan struct{})
	g.Load.Work = func() time.Duration {
		close(working)
		<-finish
		return 0
	}
	c, _ := dial(t, g.Target("t1").Address, "ledger")
	c.send("q1", "WRITE x 1")
	<-working
	g.Target("t1").Kill()
	g.Target("t1").Restart()
	close(finish)
	must.Eq(t, "EOF", c.line())
	must.True(t, WaitFor(10*time.Second, func() bool {
		run, _ := g.Run("q1")
		return run.BrokeOff
	}))
	must.MapEmpty(t, g.Target("t1").Writes())
}

// TestReplacedTargetKeepsItsLog checks that a target that replaces the primary has its address and log
// and is a replica, that the group is led once it is promoted, and that a replica follows it.
func TestReplacedTargetKeepsItsLog(t *testing.T) {
	g := NewGroup("ledger", "t1", "t2")
	defer g.Close()
	old := g.Target("t1")
	old.RegisteredAddress = "127.0.0.1:7"
	c, _ := dial(t, old.Address, "ledger")
	must.Eq(t, "COMPLETE t1.q1", c.query("q1", "WRITE x 1"))
	t3 := g.Replace(old, "t3")
	must.Eq(t, "EOF", c.line())
	must.Eq(t, old.Address, t3.Address)
	must.StrContains(t, string(g.Entry("t3", "a", "ready")), "127.0.0.1:7")
	must.Nil(t, g.Leader())
	must.Eq(t, map[string]int{"x": 1}, t3.Writes())
	must.False(t, g.promote(Promotion{Target: "t1"}))
	must.True(t, g.promote(Promotion{Target: "t3"}))
	must.True(t, WaitFor(10*time.Second, func() bool { return g.Leader() == t3 }))
	c, _ = dial(t, t3.Address, "ledger")
	must.Eq(t, "COMPLETE t3.q2", c.query("q2", "WRITE y 1"))
	must.Eq(t, map[string]int{"x": 1, "y": 1}, g.Target("t2").Writes())
}
