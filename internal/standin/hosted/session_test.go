package hosted

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestTargetReadsFieldsAsTheProtocolHasThem checks which statements a target carries out, and that the last
// field of a line may have blanks and any other bytes but CR LF.
func TestTargetReadsFieldsAsTheProtocolHasThem(t *testing.T) {
	g := NewGroup("ledger", "t1")
	defer g.Close()
	c, _ := dial(t, g.Target("t1").Address, "ledger")
	for i, step := range []struct{ text, want string }{
		{"WRITE x  two  blanks ", "COMPLETE"},
		{"READ x", "ROW  two  blanks"},
		{"WRITE x READ 7\x00\xff\ty", "COMPLETE"},
		{"READ x", "ROW READ 7\x00\xff\ty"},
		{"WRITE x ", "COMPLETE"},
		{"WRITE x 1", "COMPLETE"},
		{"READ x", "ROW 1"},
		{"WRITE x", "ERROR MALFORMED"},
		{"WRITE  x", "ERROR MALFORMED"},
		{"READ", "ERROR MALFORMED"},
		{"READ ", "ERROR MALFORMED"},
		{"READ x y", "COMPLETE"},
		{"AFTER 1.1 READ x", "ROW"},
		{"AFTER 1.1 WRITE x 1", "ERROR MALFORMED"},
		{"AFTER 1.1", "ERROR MALFORMED"},
		{"read x", "ERROR MALFORMED"},
		{"RESET x", "ERROR MALFORMED"},
		{"SET a", "ERROR MALFORMED"},
		{"SET a ", "COMPLETE"},
		{"SET  b", "ERROR MALFORMED"},
		{"PREPARE s READ", "ERROR MALFORMED"},
		{"PREPARE s EXEC q", "ERROR MALFORMED"},
		{"EXEC s x", "ERROR NOSTMT"},
		{"PREPARE s READ q READ p", "COMPLETE"},
		{"EXEC s x", "ROW"},
		{"EXEC s x y", "ERROR MALFORMED"},
		{"EXEC s", "ERROR MALFORMED"},
		{"PREPARE s WRITE q", "COMPLETE"},
		{"EXEC s x", "ERROR MALFORMED"},
		{"EXEC s x a b", "COMPLETE"},
		{"READ x", "ROW a b"},
		{"DEALLOC s", "COMPLETE"},
		{"DEALLOC s", "ERROR NOSTMT"},
		{"EXEC s x a", "ERROR NOSTMT"},
		{"DEALLOC", "ERROR MALFORMED"},
		{"PREPARE s WRITE q", "COMPLETE"},
		{"RESET", "COMPLETE"},
		{"EXEC s x a", "ERROR NOSTMT"},
		{"BEGIN WRITE", "ERROR MALFORMED"},
		{"BEGIN", "COMPLETE"},
		{"WRITE y 1", "COMPLETE"},
		{"READ", "ERROR MALFORMED"},
		{"READ y", "ERROR MALFORMED"},
		{"SET a b", "ERROR MALFORMED"},
		{"COMMIT", "ERROR ABORTED"},
		{"READ y", "COMPLETE"},
		{"BEGIN", "COMPLETE"},
		{"BEGIN", "ERROR MALFORMED"},
		{"ROLLBACK", "COMPLETE"},
		{"READ x", "ROW a b"},
	} {
		line := c.query(fmt.Sprint(i), step.text)
		must.StrHasPrefix(t, step.want, line, must.Sprintf("step %d, %q", i, step.text))
	}
}

// TestLineEndsWithCRLF checks that a CR or LF alone does not end a line, and that a target ends a connection
// whose line is too long or unknown.
func TestLineEndsWithCRLF(t *testing.T) {
	g := NewGroup("ledger", "t1")
	defer g.Close()
	address := g.Target("t1").Address
	c, _ := dial(t, address, "ledger")
	must.StrHasPrefix(t, "COMPLETE", c.query("q1", "WRITE x a\nQUERY q2 WRITE y b\rc\n"))
	ran := g.Target("t1").Ran()
	must.Len(t, 1, ran)
	must.Eq(t, "WRITE x a\nQUERY q2 WRITE y b\rc\n", ran[0].Text)
	must.MapNotContainsKey(t, g.Target("t1").Writes(), "y")
	fits := "WRITE x " + strings.Repeat("d", maxLineBytes-len("QUERY q3 WRITE x \r\n"))
	must.StrHasPrefix(t, "COMPLETE", c.query("q3", fits))
	c.send("q4", fits+"d")
	must.StrHasPrefix(t, "ERROR MALFORMED", c.line())
	for _, line := range []string{"QUERY", "QUERY q", "QUERY  READ x", "READ x", "QUERY q "} {
		c, _ := dial(t, address, "ledger")
		_, _ = fmt.Fprintf(c.conn, "%s\r\n", line)
		must.StrHasPrefix(t, "ERROR MALFORMED", c.line(), must.Sprint(line))
		must.Eq(t, "EOF", c.line(), must.Sprint(line))
	}
}

// TestStartupFieldsShift guards against fields that shift where one is empty: the target's ID was taken for the
// customer's name. Callers without a customer have an empty name.
func TestStartupFieldsShift(t *testing.T) {
	for _, line := range []string{"STARTUP  maker t1", "STARTUP ledger maker ", "STARTUP ledger acme corp t1", "STARTUP ledger", "START ledger maker"} {
		_, ok := parseStartup(line)
		must.False(t, ok, must.Sprint(line))
	}
	login, ok := parseStartup("STARTUP ledger  t1")
	must.True(t, ok)
	must.Eq(t, startup{service: "ledger", id: "t1"}, login)
	login, ok = parseStartup("STARTUP ledger maker t1")
	must.True(t, ok)
	must.Eq(t, startup{service: "ledger", customer: "maker", id: "t1"}, login)
	g := NewGroup("ledger", "t1")
	defer g.Close()
	_, answer := dial(t, g.Target("t1").Address, "ledger ")
	must.StrHasPrefix(t, "ERROR WRONGNODE", answer)
}

// TestRecordSaysWhatAStatementRanWith checks the record of a target: the prepared statement, its arguments,
// the settings, the connection, the transaction and the result.
func TestRecordSaysWhatAStatementRanWith(t *testing.T) {
	g := NewGroup("ledger", "t1")
	defer g.Close()
	first, _ := dial(t, g.Target("t1").Address, "ledger")
	second, _ := dial(t, g.Target("t1").Address, "ledger")
	for _, text := range []string{"PREPARE p WRITE a b", "SET tz  x y"} {
		first.query(ownID, text)
	}
	first.query("b", "BEGIN")
	first.query("e", "EXEC p item some data")
	second.query("r", "READ item")
	first.query("o", "READ item")
	first.query("n", "EXEC q item")
	ran := g.Target("t1").Ran()
	must.Len(t, 5, ran)
	begin, exec, read, own, unknown := ran[0], ran[1], ran[2], ran[3], ran[4]
	must.Eq(t, &Prepared{Kind: KindWrite, Shape: "a b"}, exec.Prepared)
	must.Eq(t, "item some data", exec.Arguments)
	must.Eq(t, map[string]string{"tz": " x y"}, exec.Settings)
	must.NotEq(t, 0, begin.Transaction)
	must.Eq(t, begin.Transaction, exec.Transaction)
	must.Eq(t, 0, read.Transaction)
	must.Eq(t, begin.Connection, exec.Connection)
	must.NotEq(t, begin.Connection, read.Connection)
	must.Nil(t, unknown.Prepared)
	must.Eq(t, "NOSTMT", unknown.Result)
	must.Eq(t, "", exec.Result)
	must.SliceEmpty(t, read.Rows)
	must.Eq(t, []string{"some data"}, own.Rows)
}

// TestSetupIsRefusedBySeed checks that a share of the proxy's own set-up statements is refused, the same ones
// with the same seed, and none that a caller sent.
func TestSetupIsRefusedBySeed(t *testing.T) {
	play := func(id string, seed uint64) (answers string) {
		g := NewGroup("ledger", "t1")
		defer g.Close()
		g.Load.SetupRefusals, g.Load.Seed = 3, seed
		c, _ := dial(t, g.Target("t1").Address, "ledger")
		for range 60 {
			answers += c.query(id, "SET a b") + "|"
		}
		must.StrHasPrefix(t, "COMPLETE", c.query(ownID, "ROLLBACK"))
		return answers
	}
	must.Eq(t, play(ownID, 1), play(ownID, 1))
	must.NotEq(t, play(ownID, 1), play(ownID, 2))
	must.StrContains(t, play(ownID, 1), "ERROR BUSY")
	must.StrContains(t, play(ownID, 1), "COMPLETE")
	must.StrNotContains(t, play("q", 1), "ERROR")
}

// setupOutcomes plays 200 set-up statements of the proxy in transactions of their own, and counts how targets
// answer them and in which state the transaction then is; a lost or cut answer counts as it was received.
func setupOutcomes(t *testing.T, g *Group) map[string]int {
	outcomes := make(map[string]int)
	g.Target("t1").SetMaxConnections(201)
	for range 200 {
		c, _ := dial(t, g.Target("t1").Address, "ledger")
		c.query("b", "BEGIN")
		c.send(ownID, "SET a b")
		answer := ""
		for !strings.Contains(answer, "READY") && !strings.Contains(answer, "EOF") {
			word, rest, _ := strings.Cut(c.line(), " ")
			code, _, _ := strings.Cut(rest, " ")
			answer += word + " " + code + "|"
		}
		outcomes[answer]++
		if strings.Contains(answer, "READY T") {
			c.query("r", "READ x")
		}
		must.NoError(t, c.conn.Close())
	}
	return outcomes
}

// TestSetupFailsAfterItsEffect checks which faults of set-up statements are played, and that those that tell
// of a run have an effect.
func TestSetupFailsAfterItsEffect(t *testing.T) {
	g := NewGroup("ledger", "t1")
	defer g.Close()
	g.Load.SetupRefusals, g.Load.SetupFailures = 3, 3
	outcomes := setupOutcomes(t, g)
	for _, answer := range []string{
		"COMPLETE -|READY T|", "ERROR BUSY|READY E|", "ERROR BUSY|READY T|", "ERROR FAILED|READY T|", "ERROR TIMEOUT|READY T|", "EOF |", "COMPLETE -|EOF |",
	} {
		must.Positive(t, outcomes[answer], must.Sprint(answer, outcomes))
	}
	must.MapLen(t, 7, outcomes, must.Sprint(outcomes))
	withEffect := 0
	for _, ran := range g.Target("t1").Ran() {
		if ran.Text == "READ x" && ran.Settings["a"] == "b" {
			withEffect++
		}
	}
	must.Eq(t, outcomes["COMPLETE -|READY T|"]+outcomes["ERROR FAILED|READY T|"]+outcomes["ERROR TIMEOUT|READY T|"], withEffect)
}

// TestReadBehindItsPositionIsRefused checks that a target refuses what needs a position that its log lacks.
func TestReadBehindItsPositionIsRefused(t *testing.T) {
	g := NewGroup("ledger", "t1", "t2")
	defer g.Close()
	g.Lag = time.Hour
	primary, _ := dial(t, g.Target("t1").Address, "ledger")
	replica, _ := dial(t, g.Target("t2").Address, "ledger")
	primary.query("w", "WRITE x 1")
	for _, c := range []struct {
		client *client
		text   string
		want   string
	}{
		{primary, "AFTER 1.1 READ x", "ROW 1"},
		{primary, "AFTER 1.2 READ x", "ERROR LAGGING"},
		{primary, "AFTER 2.0 BEGIN", "ERROR LAGGING"},
		{replica, "AFTER 1.0 READ x", "COMPLETE"},
		{replica, "AFTER 1.1 READ x", "ERROR LAGGING"},
		{replica, "AFTER 0.9 READ x", "COMPLETE"},
		{primary, "AFTER x.1 READ x", "ERROR MALFORMED"},
	} {
		must.StrHasPrefix(t, c.want, c.client.query("q", c.text), must.Sprint(c.text))
	}
}

// TestIdleConnectionsAreClosed checks that only connections that wait outside a transaction are closed.
func TestIdleConnectionsAreClosed(t *testing.T) {
	g := NewGroup("ledger", "t1")
	defer g.Close()
	idle, _ := dial(t, g.Target("t1").Address, "ledger")
	open, _ := dial(t, g.Target("t1").Address, "ledger")
	open.query("b", "BEGIN")
	must.Eq(t, 0, g.Target("t1").CloseIdle(func() bool { return false }))
	must.True(t, WaitFor(10*time.Second, func() bool { return g.Target("t1").CloseIdle(func() bool { return true }) == 1 }))
	must.Eq(t, "EOF", idle.line())
	must.StrHasPrefix(t, "COMPLETE", open.query("c", "COMMIT"))
}
