package soak

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"crocusyoke/internal/standin/hosted"
)

const (
	// maxSetups is the highest number of statements that change a session's values or prepared names in a
	// row.
	maxSetups = 3
	// Percentages: of such statements that change a value, and that prepare a name; of places between the
	// statements of a transaction and before its COMMIT where there are some; of statements that could run
	// something prepared and do; of those in sessions that are not plain that name something unprepared.
	shareSet            = 45
	sharePrepare        = 45
	shareSetupsInside   = 8
	shareSetupsAtCommit = 15
	shareExec           = 50
	shareUnprepared     = 2
	// shareRecent is the percentage of reads of what was written last.
	shareRecent = 50
)

// change changes values and prepared names of a session, in a transaction or not. It reports false if the
// session can't go on: the protocol has callers close sessions after an error.
func (u *user) change(c *caller, n *node, tx *transaction, position int) bool {
	state := "I"
	if tx != nil {
		state = "T"
	}
	for range 1 + u.random.IntN(maxSetups) {
		a := u.run.statement(c, n, u.route, u.drawSetup(c).in(tx, position))
		if a.err != nil || a.code != "" || a.state != state {
			return false
		}
		u.run.judge.count("set-ups acknowledged")
	}
	return true
}

func (u *user) drawSetup(c *caller) request {
	name := drawName(u.random, c.isPlain)
	switch drawn := u.random.IntN(100); {
	case drawn < shareSet:
		return setRequest(name, drawText(u.random, c.isPlain))
	case drawn < shareSet+sharePrepare || len(c.setup.prepared) == 0:
		return prepareRequest(name, u.drawPrepared(c))
	}
	prepared := slices.Sorted(maps.Keys(c.setup.prepared))
	return c.setup.deallocRequest(prepared[u.random.IntN(len(prepared))])
}

func (u *user) drawPrepared(c *caller) hosted.Prepared {
	kind := hosted.KindRead
	if u.random.IntN(2) == 0 {
		kind = hosted.KindWrite
	}
	return hosted.Prepared{Kind: kind, Shape: drawText(u.random, c.isPlain)}
}

// draw returns a read or write, in a transaction or not.
func (u *user) draw(c *caller, writes bool) request {
	var q request
	name, isPrepared := u.drawPreparedName(c, writes)
	switch {
	case isPrepared && writes:
		item := u.newItem(c)
		q = c.setup.execRequest(name, item+" "+drawData(u.random, c.isPlain, len("QUERY 0123456789abcdef EXEC \r\n")+len(name)+len(item)+2))
		q.item = item
	case isPrepared:
		q = c.setup.execRequest(name, u.drawReadItem(c, false))
	case writes:
		item := u.newItem(c)
		q = request{text: "WRITE " + item + " " + drawData(u.random, c.isPlain, len("QUERY 0123456789abcdef WRITE \r\n")+len(item)+1), item: item}
	default:
		q = request{text: "READ " + u.drawReadItem(c, true)}
	}
	return q
}

// drawPreparedName draws a name that is prepared for reads or writes, at times one that is not prepared. It
// reports false if the statement is to use no name.
func (u *user) drawPreparedName(c *caller, writes bool) (string, bool) {
	if !isOneOf(u.random, shareExec) {
		return "", false
	}
	if !c.isPlain && isOneOf(u.random, shareUnprepared) {
		return "unprepared", true
	}
	var fitting []string
	for _, name := range slices.Sorted(maps.Keys(c.setup.prepared)) {
		if (c.setup.prepared[name].Kind == hosted.KindWrite) == writes {
			fitting = append(fitting, name)
		}
	}
	if len(fitting) == 0 {
		return "", false
	}
	return fitting[u.random.IntN(len(fitting))], true
}

// drawReadItem draws an item to read, often one that was written not long ago.
func (u *user) drawReadItem(c *caller, isLastField bool) string {
	if isOneOf(u.random, shareRecent) {
		if item := u.route.database.recentItem(u.random.IntN(maxRecentItems)); item != "" {
			return item
		}
	}
	return drawItem(u.random, c.isPlain, isLastField)
}

// newItem returns an item that nothing else writes.
func (u *user) newItem(c *caller) string {
	item := u.run.newItem()
	if !c.isPlain {
		item += itemSuffixes[u.random.IntN(len(itemSuffixes))]
	}
	return item
}

// transact runs a transaction and reports whether the session can go on.
func (u *user) transact(c *caller, n *node) bool {
	tx := newTransaction()
	readOnly := isOneOf(u.random, shareReadOnly)
	begin := request{text: "BEGIN", begins: true}
	if readOnly {
		begin.text = "BEGIN READ"
	}
	if a := u.run.statement(c, n, u.route, begin.in(tx, 1)); a.state != "T" {
		return a.state == "I"
	}
	longest := u.drawPause()
	count := 1 + u.random.IntN(maxStatements)
	var items []string
	for i := range count {
		time.Sleep(upTo(u.random, longest))
		if isOneOf(u.random, shareSetupsInside) && !u.change(c, n, tx, 2+i) {
			return false
		}
		q := u.draw(c, !readOnly && isOneOf(u.random, shareWrites)).in(tx, 2+i)
		a := u.run.statement(c, n, u.route, q)
		if a.err != nil {
			return false
		}
		if a.state != "T" {
			return a.state == "I" || u.rollBack(c, n, tx, 3+i)
		}
		if q.item != "" && a.code == "" {
			items = append(items, q.item)
		}
	}
	time.Sleep(upTo(u.random, longest))
	return u.end(c, n, tx, 2+count, items)
}

// end leaves, rolls back or commits a transaction that writes items.
func (u *user) end(c *caller, n *node, tx *transaction, position int, items []string) bool {
	if isOneOf(u.random, shareLeft) {
		return false
	}
	if isOneOf(u.random, shareSetupsAtCommit) && !u.change(c, n, tx, position) {
		return false
	}
	if isOneOf(u.random, shareRolledBack) {
		return u.rollBack(c, n, tx, position)
	}
	commit := request{text: "COMMIT", commits: true}
	a := u.run.statement(c, n, u.route, commit.in(tx, position))
	if a.acknowledged() {
		u.run.noteWritten(u.route, a, items...)
	}
	return a.state == "I"
}

func (u *user) rollBack(c *caller, n *node, tx *transaction, position int) bool {
	rollback := request{text: "ROLLBACK"}
	return u.run.statement(c, n, u.route, rollback.in(tx, position)).state == "I"
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

// drawCustomer draws whose key a session presents.
func drawCustomer(random *rand.Rand) customer { return customers[random.IntN(len(customers))] }
