package soak

import (
	"math/rand/v2"
	"time"
)

const (
	// maxThinkTime is the longest pause between two operations of a session.
	maxThinkTime = 250 * time.Millisecond
	// pressingSessions is the number of sessions of pressingCustomer, and maxPressingThinkTime the longest
	// pause between two of its operations.
	pressingSessions     = 6
	maxPressingThinkTime = 60 * time.Millisecond
	// reconnectDelay is the pause after a connection that could not be opened.
	reconnectDelay = 20 * time.Millisecond
	// maxStatements is the highest number of statements between the beginning and the end of a transaction.
	maxStatements = 12
	// operationsOfLongSessions is the highest number of operations of a session that is long.
	operationsOfLongSessions = 200
	// The shares are percentages: of sessions that serve one operation, of sessions with plain
	// words only, of operations that are transactions, of operations before which a session changes its
	// values or prepared names, of writes.
	shareSingleUse   = 70
	sharePlain       = 40
	shareTransaction = 35
	shareSetups      = 35
	shareWrites      = 35
	// sharePressingTransaction is shareTransaction of pressingCustomer.
	sharePressingTransaction = 5
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
	// isPressing is set if the sessions are those of pressingCustomer: they are long, and most of their
	// operations are single statements with short pauses between them.
	isPressing bool
}

// runUser opens sessions and runs operations in them until the run ends.
func (r *run) runUser(number int) {
	u := &user{run: r, random: rand.New(rand.NewPCG(r.options.Seed, uint64(2+number)))}
	u.zone = zones[number%len(zones)]
	u.isPressing = number >= r.options.Sessions
	for !r.hasEnded() {
		u.route = r.routes[u.random.IntN(len(r.routes))]
		u.runSession()
		u.think()
	}
}

// think pauses between two operations.
func (u *user) think() {
	longest := maxThinkTime
	if u.isPressing {
		longest = maxPressingThinkTime
	}
	time.Sleep(upTo(u.random, longest))
}

func (u *user) runSession() {
	n := u.run.balancer.pick(u.zone, u.random)
	as := drawCustomer(u.random)
	if u.isPressing {
		as = pressingCustomer
	}
	c, refused, err := connect(n.callers, u.route, as)
	if err != nil || refused != "" {
		u.run.judge.count("sessions not opened")
		time.Sleep(reconnectDelay)
		return
	}
	defer c.close()
	c.isPlain = isOneOf(u.random, sharePlain)
	operations := 1
	if u.isPressing || !isOneOf(u.random, shareSingleUse) {
		operations = 1 + u.random.IntN(operationsOfLongSessions)
	}
	for i := range operations {
		if u.run.hasEnded() || !u.operate(c, n) {
			return
		}
		if i < operations-1 {
			u.think()
		}
	}
	c.bye()
}

// operate runs one operation and reports whether the session can go on.
func (u *user) operate(c *caller, n *node) bool {
	if isOneOf(u.random, shareSetups) && !u.change(c, n, nil, 1) {
		return false
	}
	share := shareTransaction
	if u.isPressing {
		share = sharePressingTransaction
	}
	if isOneOf(u.random, share) {
		return u.transact(c, n)
	}
	q := u.draw(c, isOneOf(u.random, shareWrites)).in(nil, 1)
	a := u.run.statement(c, n, u.route, q)
	if a.acknowledged() && q.item != "" {
		u.run.noteWritten(u.route, a, q.item)
	}
	return a.state == "I"
}

// refusedInterval is the pause between two statements of sendRefused.
const refusedInterval = 30 * time.Millisecond

// sendRefused sends statements to a node that it refuses, so that its log has lines.
func (r *run) sendRefused(n *node) {
	for !r.hasEnded() {
		c, refused, err := connect(n.front, r.routes[0], customers[0])
		if err != nil || refused != "" {
			time.Sleep(refusedInterval)
			continue
		}
		for !r.hasEnded() && r.send(c, r.routes[0], c.setup.execRequest("unprepared", "x")).err == nil {
			time.Sleep(refusedInterval)
		}
		c.close()
	}
}
