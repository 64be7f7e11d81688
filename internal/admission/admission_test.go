package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// model plays random connections against a Table and remembers what is open.
type model struct {
	*Table
	now  time.Time
	open []*Conn
}

// TestAdmissionInvariant plays random histories of connections and checks the invariant of the package at each step.
func TestAdmissionInvariant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{
			Connections:   rapid.IntRange(1, 12).Draw(t, "connections"),
			Sessions:      rapid.IntRange(1, 10).Draw(t, "sessions"),
			CustomerShare: rapid.Float64Range(0.1, 1).Draw(t, "share"),
		}
		m := &model{Table: New(limits), now: time.Unix(1000, 0)}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "passed")) * time.Millisecond)
			m.step(t)
			m.check(t)
		}
	})
}

func (m *model) step(t *rapid.T) {
	if len(m.open) == 0 || rapid.IntRange(0, 2).Draw(t, "opens") > 0 {
		m.openFrom(t, fmt.Sprint("a", rapid.IntRange(0, 3).Draw(t, "address")))
		return
	}
	i := rapid.IntRange(0, len(m.open)-1).Draw(t, "which")
	c := m.open[i]
	switch rapid.IntRange(0, 3).Draw(t, "step") {
	case 0:
		m.Close(c)
		m.open = append(m.open[:i], m.open[i+1:]...)
	case 1:
		m.End(c, m.now)
	default:
		if !c.isSession {
			m.login(t, c, fmt.Sprint("c", rapid.IntRange(0, 2).Draw(t, "customer")))
		}
	}
}

// openFrom opens a connection and judges which one had to give way.
func (m *model) openFrom(t *rapid.T, address string) {
	before, full := m.heldByAddress(), m.Connections() >= m.limits.Connections
	c, displaced := m.Open(address, m.now)
	must.Eq(t, full, c == nil || displaced != nil)
	if displaced != nil {
		holds := before[displaced.address]
		must.False(t, displaced.isSession)
		must.True(t, holds > before[address]+1 || m.now.Sub(displaced.since) >= Patience)
		for _, other := range m.open {
			if holds > before[address]+1 && !other.isSession {
				must.LessEq(t, holds, before[other.address])
				must.False(t, other.address == displaced.address && other.since.After(displaced.since))
			}
		}
		m.forget(displaced)
	}
	if c != nil {
		m.open = append(m.open, c)
	}
}

func (m *model) login(t *rapid.T, c *Conn, customer string) {
	own, total := m.sessionsOf(customer)
	admitted := m.Login(c, customer)
	left := m.limits.Sessions - (total - own)
	must.Eq(t, own < left && float64(own) < math.Ceil(m.limits.CustomerShare*float64(left)), admitted)
	must.True(t, admitted || own > 0 || total >= m.limits.Sessions)
}

func (m *model) check(t *rapid.T) {
	_, total := m.sessionsOf("")
	must.Eq(t, len(m.open), m.Connections())
	must.Eq(t, total, m.Sessions())
	must.LessEq(t, m.limits.Connections, m.Connections())
	must.LessEq(t, m.limits.Sessions, m.Sessions())
}

func (m *model) sessionsOf(customer string) (own, total int) {
	for _, c := range m.open {
		if c.isSession {
			total++
		}
		if c.isSession && c.customer == customer {
			own++
		}
	}
	return own, total
}

func (m *model) heldByAddress() map[string]int {
	held := map[string]int{}
	for _, c := range m.open {
		if !c.isSession {
			held[c.address]++
		}
	}
	return held
}

func (m *model) forget(c *Conn) {
	for i := range m.open {
		if m.open[i] == c {
			m.open = append(m.open[:i], m.open[i+1:]...)
			return
		}
	}
}

// TestCrowdKeepsAnOrdinaryCallerOut has a crowd from one address fill the table: one from another address comes in, and
// one from the same address, such as a balancer's, does so once somebody has been silent for Patience.
func TestCrowdKeepsAnOrdinaryCallerOut(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New(Limits{Connections: 10, Sessions: 8, CustomerShare: 0.75})
	var crowd []*Conn
	for range 10 {
		c, displaced := table.Open("crowd", now)
		must.Nil(t, displaced)
		crowd = append(crowd, c)
	}
	refused, _ := table.Open("crowd", now)
	must.Nil(t, refused)
	ordinary, displaced := table.Open("ordinary", now)
	must.True(t, displaced == crowd[9])
	must.True(t, table.Login(ordinary, "ordinary"))
	_, displaced = table.Open("crowd", now.Add(Patience))
	must.True(t, displaced == crowd[0])
	for i, c := range crowd[1:9] {
		must.Eq(t, i < 6, table.Login(c, "crowd"), must.Sprint(i))
	}
}
