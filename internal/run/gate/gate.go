// Package gate applies the decisions of package admission to connections: it closes the ones that have to give way,
// counts, and logs.
package gate

import (
	"expvar"
	"net"
	"sync"

	"github.com/go-kit/log"
	"golang.org/x/time/rate"

	"crocusyoke/internal/admission"
	"crocusyoke/internal/clock"
)

const (
	// linesPerSecond and lineBurst bound the log lines of a Gate.
	linesPerSecond = 1
	lineBurst      = 5
)

// Gate holds the connections of one port. Its methods are safe for concurrent use.
type Gate struct {
	port   string
	limits admission.Limits
	clock  clock.Clock
	logger log.Logger

	// displaced counts connections that were closed for a newcomer, turnedAway newcomers that were closed,
	// customerFull logins that were refused for want of a session.
	displaced, turnedAway, customerFull expvar.Int

	mu      sync.Mutex
	table   *admission.Table
	conns   map[*admission.Conn]net.Conn
	limiter *rate.Limiter
	leftOut int
}

// New returns a Gate without connections. port is the port's name in log lines.
func New(port string, limits admission.Limits, c clock.Clock, logger log.Logger) *Gate {
	return &Gate{
		port: port, limits: limits, clock: c, logger: logger, table: admission.New(limits),
		conns: make(map[*admission.Conn]net.Conn), limiter: rate.NewLimiter(linesPerSecond, lineBurst),
	}
}

// Vars returns the counters and levels under their metric names.
func (g *Gate) Vars() *expvar.Map {
	all := new(expvar.Map)
	all.Set("connections", expvar.Func(func() any { return g.level((*admission.Table).Connections) }))
	all.Set("sessions_open", expvar.Func(func() any { return g.level((*admission.Table).Sessions) }))
	all.Set("displaced", &g.displaced)
	all.Set("turned_away", &g.turnedAway)
	all.Set("customer_full", &g.customerFull)
	return all
}

func (g *Gate) level(of func(*admission.Table) int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return of(g.table)
}

// Visit is one connection that the Gate has let in. A nil Visit is of no Gate, and has room for everything.
type Visit struct {
	gate *Gate
	conn *admission.Conn
}

// Enter lets conn in, for which another connection may be closed. It returns nil if there is no room, and has then
// closed conn.
func (g *Gate) Enter(conn net.Conn) *Visit {
	address := addressOf(conn)
	g.mu.Lock()
	defer g.mu.Unlock()
	entered, displaced := g.table.Open(address, g.clock.Now())
	if displaced != nil {
		g.displaced.Add(1)
		g.log("displaced", addressOf(g.conns[displaced]), "")
		_ = g.conns[displaced].Close()
		delete(g.conns, displaced)
	}
	if entered == nil {
		g.turnedAway.Add(1)
		g.log("turned away", address, "")
		_ = conn.Close()
		return nil
	}
	g.conns[entered] = conn
	return &Visit{gate: g, conn: entered}
}

// addressOf returns the IP address at the other end of conn.
func addressOf(conn net.Conn) string {
	if remote, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		return remote.IP.String()
	}
	return ""
}

// log writes a line unless there were too many of late. The caller holds g.mu.
func (g *Gate) log(outcome, address, customer string) {
	if !g.limiter.AllowN(g.clock.Now(), 1) {
		g.leftOut++
		return
	}
	_ = g.logger.Log("event", "connection limit", "port", g.port, "outcome", outcome, "address", address, "customer", customer,
		"connections", g.table.Connections(), "sessions", g.table.Sessions(), "left_out", g.leftOut)
	g.leftOut = 0
}

// Login makes the connection a session of customer. It reports false if there is no room for one.
func (v *Visit) Login(customer string) bool {
	if v == nil {
		return true
	}
	g := v.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conns[v.conn] != nil && g.table.Login(v.conn, customer) {
		return true
	}
	g.customerFull.Add(1)
	g.log("customer full", "", customer)
	return false
}

// End ends the session, if the connection has one.
func (v *Visit) End() {
	if v == nil {
		return
	}
	v.gate.mu.Lock()
	defer v.gate.mu.Unlock()
	v.gate.table.End(v.conn, v.gate.clock.Now())
}

// Leave records that the connection is closed.
func (v *Visit) Leave() {
	if v == nil {
		return
	}
	v.gate.mu.Lock()
	defer v.gate.mu.Unlock()
	v.gate.table.Close(v.conn)
	delete(v.gate.conns, v.conn)
}
