// Package admission decides which callers' connections a node keeps, so that no crowd takes those of other callers.
//
// Invariant: at most Limits.Connections connections are open and at most Limits.Sessions of them are sessions. Of the
// sessions that other customers leave, a customer has at most Limits.CustomerShare, and at least one. A session never
// gives way to a newcomer. A connection without a session does so only if its address holds more of these than the
// newcomer's, and is then the newest one of the address that holds most, or if it has been without one for Patience.
package admission

import (
	"container/list"
	"math"
	"time"
)

// Patience is how long a connection without a session keeps its place against newcomers that hold as many.
const Patience = time.Second

// Limits are the limits of a Table.
type Limits struct {
	// Connections bounds the open connections, Sessions those whose callers have logged in.
	Connections, Sessions int
	// CustomerShare is the part, above 0 and up to 1, of the sessions that other customers leave that one customer
	// may have.
	CustomerShare float64
}

// Conn is one open connection.
type Conn struct {
	address  string
	customer string
	// isSession is true while the connection is a session of customer. Otherwise it is waiting since then, and
	// has a place in the lists of such connections: of all, and of its address.
	isSession    bool
	since        time.Time
	place, local *list.Element
}

// Table is the state of a node's connections. It is not safe for concurrent use.
type Table struct {
	limits   Limits
	sessions map[string]int
	total    int
	// waiting holds the connections without a session, the oldest first, and byAddress those of each address.
	waiting   *list.List
	byAddress map[string]*list.List
}

// New returns a Table without connections.
func New(limits Limits) *Table {
	return &Table{limits: limits, sessions: make(map[string]int), waiting: list.New(), byAddress: make(map[string]*list.List)}
}

// Connections returns the number of open connections, Sessions that of the sessions among them.
func (t *Table) Connections() int { return t.total + t.waiting.Len() }

// Sessions returns the number of sessions.
func (t *Table) Sessions() int { return t.total }

// Open admits a new connection from address. displaced, if not nil, is one that has to be closed for it, and that the
// table no longer holds. c is nil if there is no room.
func (t *Table) Open(address string, now time.Time) (c, displaced *Conn) {
	if t.Connections() >= t.limits.Connections {
		if displaced = t.choose(address, now); displaced == nil {
			return nil, nil
		}
		t.Close(displaced)
	}
	c = &Conn{address: address}
	t.wait(c, now)
	return c, displaced
}

// choose returns the connection that gives way to one from address, or nil.
func (t *Table) choose(address string, now time.Time) *Conn {
	var most *list.List
	for _, conns := range t.byAddress {
		if most == nil || conns.Len() > most.Len() {
			most = conns
		}
	}
	if most == nil {
		return nil
	}
	own := 0
	if conns := t.byAddress[address]; conns != nil {
		own = conns.Len()
	}
	if most.Len() > own+1 {
		return most.Back().Value.(*Conn)
	}
	if oldest := t.waiting.Front().Value.(*Conn); now.Sub(oldest.since) >= Patience {
		return oldest
	}
	return nil
}

// Login makes c a session of customer. It reports false, and changes nothing, if there is no room for one. A share is
// never more than what is left, so this bounds all sessions too.
func (t *Table) Login(c *Conn, customer string) bool {
	own := t.sessions[customer]
	share := math.Ceil(t.limits.CustomerShare * float64(t.limits.Sessions-t.total+own))
	if float64(own) >= share {
		return false
	}
	t.stopWaiting(c)
	c.customer, c.isSession = customer, true
	t.sessions[customer]++
	t.total++
	return true
}

// End makes c a connection without a session, if it has one.
func (t *Table) End(c *Conn, now time.Time) {
	if c.isSession {
		t.endSession(c)
		t.wait(c, now)
	}
}

// Close removes c. It may be called more than once.
func (t *Table) Close(c *Conn) {
	if c.isSession {
		t.endSession(c)
		return
	}
	t.stopWaiting(c)
}

func (t *Table) endSession(c *Conn) {
	c.isSession = false
	t.total--
	if t.sessions[c.customer]--; t.sessions[c.customer] == 0 {
		delete(t.sessions, c.customer)
	}
}

func (t *Table) wait(c *Conn, now time.Time) {
	conns := t.byAddress[c.address]
	if conns == nil {
		conns = list.New()
		t.byAddress[c.address] = conns
	}
	c.since, c.place, c.local = now, t.waiting.PushBack(c), conns.PushBack(c)
}

func (t *Table) stopWaiting(c *Conn) {
	if c.place == nil {
		return
	}
	t.waiting.Remove(c.place)
	conns := t.byAddress[c.address]
	conns.Remove(c.local)
	if conns.Len() == 0 {
		delete(t.byAddress, c.address)
	}
	c.place, c.local = nil, nil
}
