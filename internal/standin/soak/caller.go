package soak

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"crocusyoke/internal/standin/hosted"
)

// answerTimeout bounds the wait for one answer.
const answerTimeout = 4 * time.Second

// noDigest is in an answer in place of a target's digest.
const noDigest = "-"

var statementCount atomic.Uint64

// caller is one session.
type caller struct {
	conn     net.Conn
	in       *bufio.Reader
	openedAt time.Time
	customer customer
	setup    setup
	// isPlain is set if the session has plain words only.
	isPlain bool
	// committed is the session's last commit that was acknowledged.
	committed hosted.Commit
}

// answer is the answer to one statement. err is set if the connection ended before it was complete.
type answer struct {
	id     string
	code   string
	digest string
	rows   []string
	state  string
	err    error
	sentAt time.Time
	endAt  time.Time
}

// acknowledged reports whether a target has run the statement with success.
func (a *answer) acknowledged() bool { return a.err == nil && a.code == "" && a.digest != noDigest }

// isUnanswered reports whether the caller gave up while the connection was still open.
func (a *answer) isUnanswered() bool { return errors.Is(a.err, os.ErrDeadlineExceeded) }

// connect opens a session. refused is the error code of a refused login.
func connect(address string, to route, as customer) (c *caller, refused string, err error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, "", err
	}
	c = &caller{conn: conn, in: bufio.NewReader(conn), openedAt: time.Now(), customer: as, setup: newSetup()}
	_ = conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := fmt.Fprintf(conn, "STARTUP %s %s\r\n", to.name, as.key); err != nil {
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

// bye ends the session as the protocol has it.
func (c *caller) bye() {
	_, _ = fmt.Fprint(c.conn, "BYE\r\n")
	c.close()
}

func newStatementID() string { return fmt.Sprintf("%016x", statementCount.Add(1)) }

// statement returns the record of a statement that the caller is about to send.
func (c *caller) statement(id string, to route, q request) *sent {
	return &sent{request: q, id: id, group: to.database.group.Name, kind: to.kind, committed: c.committed, customer: c.customer.name, settings: c.setup.settings, sentAt: time.Now()}
}

// send sends one statement and waits for its answer.
func (c *caller) send(id, text string) *answer { return c.exchange(id, "QUERY "+id+" "+text+"\r\n") }

// exchange sends a line with the statement that has the given ID, and waits for its answer.
func (c *caller) exchange(id, line string) *answer {
	a := &answer{id: id, sentAt: time.Now()}
	_ = c.conn.SetDeadline(a.sentAt.Add(answerTimeout))
	_, a.err = c.conn.Write([]byte(line))
	for a.err == nil && a.state == "" {
		var line string
		if line, a.err = c.in.ReadString('\n'); a.err == nil {
			a.take(line)
		}
	}
	a.endAt = time.Now()
	return a
}

func (a *answer) take(line string) {
	word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
	switch word {
	case "ROW":
		a.rows = append(a.rows, rest)
	case "COMPLETE":
		a.digest = rest
	case "ERROR":
		a.code, _, _ = strings.Cut(rest, " ")
	case "READY":
		a.state, _, _ = strings.Cut(rest, " ")
	}
}
