package soak

import (
	"fmt"
	"time"

	"crocusyoke/internal/standin/hosted"
)

const (
	// judgeDelay is how long after a connection's end its last statement is judged: targets have finished
	// by then, and faults that were active are known.
	judgeDelay = 1500 * time.Millisecond
	// inForceWithin is how long after its acknowledgement a configuration may take to be in force, and how
	// long after SIGHUP a request may be sent that must not be cut.
	inForceWithin = 3 * time.Second
	// earlyTime is how long after SIGTERM a statement may be sent whose target's work in the last
	// lastGraceShare of the grace period excuses that it is cut.
	earlyTime      = 3 * time.Second
	lastGraceShare = 6
)

// statement sends a statement to n and judges whether it was cut.
func (r *run) statement(c *caller, n *node, to route, q request) *answer {
	a := r.send(c, to, q)
	r.judge.count("statements")
	if a.isUnanswered() {
		r.judge.count("statements without an answer in 4 s")
	}
	signal, at := n.plannedWork(a.sentAt, a.endAt)
	if signal == "" {
		return a
	}
	r.judge.count("statements around planned work")
	if q.position > 1 {
		r.judge.count("of these in a transaction")
		if a.sentAt.Sub(at) > earlyTime && signal == sigterm {
			r.judge.count("of these sent later than 3 s after SIGTERM")
		}
	}
	if a.err == nil {
		r.judge.check(ruleCut, true, "")
		return a
	}
	r.wait.Go(func() {
		time.Sleep(judgeDelay)
		r.judgeCut(&cut{answer: a, node: n, route: to, from: c.conn.LocalAddr().String(), openedAt: c.openedAt, text: q.text, position: q.position, signal: signal, signalAt: at})
	})
	return a
}

// send sends a statement and records it, its answer and what the answer acknowledges.
func (r *run) send(c *caller, to route, q request) *answer {
	st := c.statement(newStatementID(), to, q)
	r.statements.note(st)
	a := c.send(st.id, q.text)
	r.statements.noteAnswer(st, a)
	if commit := st.commitOf(a); !commit.IsZero() {
		c.committed = commit
	}
	if a.err == nil && a.code == "" && q.apply != nil {
		q.apply(&c.setup)
	}
	return a
}

// cut is a statement whose connection ended without a complete answer, around a signal to its node.
type cut struct {
	*answer
	node  *node
	route route
	// from is the caller's address.
	from     string
	openedAt time.Time
	text     string
	position int
	signal   string
	signalAt time.Time
	// delivered is when the statement reached the node and closed when the node's end was seen, by the
	// link between them; zero if that is not known.
	delivered, closed time.Time
	// late is by how much this process was late meanwhile: it may have passed the statement on that much
	// later than it was sent.
	late time.Duration
}

// judgeCut judges a statement without an answer.
func (r *run) judgeCut(c *cut) {
	if r.judge.isExcused(c.sentAt, c.endAt) {
		return
	}
	run, ran := r.findRun(c.id)
	if c.node.entry != nil {
		c.delivered, c.closed = c.node.entry.Passage(c.from)
	}
	c.late = r.lateness.during(c.sentAt, c.endAt)
	if reason := c.excuse(run, ran); reason != "" {
		r.judge.count("ended without an answer: " + reason)
		r.judge.check(ruleCut, true, "")
		return
	}
	r.judge.check(ruleCut, false, "%s; the soak itself was late by up to %s", c.describe(run, ran),
		c.late.Round(time.Millisecond))
}

// excuse returns why the statement may have ended without an answer, or "".
func (c *cut) excuse(run hosted.Run, ran bool) string {
	switch {
	case !ran && c.heldFor() <= slack:
		return "read by no target, within the slack"
	case !ran && c.heldFor() <= slack+c.late:
		return "read by no target, within the slack and the time by which the soak was late"
	case ran && run.BrokeOff:
		return "the target broke off"
	case c.endAt.Sub(c.sentAt) >= timeouts[c.route.kind]:
		return "time-out reached"
	case ran && c.signal == sigterm && c.isAtWorkLate(run):
		return "sent early, at work late"
	}
	return ""
}

// heldFor returns how long the node had the statement. It is 0 if the node closed before.
func (c *cut) heldFor() time.Duration {
	switch {
	case c.closed.IsZero():
		return c.endAt.Sub(c.sentAt)
	case c.delivered.Before(c.sentAt):
		return 0
	}
	return max(0, c.closed.Sub(c.delivered))
}

// isAtWorkLate reports whether the target was at work in the last part of the grace period on a statement
// that was sent early.
func (c *cut) isAtWorkLate(run hosted.Run) bool {
	deadline := c.signalAt.Add(grace)
	endsLate := run.Ended.IsZero() || run.Ended.After(deadline.Add(-grace/lastGraceShare))
	return c.sentAt.Sub(c.signalAt) <= earlyTime && run.Began.Before(deadline) && endsLate
}

func (c *cut) describe(run hosted.Run, ran bool) string {
	since := func(at time.Time) string {
		if at.IsZero() {
			return "never"
		}
		return at.Sub(c.signalAt).Round(time.Millisecond).String()
	}
	text := fmt.Sprintf("%s %s to %s at %s, statement %d of its operation: %s at %s; session opened %s, sent %s, ended %s (%v)",
		c.id, shorten(c.text), c.route.name, c.node.name, c.position, c.signal, c.signalAt.UTC().Format("15:04:05.000"),
		since(c.openedAt), since(c.sentAt), since(c.endAt), c.err)
	text += fmt.Sprintf("; at the node %s, closed there %s", since(c.delivered), since(c.closed))
	if ran {
		text += fmt.Sprintf("; at target %s from %s to %s %s", run.Target, since(run.Began), since(run.Ended), run.Result)
	}
	return text
}
