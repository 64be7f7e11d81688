package requestlog

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"
)

// TestVolumeIsBounded: 10,000 refusals at one instant write only a burst of lines, and the
// next line carries the number of suppressed ones.
func TestVolumeIsBounded(t *testing.T) {
	l := New(log.NewNopLogger())
	now := time.Unix(100, 0)
	written := 0
	for range 10_000 {
		if l.Allow("busy", now) {
			written++
			l.Write(Entry{ID: "a", Outcome: "busy"})
		}
	}
	must.Eq(t, lineBurst, written)
	must.True(t, l.Allow("busy", now.Add(time.Second)))
	l.Write(Entry{ID: "b", Outcome: "busy"})
	var last []any
	for len(l.queue) > 0 {
		last = <-l.queue
	}
	must.Eq(t, []any{"left_out", 10_000 - lineBurst}, last[len(last)-2:])
}

// TestFullQueueDropsLines: without a running writer, Write drops lines and counts them
// instead of blocking.
func TestFullQueueDropsLines(t *testing.T) {
	l := New(log.NewNopLogger())
	for range queueCapacity + 7 {
		l.Write(Entry{ID: "a", Outcome: "busy"})
	}
	must.Eq(t, "7", l.Counts.Get("dropped").String())
}

// TestEntryFormat: a written line carries the request's id, session, outcome and fields.
func TestEntryFormat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out strings.Builder
		l := New(log.NewLogfmtLogger(&out))
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- l.Run(ctx) }()
		l.Write(Entry{ID: "7f", Session: "n.1", Outcome: "late", Fields: []any{"took", time.Second}})
		synctest.Wait()
		stop()
		must.NoError(t, <-ended)
		must.Eq(t, "event=request id=7f session=n.1 outcome=late took=1s\n", out.String())
	})
}

// TestLinesOfBrokenOffRequestsAreLost guards against a log without the requests that the end of a stop
// broke off: they are decided after Run has ended.
func TestLinesOfBrokenOffRequestsAreLost(t *testing.T) {
	var out strings.Builder
	l := New(log.NewLogfmtLogger(&out))
	ctx, stop := context.WithCancel(t.Context())
	stop()
	must.NoError(t, l.Run(ctx))
	l.Write(Entry{ID: "7f", Session: "n.1", Outcome: "outcome_unknown"})
	l.Write(Entry{ID: "80", Session: "n.2", Outcome: "outcome_unknown"})
	l.Flush()
	must.Eq(t, 2, strings.Count(out.String(), "\n"))
	must.Eq(t, 0, len(l.queue))
}

// TestOddNamesStayOneField guards against a name that ends its field or its line of the log.
func TestOddNamesStayOneField(t *testing.T) {
	for name, logged := range map[string]string{
		"a b":                     `"a b"`,
		"a=b":                     `"a=b"`,
		`"a" outcome=ok`:          `"\"a\" outcome=ok"`,
		"a\r\nevent=request id=1": `"a\r\nevent=request id=1"`,
		"a\x00":                   `"a\u0000"`,
		"\xff":                    `"\ufffd"`,
		"":                        ``,
	} {
		var out strings.Builder
		l := New(log.NewLogfmtLogger(&out))
		l.Write(Entry{ID: name, Session: name, Outcome: "late", Fields: []any{"customer", name, "cause", errors.New(name)}})
		l.Flush()
		must.Eq(t, fmt.Sprintf("event=request id=%[1]s session=%[1]s outcome=late customer=%[1]s cause=%[1]s\n", logged), out.String())
	}
}
