package promotion

import (
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/logpos"
	"crocusyoke/internal/target"
)

// entry is one log entry of the model.
type entry struct {
	term uint64
	id   int
}

// modelTarget behaves as package target assumes of targets.
type modelTarget struct {
	name      string
	term      uint64
	orderer   string
	role      target.Role
	log       []entry
	following string
	down      bool
}

var errRefused = errors.New("refused")

func (m *modelTarget) status() target.Status {
	s := target.Status{Target: m.name, Role: m.role, Term: m.term, Orderer: m.orderer, Following: m.following}
	if n := len(m.log); n > 0 {
		s.Last = logpos.Position{Term: m.log[n-1].term, Index: uint64(n)}
	}
	return s
}

func (m *modelTarget) adopt(term uint64, orderer string) error {
	if term < m.term || term == m.term && orderer != m.orderer {
		return errRefused
	}
	if term > m.term {
		m.term, m.orderer, m.role = term, orderer, target.RoleReplica
	}
	return nil
}

func (m *modelTarget) promote(term uint64, orderer string) error {
	if term != m.term || orderer != m.orderer {
		return errRefused
	}
	if m.role != target.RolePrimary {
		m.role = target.RolePrimary
		m.log = append(m.log, entry{term: term})
	}
	return nil
}

func (m *modelTarget) follow(term uint64, address string) error {
	if term < m.term {
		return errRefused
	}
	if term > m.term {
		m.term, m.orderer = term, ""
	}
	if m.role == target.RolePrimary && term == m.term && m.orderer != "" {
		return errRefused
	}
	m.role, m.following = target.RoleReplica, address
	return nil
}

// sentAction is an action whose delivery is pending; from is the index of its orderer.
type sentAction struct {
	from   int
	action Action
}

// modelCluster holds model targets and two orderers that compete.
type modelCluster struct {
	t        *testing.T
	seed     uint64
	rand     *rand.Rand
	now      time.Time
	targets  []*modelTarget
	groups   []*Group
	inFlight []sentAction
	nextID   int
	acked    []entry
	leaders  map[uint64]string
}

func newModelCluster(t *testing.T, seed uint64, size int) *modelCluster {
	c := &modelCluster{t: t, seed: seed, rand: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1000, 0), leaders: map[uint64]string{1: "a"}}
	members := make([]Member, size)
	for i := range size {
		name := string(rune('a' + i))
		m := &modelTarget{name: name, term: 1, role: target.RoleReplica, following: "a"}
		c.targets = append(c.targets, m)
		members[i] = Member{Name: name, Address: name, Domain: "d" + strconv.Itoa(i)}
	}
	c.targets[0].role = target.RolePrimary
	for i := range 2 {
		g := New(Options{
			Self:   "node" + strconv.Itoa(i),
			Domain: "d" + strconv.Itoa(i),
			Settle: 100 * time.Millisecond,
			Rand:   rand.New(rand.NewPCG(1, uint64(i))),
		})
		g.SetMembers(members)
		g.SetEnabled(true)
		c.groups = append(c.groups, g)
	}
	return c
}

func (c *modelCluster) target(name string) *modelTarget {
	i := slices.IndexFunc(c.targets, func(m *modelTarget) bool { return m.name == name })
	return c.targets[i]
}

// step performs one random event.
func (c *modelCluster) step() {
	g := c.rand.IntN(len(c.groups))
	m := c.targets[c.rand.IntN(len(c.targets))]
	switch c.rand.IntN(9 + 1) {
	case 0:
		m.down = !m.down && c.rand.IntN(2) == 0
	case 1:
		c.write(m)
	case 2, 3:
		c.replicate(m)
	case 4:
		c.groups[g].ObservePeerAnswer(c.now, "peer", "elsewhere", m.name, c.rand.IntN(3+1) == 0)
	case 5, 6, 7:
		c.now = c.now.Add(time.Duration((1 + c.rand.IntN(400))) * time.Millisecond)
		c.poll(g)
	default:
		c.deliver()
	}
}

func (c *modelCluster) send(from int, actions []Action) {
	for _, a := range actions {
		c.inFlight = append(c.inFlight, sentAction{from: from, action: a})
	}
}

func (c *modelCluster) poll(g int) {
	for _, m := range c.targets {
		if m.down {
			c.groups[g].ObserveFailedPoll(c.now, m.name)
			continue
		}
		c.groups[g].Observe(c.now, m.status())
	}
	c.send(g, c.groups[g].Tick(c.now))
}

// deliver carries out a random pending action; its answer may be lost.
func (c *modelCluster) deliver() {
	if len(c.inFlight) == 0 {
		return
	}
	i := c.rand.IntN(len(c.inFlight))
	sent := c.inFlight[i]
	c.inFlight = slices.Delete(c.inFlight, i, i+1)
	lost := c.rand.IntN(3+1) == 0
	g := c.groups[sent.from]
	orderer := g.options.Self
	switch a := sent.action.(type) {
	case Adopt:
		m := c.target(a.Target)
		if m.down {
			return
		}
		err := m.adopt(a.Term, orderer)
		if !lost {
			g.HandleAdoptResult(c.now, a.Target, a.Term, m.status(), err)
		}
	case Promote:
		m := c.target(a.Target)
		if m.down {
			return
		}
		err := m.promote(a.Term, orderer)
		if err == nil {
			c.checkLeader(m)
		}
		if !lost {
			c.send(sent.from, g.HandlePromoteResult(c.now, a.Target, a.Term, m.status(), err))
		}
	case Follow:
		if m := c.target(a.Target); !m.down {
			_ = m.follow(a.Term, a.Address)
		}
	}
}

func (c *modelCluster) write(m *modelTarget) {
	if m.down || m.role != target.RolePrimary {
		return
	}
	c.nextID++
	m.log = append(m.log, entry{term: m.term, id: c.nextID})
}

// replicate copies the log of the primary that m follows. It acknowledges the entries of the
// primary's term that a majority of the targets then holds.
func (c *modelCluster) replicate(m *modelTarget) {
	if m.down || m.role == target.RolePrimary || m.following == "" {
		return
	}
	primary := c.target(m.following)
	if primary.down || primary.role != target.RolePrimary || primary.term != m.term {
		return
	}
	m.log = slices.Clone(primary.log)
	for i, e := range primary.log {
		if e.term != primary.term {
			continue
		}
		holders := 0
		for _, other := range c.targets {
			if other.term == primary.term && len(other.log) > i && other.log[i] == e {
				holders++
			}
		}
		if holders > len(c.targets)/2 && !slices.Contains(c.acked, e) {
			c.acked = append(c.acked, e)
		}
	}
}

// checkLeader checks that a term has one leader, and that its log contains every entry that was
// acknowledged in a lower term.
func (c *modelCluster) checkLeader(m *modelTarget) {
	if old, ok := c.leaders[m.term]; ok && old != m.name {
		c.t.Fatalf("seed %d: term %d has two leaders: %s and %s", c.seed, m.term, old, m.name)
	}
	c.leaders[m.term] = m.name
	for _, e := range c.acked {
		if e.term < m.term && !slices.Contains(m.log, e) {
			c.t.Fatalf("seed %d: leader %s of term %d lacks acknowledged %+v", c.seed, m.name, m.term, e)
		}
	}
}

// Size of the random histories.
const (
	histories = 200
	steps     = 4000
	// minPromotions is the number of promotions, and of acknowledged writes, that the histories must
	// exceed for the test to be meaningful.
	minPromotions = 4 * histories
)

// TestRacingOrderersLoseNothing checks the invariant over random histories with two competing
// orderers, unreachable targets, and commands and answers that are reordered or lost.
func TestRacingOrderersLoseNothing(t *testing.T) {
	promotions, acknowledged := 0, 0
	for seed := range uint64(histories) {
		c := newModelCluster(t, seed, 3+2*int(seed%2))
		for range steps {
			c.step()
		}
		promotions += len(c.leaders) - 1
		acknowledged += len(c.acked)
	}
	must.Greater(t, minPromotions, promotions, must.Sprint("the histories hardly promote anything"))
	must.Greater(t, minPromotions, acknowledged, must.Sprint("the histories hardly acknowledge anything"))
	t.Logf("%d promotions, %d acknowledged writes", promotions, acknowledged)
}
