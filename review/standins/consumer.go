package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

var statementNumber atomic.Uint64

// consumer is one session of a consumer.
type consumer struct {
	rec  *record
	name string
	conn net.Conn
	in   *bufio.Reader
	// quiet suppresses the record of each statement.
	quiet bool
}

// reply is the answer to one statement. Without a final READY, err is set.
type reply struct {
	rows     []string
	complete string
	code     string
	text     string
	state    string
	position string
	err      error
	sent     time.Time
	took     time.Duration
}

// succeeded reports whether the answer carries a backend's digest.
func (r reply) succeeded() bool {
	return r.err == nil && r.code == "" && r.complete != "" && r.complete != "-"
}

func (r reply) String() string {
	switch {
	case r.err != nil:
		return "no answer: " + r.err.Error()
	case r.code != "":
		return fmt.Sprintf("ERROR %s %s, READY %s %s", r.code, r.text, r.state, r.position)
	default:
		return fmt.Sprintf("rows %q COMPLETE %s, READY %s %s", shortAll(r.rows), r.complete, r.state, r.position)
	}
}

func shortAll(rows []string) []string {
	out := make([]string, len(rows))
	for i, r := range rows {
		out[i] = short(r)
	}
	return out
}

// connect opens a session. It returns the error code if the session is refused.
func connect(rec *record, name, address, database, key string) (c *consumer, refused string, err error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, "", err
	}
	c = &consumer{rec: rec, name: name, conn: conn, in: bufio.NewReaderSize(conn, 64<<10)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	_, _ = fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, key)
	line, err := c.in.ReadString('\n')
	if err != nil {
		_ = conn.Close()
		return nil, "", err
	}
	if !strings.HasPrefix(line, "READY ") {
		_ = conn.Close()
		return nil, strings.Fields(line)[1], nil
	}
	return c, "", nil
}

// query sends a statement and waits for its answer, at most for timeout.
func (c *consumer) query(timeout time.Duration, text string) reply {
	id := fmt.Sprintf("%016x", 0x5c00000000000000+statementNumber.Add(1))
	r := reply{sent: time.Now()}
	_ = c.conn.SetDeadline(r.sent.Add(timeout))
	if !c.quiet {
		c.rec.log("consumer %s sends %s %s", c.name, id, short(text))
	}
	if _, err := c.conn.Write([]byte("QUERY " + id + " " + text + "\r\n")); err != nil {
		r.err = err
	}
	for r.err == nil && r.state == "" {
		line, err := c.in.ReadString('\n')
		if err != nil {
			r.err = err
			break
		}
		c.take(&r, strings.TrimRight(line, "\r\n"))
	}
	r.took = time.Since(r.sent)
	if !c.quiet {
		c.rec.log("consumer %s gets for %s: %s", c.name, id, r)
	}
	return r
}

func (c *consumer) take(r *reply, line string) {
	word, rest, _ := strings.Cut(line, " ")
	switch word {
	case "ROW":
		r.rows = append(r.rows, rest)
	case "COMPLETE":
		r.complete = rest
	case "ERROR":
		r.code, r.text, _ = strings.Cut(rest, " ")
	case "READY":
		r.state, r.position, _ = strings.Cut(rest, " ")
	}
}

func (c *consumer) close() {
	_, _ = c.conn.Write([]byte("BYE\r\n"))
	_ = c.conn.Close()
}
