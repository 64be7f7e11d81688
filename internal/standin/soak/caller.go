package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// answerTimeout bounds the wait for one answer.
	answerTimeout = 4 * time.Second
	// maxThinkTime is the longest pause between two operations of a session.
	maxThinkTime = 100 * time.Millisecond
	// maxStatements is the highest number of statements in a transaction.
	maxStatements = 4
)

var statementCount atomic.Uint64

// caller is one session.
type caller struct {
	conn net.Conn
	in   *bufio.Reader
}

// answer is the answer to one statement. err is set if the connection ended before it was complete.
type answer struct {
	id     string
	code   string
	signed bool
	state  string
	err    error
	sentAt time.Time
	endAt  time.Time
}

// acknowledged reports whether a target has run the statement with success.
func (a *answer) acknowledged() bool { return a.err == nil && a.code == "" && a.signed }

// connect opens a session. refused is the error code of a refused login.
func connect(address, service, key string) (c *caller, refused string, err error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, "", err
	}
	c = &caller{conn: conn, in: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := fmt.Fprintf(conn, "STARTUP %s %s\r\n", service, key); err != nil {
		c.close()
		return nil, "", err
	}
	line, err := c.in.ReadString('\n')
	if err != nil {
		c.close()
		return nil, "", err
	}
	if word, rest, _ := strings.Cut(strings.TrimSpace(line), " "); word != "READY" {
		code, _, _ := strings.Cut(rest, " ")
		c.close()
		return nil, code, nil
	}
	return c, "", nil
}

func (c *caller) close() { _ = c.conn.Close() }

// send sends one statement and waits for its answer.
func (c *caller) send(text string) *answer {
	a := &answer{id: fmt.Sprintf("%016x", statementCount.Add(1)), sentAt: time.Now()}
	_ = c.conn.SetDeadline(a.sentAt.Add(answerTimeout))
	_, a.err = fmt.Fprintf(c.conn, "QUERY %s %s\r\n", a.id, text)
	for a.err == nil && a.state == "" {
		var line string
		if line, a.err = c.in.ReadString('\n'); a.err == nil {
			a.take(strings.TrimSpace(line))
		}
	}
	a.endAt = time.Now()
	return a
}

func (a *answer) take(line string) {
	word, rest, _ := strings.Cut(line, " ")
	switch word {
	case "COMPLETE":
		a.signed = rest != "-"
	case "ERROR":
		a.code, _, _ = strings.Cut(rest, " ")
	case "READY":
		a.state, _, _ = strings.Cut(rest, " ")
	}
}

// runSession opens sessions and runs operations in them until the run ends.
func (r *run) runSession(seed uint64) {
	random := rand.New(rand.NewPCG(r.options.Seed, seed))
	service := services[random.IntN(len(services))]
	for !r.hasEnded() {
		n := r.balancer.pick(random)
		c, refused, err := connect(n.front, service, steadyKey)
		if err != nil || refused != "" {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		for !r.hasEnded() && r.operate(random, c, n) {
			time.Sleep(time.Duration(random.Int64N(int64(maxThinkTime))))
		}
		c.close()
	}
}

// operate runs one operation and reports whether the session can go on.
func (r *run) operate(random *rand.Rand, c *caller, n *node) bool {
	if random.IntN(4) > 0 {
		if random.IntN(3) == 0 {
			return r.write(c, n)
		}
		return r.statement(c, n, true, "READ steady").state == "I"
	}
	begun := r.statement(c, n, true, "BEGIN")
	if begun.state != "T" {
		return begun.state == "I"
	}
	var items []string
	for range 1 + random.IntN(maxStatements) {
		time.Sleep(time.Duration(random.Int64N(int64(maxThinkTime))))
		item := r.newItem()
		a := r.statement(c, n, false, "WRITE "+item+" data")
		if a.err != nil {
			return false
		}
		if a.code != "" {
			return r.statement(c, n, false, "ROLLBACK").state == "I"
		}
		items = append(items, item)
	}
	if random.IntN(5) == 0 {
		return r.statement(c, n, false, "ROLLBACK").state == "I"
	}
	a := r.statement(c, n, false, "COMMIT")
	if a.acknowledged() {
		r.noteWritten(items...)
	}
	return a.state == "I"
}

// write writes an item of its own in a single statement.
func (r *run) write(c *caller, n *node) bool {
	item := r.newItem()
	a := r.statement(c, n, true, "WRITE "+item+" data")
	if a.acknowledged() {
		r.noteWritten(item)
	}
	return a.state == "I"
}

// statement sends a statement to n and judges whether it was cut. isFirst is true for a single statement
// or the first one of a transaction.
func (r *run) statement(c *caller, n *node, isFirst bool, text string) *answer {
	a := c.send(text)
	if !isFirst || !n.isStopping(a.sentAt, a.endAt) {
		return a
	}
	if a.err == nil {
		r.judge.check(ruleCut, true, "")
		return a
	}
	r.wait.Go(func() { r.judgeCut(a, n, text) })
	return a
}

// judgeCut judges a statement without an answer, once it is known what the targets have run and which
// faults were active.
func (r *run) judgeCut(a *answer, n *node, text string) {
	time.Sleep(time.Second)
	if r.judge.isExcused(a.sentAt, a.endAt) {
		return
	}
	ran := r.hasRun(a.id)
	late := a.endAt.Sub(a.sentAt) > slack
	r.judge.check(ruleCut, !ran && !late, "%s at %s, %s: sent %s after the signal, ended after %s, run by a target %t: %v",
		a.id, n.name, text, a.sentAt.Sub(n.stoppingSince()).Round(time.Millisecond), a.endAt.Sub(a.sentAt).Round(time.Millisecond), ran, a.err)
}

// refusedInterval is the pause between two statements of sendRefused.
const refusedInterval = 30 * time.Millisecond

// sendRefused sends statements to a node that it refuses, so that its log has lines.
func (r *run) sendRefused(n *node) {
	for !r.hasEnded() {
		c, refused, err := connect(n.front, services[0], steadyKey)
		if err != nil || refused != "" {
			time.Sleep(refusedInterval)
			continue
		}
		for !r.hasEnded() && c.send("EXEC unprepared x").err == nil {
			time.Sleep(refusedInterval)
		}
		c.close()
	}
}
