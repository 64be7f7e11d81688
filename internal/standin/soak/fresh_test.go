package soak

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/standin/hosted"
)

// ranAt has a target carry out statements and returns the record of the last one.
func ranAt(t *testing.T, g *hosted.Group, id string, texts ...string) hosted.Statement {
	t.Helper()
	conn, err := net.Dial("tcp", g.Target(id).Address)
	must.NoError(t, err)
	defer conn.Close()
	in := bufio.NewReader(conn)
	await := func() {
		for line := ""; !strings.HasPrefix(line, "READY"); {
			line, err = in.ReadString('\n')
			must.NoError(t, err)
		}
	}
	_, _ = fmt.Fprintf(conn, "STARTUP %s maker\r\n", g.Name)
	await()
	for _, text := range texts {
		_, _ = fmt.Fprintf(conn, "QUERY q %s\r\n", text)
		await()
	}
	ran := g.Target(id).Ran()
	return ran[len(ran)-1]
}

// TestStaleReadIsFound checks for a read at a replica that lacks a commit which kinds of routes allow it, by when
// the commit was acknowledged and whether the session's own, and that an undone commit is excused.
func TestStaleReadIsFound(t *testing.T) {
	g := hosted.NewGroup("pages", "t1", "t2")
	defer g.Close()
	g.Lag = time.Hour
	written := ranAt(t, g, "t1", "WRITE x 1")
	must.False(t, written.Commit.IsZero())
	stale, fresh := ranAt(t, g, "t2", "READ x"), ranAt(t, g, "t1", "READ x")
	at := func(millis int) time.Time { return time.Unix(1000, 0).Add(time.Duration(millis) * time.Millisecond) }
	for name, c := range map[string]struct {
		kind          string
		ran           hosted.Statement
		sentAt        int
		txSentAt      int
		isOwn, undone bool
		broken        int
	}{
		"at the primary":                {kind: kindOrders, ran: fresh, sentAt: 9000},
		"primary route":                 {kind: kindOrders, ran: stale, sentAt: 1001, broken: 1},
		"primary route, undone":         {kind: kindOrders, ran: stale, sentAt: 1001, undone: true},
		"sent before":                   {kind: kindOrders, ran: stale, sentAt: 999},
		"transaction begun before":      {kind: kindOrders, ran: stale, sentAt: 1500, txSentAt: 999},
		"transaction begun later":       {kind: kindOrders, ran: stale, sentAt: 1500, txSentAt: 1001, broken: 1},
		"bounded, young":                {kind: kindProofs, ran: stale, sentAt: 1000 + maxStalenessMS},
		"bounded, old":                  {kind: kindProofs, ran: stale, sentAt: 1001 + maxStalenessMS, broken: 1},
		"bounded, own":                  {kind: kindProofs, ran: stale, sentAt: 1001, isOwn: true},
		"read your writes, another's":   {kind: kindJobs, ran: stale, sentAt: 1001},
		"read your writes, own":         {kind: kindJobs, ran: stale, sentAt: 1001, isOwn: true, broken: 1},
		"read your writes, own, undone": {kind: kindJobs, ran: stale, sentAt: 1001, isOwn: true, undone: true},
	} {
		j := newJudge()
		f := newFreshness(j)
		write := &sent{request: request{text: "WRITE x 1"}, group: "pages"}
		f.observe(write, &written, at(1000))
		read := &sent{request: request{text: "READ x"}, group: "pages", kind: c.kind, sentAt: at(c.sentAt)}
		if c.txSentAt > 0 {
			read.transaction = &transaction{sentAt: at(c.txSentAt)}
		}
		if c.isOwn {
			read.committed = written.Commit
		}
		f.observe(read, &c.ran, at(c.sentAt+10))
		f.judgeLog("pages", func(hosted.Commit) bool { return !c.undone })
		must.Eq(t, 1, j.rules[ruleFresh].Checked, must.Sprint(name))
		must.Eq(t, c.broken, j.rules[ruleFresh].Broken, must.Sprint(name))
	}
}

// TestLaterCommitIsRequired checks that of commits that were acknowledged out of order the last one in the log is
// required.
func TestLaterCommitIsRequired(t *testing.T) {
	g := hosted.NewGroup("pages", "t1")
	defer g.Close()
	first, second := ranAt(t, g, "t1", "WRITE x 1"), ranAt(t, g, "t1", "WRITE y 1")
	must.True(t, first.Commit.Less(second.Commit))
	f := newFreshness(newJudge())
	write := &sent{request: request{text: "WRITE x 1"}, group: "pages"}
	f.observe(write, &first, time.Unix(1002, 0))
	f.observe(write, &second, time.Unix(1001, 0))
	read := &sent{group: "pages", kind: kindOrders}
	for after, want := range map[int]hosted.Commit{1000: {}, 1001: {}, 1002: second.Commit, 1003: second.Commit} {
		read.sentAt = time.Unix(int64(after), 0)
		must.Eq(t, want, f.required(read))
	}
}
