package soak

import (
	"os/exec"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/standin/hosted"
)

// TestCutStatementIsJudged checks which statements without an answer are violations. Times are in
// milliseconds after the signal.
func TestCutStatementIsJudged(t *testing.T) {
	signalAt := time.Unix(1000, 0)
	at := func(ms int) time.Time { return signalAt.Add(time.Duration(ms) * time.Millisecond) }
	for name, c := range map[string]struct {
		signal     string
		sent, end  int
		ran        bool
		began      int
		ended      int // 0 if the target has not ended the statement
		brokeOff   bool
		late       int
		delivered  int    // at the node, if closed is set
		closed     int    // by the node; 0 if that is not known
		kind       string // of the route; kindOrders if empty
		isViolated bool
	}{
		"run by a target":                {signal: sigterm, sent: 100, end: 120, ran: true, began: 105, ended: 130, isViolated: true},
		"run, before the signal":         {signal: sigterm, sent: -50, end: 20, ran: true, began: -40, ended: 30, isViolated: true},
		"run, late in a transaction":     {signal: sigterm, sent: 4900, end: 5600, ran: true, began: 4910, ended: 5700, isViolated: true},
		"not run, at once":               {signal: sigterm, sent: 100, end: 290},
		"not run, late":                  {signal: sigterm, sent: 100, end: 310, isViolated: true},
		"not run, late with the soak":    {signal: sigterm, sent: 100, end: 310, late: 10},
		"run, late with the soak":        {signal: sigterm, sent: 100, end: 310, late: 10, ran: true, began: 105, ended: 400, isViolated: true},
		"not run, closed before it came": {signal: sigterm, sent: 100, end: 900, delivered: 500, closed: 499},
		"not run, never delivered":       {signal: sigterm, sent: 100, end: 900, delivered: 50, closed: 899},
		"not run, not held for long":     {signal: sigterm, sent: 100, end: 900, delivered: 500, closed: 700},
		"not run, held":                  {signal: sigterm, sent: 100, end: 900, delivered: 500, closed: 701, isViolated: true},
		"the target broke off":           {signal: sigterm, sent: 100, end: 500, ran: true, began: 105, ended: 500, brokeOff: true},
		"time-out":                       {signal: sigterm, sent: 100, end: 1100, ran: true, began: 105, ended: 1200},
		"time-out of 3 s":                {signal: sigterm, sent: 100, end: 3100, ran: true, began: 105, ended: 3200, kind: kindProofs},
		"within a time-out of 3 s":       {signal: sigterm, sent: 100, end: 3000, ran: true, began: 105, ended: 3200, kind: kindProofs, isViolated: true},
		"sent early, at work late":       {signal: sigterm, sent: 3000, end: 3900, ran: true, began: 3100, ended: 5001},
		"sent early, never ended":        {signal: sigterm, sent: 3000, end: 3900, ran: true, began: 3100},
		"sent early, ended before":       {signal: sigterm, sent: 3000, end: 3900, ran: true, began: 3100, ended: 4999, isViolated: true},
		"sent late, at work late":        {signal: sigterm, sent: 3001, end: 3900, ran: true, began: 3100, ended: 5500, isViolated: true},
		"at work late but after SIGHUP":  {signal: sighup, sent: 2900, end: 3800, ran: true, began: 3000, ended: 5500, isViolated: true},
	} {
		if c.kind == "" {
			c.kind = kindOrders
		}
		cut := &cut{route: route{kind: c.kind}, answer: &answer{sentAt: at(c.sent), endAt: at(c.end)}, signal: c.signal, signalAt: signalAt, late: time.Duration(c.late) * time.Millisecond}
		if c.closed != 0 {
			cut.delivered, cut.closed = at(c.delivered), at(c.closed)
		}
		run := hosted.Run{Began: at(c.began), BrokeOff: c.brokeOff}
		if c.ended != 0 {
			run.Ended = at(c.ended)
		}
		must.Eq(t, c.isViolated, cut.excuse(run, c.ran) == "", must.Sprint(name))
	}
}

// TestPlannedWork checks which requests a signal concerns, and that the last SIGTERM is taken.
func TestPlannedWork(t *testing.T) {
	at := func(seconds float64) time.Time {
		return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
	}
	n := &node{stops: []time.Time{at(10), at(15)}, hangups: []time.Time{at(40)}}
	for _, c := range []struct {
		from, to   float64
		wantSignal string
		wantAt     float64
	}{
		{9, 9.9, "", 0},
		{9, 10.1, sigterm, 10},
		{14, 14.5, sigterm, 10},
		{14, 15.1, sigterm, 15},
		{21.9, 23, sigterm, 15},
		{22.1, 23, "", 0},
		{39, 40.1, sighup, 40},
		{42.9, 44, sighup, 40},
		{43.1, 44, "", 0},
	} {
		signal, since := n.plannedWork(at(c.from), at(c.to))
		must.Eq(t, c.wantSignal, signal, must.Sprintf("%+v", c))
		if signal != "" {
			must.Eq(t, at(c.wantAt), since, must.Sprintf("%+v", c))
		}
	}
}

// TestLatenessIsMeasured checks that the worst lateness of a span is found, and none outside of it.
func TestLatenessIsMeasured(t *testing.T) {
	began := time.Unix(1000, 0)
	var l lateness
	l.note(began, began.Add(latenessInterval))
	l.note(began.Add(time.Second), began.Add(1300*time.Millisecond))
	must.Eq(t, 0, l.during(began, began.Add(500*time.Millisecond)))
	must.Eq(t, 295*time.Millisecond, l.during(began.Add(1200*time.Millisecond), began.Add(1250*time.Millisecond)))
}

// TestKilledProcessIsTold checks that the end by SIGKILL is told from an end of the process's own, which
// decides whether a stop took too long.
func TestKilledProcessIsTold(t *testing.T) {
	must.True(t, wasKilled(exec.Command("sh", "-c", "kill -9 $$").Run()))
	must.False(t, wasKilled(exec.Command("sh", "-c", "kill -15 $$").Run()))
	must.False(t, wasKilled(exec.Command("sh", "-c", "exit 3").Run()))
	must.False(t, wasKilled(nil))
}
