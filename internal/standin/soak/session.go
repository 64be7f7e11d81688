package soak

import (
	"math/rand/v2"
	"time"
)

const (
	// maxThinkTime is the longest pause between two operations of a session.
	maxThinkTime = 250 * time.Millisecond
	// reconnectDelay is the pause after a connection that could not be opened.
	reconnectDelay = 20 * time.Millisecond
	// maxStatements is the highest number of statements between the beginning and the end of a transaction.
	maxStatements = 12
	// operationsOfLongSessions is the highest number of operations of a session that is long.
	operationsOfLongSessions = 200
	// sharePerKind are percentages: of sessions that serve one operation, of operations that are
	// transactions, of operations in prepared statements, of writes.
	shareSingleUse   = 70
	shareTransaction = 35
	sharePrepared    = 25
	shareWrites      = 35
	// Percentages of transactions: that only read, that are rolled back, that their caller leaves.
	shareReadOnly   = 20
	shareRolledBack = 12
	shareLeft       = 6
)

// pauses are the longest pauses between the statements of a transaction, and how many of 100 transactions
// have them. Several of the longest ones outlast a stop.
var pauses = []struct {
	share   int
	longest time.Duration
}{{70, 60 * time.Millisecond}, {18, 500 * time.Millisecond}, {12, 1600 * time.Millisecond}}

const (
	preparedRead  = "read1"
	preparedWrite = "write1"
)

func isOneOf(random *rand.Rand, percent int) bool { return random.IntN(100) < percent }

func upTo(random *rand.Rand, longest time.Duration) time.Duration {
	if longest <= 0 {
		return 0
	}
	return time.Duration(random.Int64N(int64(longest)))
}

// user is a caller's place: the zone and the service of its sessions, and its random choices.
type user struct {
	run    *run
	zone   string
	route  route
	random *rand.Rand
}

// runUser opens sessions and runs operations in them until the run ends.
func (r *run) runUser(number int) {
	u := &user{run: r, random: rand.New(rand.NewPCG(r.options.Seed, uint64(2+number)))}
	u.zone = zones[number%len(zones)]
	for !r.hasEnded() {
		u.route = r.routes[u.random.IntN(len(r.routes))]
		u.runSession()
		time.Sleep(upTo(u.random, maxThinkTime))
	}
}

func (u *user) runSession() {
	n := u.run.balancer.pick(u.zone, u.random)
	c, refused, err := connect(n.callers, u.route.name, steadyKey)
	if err != nil || refused != "" {
		u.run.judge.count("sessions not opened")
		time.Sleep(reconnectDelay)
		return
	}
	defer c.close()
	operations := 1
	if !isOneOf(u.random, shareSingleUse) {
		operations = 1 + u.random.IntN(operationsOfLongSessions)
	}
	for i := range operations {
		if u.run.hasEnded() || !u.operate(c, n) {
			return
		}
		if i < operations-1 {
			time.Sleep(upTo(u.random, maxThinkTime))
		}
	}
	c.bye()
}

// operate runs one operation and reports whether the session can go on.
func (u *user) operate(c *caller, n *node) bool {
	if isOneOf(u.random, sharePrepared) && !u.prepare(c, n) {
		return false
	}
	if isOneOf(u.random, shareTransaction) {
		return u.transact(c, n)
	}
	text, item := u.draw(c, isOneOf(u.random, shareWrites))
	a := u.run.statement(c, n, u.route, text, 1)
	if a.acknowledged() && item != "" {
		u.run.noteWritten(u.route, item)
	}
	return a.state == "I"
}

// prepare sets a value and prepares names in a session that has not done so.
func (u *user) prepare(c *caller, n *node) bool {
	if c.prepared {
		return true
	}
	for _, text := range []string{"SET mode fast", "PREPARE " + preparedRead + " READ q", "PREPARE " + preparedWrite + " WRITE q"} {
		if a := u.run.statement(c, n, u.route, text, 1); a.state != "I" || a.code != "" {
			return false
		}
	}
	c.prepared = true
	return true
}

// draw returns a statement, and the item that it writes, if it writes one.
func (u *user) draw(c *caller, writes bool) (text, item string) {
	item = "steady"
	if writes {
		item = u.run.newItem()
	}
	switch prepared := c.prepared && u.random.IntN(2) == 0; {
	case prepared && writes:
		return "EXEC " + preparedWrite + " " + item + " data", item
	case prepared:
		return "EXEC " + preparedRead + " " + item, ""
	case writes:
		return "WRITE " + item + " data", item
	default:
		return "READ " + item, ""
	}
}

// transact runs a transaction and reports whether the session can go on.
func (u *user) transact(c *caller, n *node) bool {
	readOnly := isOneOf(u.random, shareReadOnly)
	begin := "BEGIN"
	if readOnly {
		begin = "BEGIN READ"
	}
	if a := u.run.statement(c, n, u.route, begin, 1); a.state != "T" {
		return a.state == "I"
	}
	longest := u.drawPause()
	count := 1 + u.random.IntN(maxStatements)
	var items []string
	for i := range count {
		time.Sleep(upTo(u.random, longest))
		text, item := u.draw(c, !readOnly && isOneOf(u.random, shareWrites))
		a := u.run.statement(c, n, u.route, text, 2+i)
		if a.err != nil {
			return false
		}
		if a.state != "T" {
			return a.state == "I" || u.run.statement(c, n, u.route, "ROLLBACK", 3+i).state == "I"
		}
		if item != "" && a.code == "" {
			items = append(items, item)
		}
	}
	time.Sleep(upTo(u.random, longest))
	if isOneOf(u.random, shareLeft) {
		return false
	}
	if isOneOf(u.random, shareRolledBack) {
		return u.run.statement(c, n, u.route, "ROLLBACK", 2+count).state == "I"
	}
	a := u.run.statement(c, n, u.route, "COMMIT", 2+count)
	if a.acknowledged() {
		u.run.noteWritten(u.route, items...)
	}
	return a.state == "I"
}

func (u *user) drawPause() time.Duration {
	drawn := u.random.IntN(100)
	for _, p := range pauses {
		if drawn < p.share {
			return p.longest
		}
		drawn -= p.share
	}
	return 0
}

// refusedInterval is the pause between two statements of sendRefused.
const refusedInterval = 30 * time.Millisecond

// sendRefused sends statements to a node that it refuses, so that its log has lines.
func (r *run) sendRefused(n *node) {
	for !r.hasEnded() {
		c, refused, err := connect(n.front, r.routes[0].name, steadyKey)
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
