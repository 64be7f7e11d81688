package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

const (
	// malformedInterval is the longest pause between two lines of sendMalformed.
	malformedInterval = 200 * time.Millisecond
	// malformedSeed is added to the seed for the choices of sendMalformed.
	malformedSeed = 1 << 20
	// overlongBy is by how many bytes an overlong line is too long at most.
	overlongBy = 4 << 10
)

// malformedTexts are texts of statements that callers may not send. Targets know some of them.
var malformedTexts = []string{
	"STATUS", "RESET", "PAUSE 99", "RESUME", "STEPDOWN 99", "AFTER 0.0 READ steady", "AFTER 0.0 BEGIN", "AFTER 0.0 WRITE %ITEM% x",
	"read steady", "READ", "READ ", "WRITE", "WRITE %ITEM%", " WRITE %ITEM% x", "WRITE  %ITEM% x", "\tWRITE %ITEM% x",
	"COMMIT x", "BEGIN WRITE", "ROLLBACK  ", "SET", "SET  x", "PREPARE", "PREPARE s", "PREPARE s READ", "PREPARE s EXEC q", "EXEC", "EXEC s1",
	"DEALLOC", "QUERY", "BYE", "\x00", "\xff", "-", "COMPLETE -", "ERROR BUSY x",
}

// malformedLine is what a caller sends that no target may run.
type malformedLine struct {
	raw string
	// request is the statement that the line would be, nil if it has no ID of its own. It may have another
	// statement behind a CR or LF, whose ID no caller sent.
	request *request
	// forbidden are items that nothing may write, unless mayNotRun of request says so.
	forbidden []string
	// isHalf is set if the caller leaves before the line ends.
	isHalf bool
}

// drawMalformed draws a line of the statement with the given ID.
func (r *run) drawMalformed(random *rand.Rand, id string) malformedLine {
	item, other := r.newItem(), r.newItem()
	text := strings.ReplaceAll(malformedTexts[random.IntN(len(malformedTexts))], "%ITEM%", item)
	var l malformedLine
	switch drawn := random.IntN(100); {
	case drawn < 1:
		text = "WRITE " + item + " " + strings.Repeat("d", maxLineBytes+random.IntN(overlongBy))
	case drawn < 20:
		lineEnd := []string{"\n", "\r", "\n\r"}[random.IntN(3)]
		text = "WRITE " + item + " x" + lineEnd + "QUERY " + newStatementID() + " WRITE " + other + " x"
		l.forbidden = []string{other}
		l.request = &request{text: text}
		l.raw = "QUERY " + id + " " + text + "\r\n"
		return l
	case drawn < 30:
		text, l.isHalf = "WRITE "+item+" hal", true
	case drawn < 40:
		return malformedLine{raw: "QUERY - WRITE " + item + " x\r\n", forbidden: []string{item}}
	case drawn < 50:
		return malformedLine{raw: "WRITE " + item + " x\r\n", forbidden: []string{item}}
	}
	l.request = &request{text: text, mayNotRun: true}
	l.raw = "QUERY " + id + " " + text
	if !l.isHalf {
		l.raw += "\r\n"
	}
	return l
}

// sendMalformed sends lines to a node that the protocol does not have.
func (r *run) sendMalformed(n *node, number int) {
	random := rand.New(rand.NewPCG(r.options.Seed, malformedSeed+uint64(number)))
	for !r.hasEnded() {
		to := r.routes[random.IntN(len(r.routes))]
		time.Sleep(upTo(random, malformedInterval))
		c, refused, err := connect(n.front, to, drawCustomer(random))
		if err != nil || refused != "" {
			continue
		}
		for !r.hasEnded() && r.sendMalformedLine(c, to, random) {
			time.Sleep(upTo(random, malformedInterval))
		}
		c.close()
	}
}

// sendMalformedLine reports whether the session can go on.
func (r *run) sendMalformedLine(c *caller, to route, random *rand.Rand) bool {
	id := newStatementID()
	line := r.drawMalformed(random, id)
	r.judge.count("malformed lines")
	var st *sent
	if line.request != nil {
		st = c.statement(id, to, *line.request)
		r.statements.note(st)
	}
	r.statements.noteForbidden(to.database.group.Name, line.forbidden...)
	if line.isHalf {
		_, _ = fmt.Fprint(c.conn, line.raw)
		c.close()
		r.statements.noteAnswer(st, &answer{id: id, err: net.ErrClosed, endAt: time.Now()})
		return false
	}
	a := c.exchange(id, line.raw)
	if st != nil {
		r.statements.noteAnswer(st, a)
	}
	return a.err == nil && a.state == "I"
}
