package promotion

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/logpos"
	"crocusyoke/internal/target"
)

const tick = 50 * time.Millisecond

// bench drives one orderer over model targets without loss.
type bench struct {
	w     *world
	links map[string]time.Duration
}

func newBench() *bench {
	w := newWorld(nil, 0, 3)
	w.groups = w.groups[:1]
	return &bench{w: w, links: map[string]time.Duration{}}
}

// run lets time pass; peers answer as reachable says. It returns the records.
func (b *bench) run(d time.Duration, reachable bool) []Record {
	var records []Record
	g := b.w.groups[0]
	for end := b.w.now.Add(d); b.w.now.Before(end); b.w.now = b.w.now.Add(tick) {
		for _, m := range b.w.targets {
			if m.down {
				g.Unreachable(b.w.now, m.name)
				continue
			}
			s := m.status()
			s.LinkAge = b.links[m.name]
			g.Observe(b.w.now, s)
		}
		records = append(records, b.carryOut(g.Tick(b.w.now), reachable)...)
	}
	return records
}

func (b *bench) carryOut(actions []Action, reachable bool) []Record {
	var records []Record
	g := b.w.groups[0]
	for _, action := range actions {
		switch a := action.(type) {
		case Ask:
			g.Answer(b.w.now, "peer", "d2", a.Target, reachable)
		case Adopt:
			m := b.w.target(a.Target)
			if !m.down {
				err := m.adopt(a.Term, g.options.Self)
				g.Adopted(b.w.now, a.Target, a.Term, m.status(), err)
			}
		case Promote:
			m := b.w.target(a.Target)
			err := m.promote(a.Term, g.options.Self)
			records = append(records, b.carryOut(g.Promoted(b.w.now, a.Target, a.Term, m.status(), err), reachable)...)
		case Follow:
			_ = b.w.target(a.Target).follow(a.Term, a.Address)
		case Record:
			records = append(records, a)
		}
	}
	return records
}

func TestDeadPrimaryIsReplaced(t *testing.T) {
	b := newBench()
	b.run(time.Second, true)
	b.w.targets[0].down = true
	records := b.run(3*time.Second, false)
	must.Len(t, 1, records)
	must.Eq(t, ReasonUnreachable, records[0].Reason)
	must.Eq(t, 2, records[0].Term)
	must.NotEq(t, "a", records[0].Primary)
	b.w.targets[0].down = false
	b.run(2*time.Second, true)
	must.Eq(t, target.RoleReplica, b.w.targets[0].role)
	must.Eq(t, records[0].Primary, b.w.targets[0].following)
}

func TestShortPauseChangesNothing(t *testing.T) {
	b := newBench()
	b.run(time.Second, true)
	b.w.targets[0].down = true
	must.Len(t, 0, b.run(500*time.Millisecond, false))
	b.w.targets[0].down = false
	must.Len(t, 0, b.run(3*time.Second, true))
}

func TestCutOwnerDeposesNobody(t *testing.T) {
	b := newBench()
	b.run(time.Second, true)
	b.w.targets[0].down = true
	must.Len(t, 0, b.run(10*time.Second, true))
}

func TestMinorityOrdersNothing(t *testing.T) {
	b := newBench()
	b.run(time.Second, true)
	b.w.targets[0].down = true
	b.w.targets[1].down = true
	must.Len(t, 0, b.run(10*time.Second, false))
	must.Eq(t, 1, b.w.targets[2].term)
}

func TestHighestLogIsChosen(t *testing.T) {
	b := newBench()
	b.w.targets[2].log = []entry{{term: 1, id: 1}, {term: 1, id: 2}}
	b.w.targets[1].log = []entry{{term: 1, id: 1}}
	b.run(time.Second, true)
	b.w.targets[0].down = true
	records := b.run(3*time.Second, false)
	must.Len(t, 1, records)
	must.Eq(t, "c", records[0].Primary)
}

func TestPrimaryCutOffFromItsGroupIsReplaced(t *testing.T) {
	b := newBench()
	b.run(time.Second, true)
	b.w.targets[0].log = []entry{{term: 1, id: 1}}
	b.links["b"], b.links["c"] = 2*StallAfter, 2*StallAfter
	records := b.run(time.Second, true)
	must.SliceNotEmpty(t, records)
	must.Eq(t, ReasonCutOff, records[0].Reason)
	must.NotEq(t, "a", records[0].Primary)
}

func TestLeavingPrimaryHandsOverWhenASuccessorHasCaughtUp(t *testing.T) {
	b := newBench()
	a, c := b.w.targets[0], b.w.targets[2]
	a.log = []entry{{term: 1, id: 1}, {term: 1, id: 2}}
	b.w.targets[1].log = a.log[:1]
	c.log = a.log[:1]
	g := b.w.groups[0]
	members := append([]Member(nil), g.members...)
	members[0].Leaving = true
	g.SetMembers(members)
	must.Len(t, 0, b.run(time.Second, true))
	must.Eq(t, PhaseFence, g.Phase())
	must.Eq(t, target.RoleReplica, a.role, must.Sprint("the leaving primary is fenced"))
	c.log = a.log
	records := b.run(time.Second, true)
	must.Len(t, 1, records)
	must.Eq(t, "c", records[0].Primary)
	must.Eq(t, logpos.Position{Term: 2, Index: 3}, c.status().Last)
}

func TestTermIsNeverOrderedTwice(t *testing.T) {
	b := newBench()
	g := b.w.groups[0]
	b.run(time.Second, true)
	b.w.targets[0].down = true
	seen := map[uint64]bool{}
	g.options.Rand = rand.New(rand.NewPCG(2, 2))
	for range 400 {
		b.w.now = b.w.now.Add(tick)
		for _, m := range b.w.targets {
			if m.down {
				g.Unreachable(b.w.now, m.name)
				continue
			}
			g.Observe(b.w.now, m.status())
		}
		for _, action := range g.Tick(b.w.now) {
			switch a := action.(type) {
			case Ask:
				g.Answer(b.w.now, "peer", "d2", a.Target, false)
			case Adopt:
				m := target.Status{Term: a.Term, Orderer: g.options.Self}
				g.Adopted(b.w.now, a.Target, a.Term, m, nil)
			case Promote:
				must.False(t, seen[a.Term], must.Sprintf("term %d ordered twice", a.Term))
				seen[a.Term] = true
			}
		}
	}
	must.Greater(t, 1, len(seen))
}
