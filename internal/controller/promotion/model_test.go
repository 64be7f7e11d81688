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

// modelTarget behaves as the assumptions in package target say.
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

// flight is an order on its way to a target.
type flight struct {
	from   int
	action Action
}

// world holds targets and two orderers that race.
type world struct {
	t       *testing.T
	seed    uint64
	rand    *rand.Rand
	now     time.Time
	targets []*modelTarget
	groups  []*Group
	flights []flight
	nextID  int
	acked   []entry
	leaders map[uint64]string
}

func newWorld(t *testing.T, seed uint64, size int) *world {
	w := &world{t: t, seed: seed, rand: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1000, 0), leaders: map[uint64]string{1: "a"}}
	members := make([]Member, size)
	for i := range size {
		name := string(rune('a' + i))
		m := &modelTarget{name: name, term: 1, role: target.RoleReplica, following: "a"}
		w.targets = append(w.targets, m)
		members[i] = Member{Name: name, Address: name, Domain: "d" + strconv.Itoa(i)}
	}
	w.targets[0].role = target.RolePrimary
	for i := range 2 {
		g := New(Options{
			Self:   "node" + strconv.Itoa(i),
			Domain: "d" + strconv.Itoa(i),
			Settle: 100 * time.Millisecond,
			Rand:   rand.New(rand.NewPCG(1, uint64(i))),
		})
		g.SetMembers(members)
		g.Enable(true)
		w.groups = append(w.groups, g)
	}
	return w
}

func (w *world) target(name string) *modelTarget {
	i := slices.IndexFunc(w.targets, func(m *modelTarget) bool { return m.name == name })
	return w.targets[i]
}

// step lets one random thing happen.
func (w *world) step() {
	g := w.rand.IntN(len(w.groups))
	m := w.targets[w.rand.IntN(len(w.targets))]
	switch w.rand.IntN(9 + 1) {
	case 0:
		m.down = !m.down && w.rand.IntN(2) == 0
	case 1:
		w.write(m)
	case 2, 3:
		w.replicate(m)
	case 4:
		w.groups[g].Answer(w.now, "peer", "elsewhere", m.name, w.rand.IntN(3+1) == 0)
	case 5, 6, 7:
		w.now = w.now.Add(time.Duration((1 + w.rand.IntN(400))) * time.Millisecond)
		w.poll(g)
	default:
		w.deliver()
	}
}

func (w *world) send(from int, actions []Action) {
	for _, a := range actions {
		w.flights = append(w.flights, flight{from: from, action: a})
	}
}

func (w *world) poll(g int) {
	for _, m := range w.targets {
		if m.down {
			w.groups[g].Unreachable(w.now, m.name)
			continue
		}
		w.groups[g].Observe(w.now, m.status())
	}
	w.send(g, w.groups[g].Tick(w.now))
}

// deliver carries out one order in any sequence; its answer may be lost.
func (w *world) deliver() {
	if len(w.flights) == 0 {
		return
	}
	i := w.rand.IntN(len(w.flights))
	f := w.flights[i]
	w.flights = slices.Delete(w.flights, i, i+1)
	lost := w.rand.IntN(3+1) == 0
	g := w.groups[f.from]
	orderer := g.options.Self
	switch a := f.action.(type) {
	case Adopt:
		m := w.target(a.Target)
		if m.down {
			return
		}
		err := m.adopt(a.Term, orderer)
		if !lost {
			g.Adopted(w.now, a.Target, a.Term, m.status(), err)
		}
	case Promote:
		m := w.target(a.Target)
		if m.down {
			return
		}
		err := m.promote(a.Term, orderer)
		if err == nil {
			w.checkLeader(m)
		}
		if !lost {
			w.send(f.from, g.Promoted(w.now, a.Target, a.Term, m.status(), err))
		}
	case Follow:
		if m := w.target(a.Target); !m.down {
			_ = m.follow(a.Term, a.Address)
		}
	}
}

func (w *world) write(m *modelTarget) {
	if m.down || m.role != target.RolePrimary {
		return
	}
	w.nextID++
	m.log = append(m.log, entry{term: m.term, id: w.nextID})
}

// replicate pulls from the primary that m follows, and acknowledges what a majority in
// the primary's term then holds.
func (w *world) replicate(m *modelTarget) {
	if m.down || m.role == target.RolePrimary || m.following == "" {
		return
	}
	lead := w.target(m.following)
	if lead.down || lead.role != target.RolePrimary || lead.term != m.term {
		return
	}
	m.log = slices.Clone(lead.log)
	for i, e := range lead.log {
		if e.term != lead.term {
			continue
		}
		holding := 0
		for _, other := range w.targets {
			if other.term == lead.term && len(other.log) > i && other.log[i] == e {
				holding++
			}
		}
		if holding > len(w.targets)/2 && !slices.Contains(w.acked, e) {
			w.acked = append(w.acked, e)
		}
	}
}

// checkLeader states the invariant: one leader a term, and it holds all acknowledged.
func (w *world) checkLeader(m *modelTarget) {
	if old, ok := w.leaders[m.term]; ok && old != m.name {
		w.t.Fatalf("seed %d: term %d has two leaders: %s and %s", w.seed, m.term, old, m.name)
	}
	w.leaders[m.term] = m.name
	for _, e := range w.acked {
		if e.term < m.term && !slices.Contains(m.log, e) {
			w.t.Fatalf("seed %d: leader %s of term %d lacks acknowledged %+v", w.seed, m.name, m.term, e)
		}
	}
}

// Size of the random histories.
const (
	histories = 200
	steps     = 4000
	// leastPromotions is how many promotions they must hold to prove anything.
	leastPromotions = 4 * histories
)

func TestRacingOrderersLoseNothing(t *testing.T) {
	promotions, acknowledged := 0, 0
	for seed := range uint64(histories) {
		w := newWorld(t, seed, 3+2*int(seed%2))
		for range steps {
			w.step()
		}
		promotions += len(w.leaders) - 1
		acknowledged += len(w.acked)
	}
	must.Greater(t, leastPromotions, promotions, must.Sprint("the histories hardly promote anything"))
	must.Greater(t, leastPromotions, acknowledged, must.Sprint("the histories hardly acknowledge anything"))
	t.Logf("%d promotions, %d acknowledged writes", promotions, acknowledged)
}
