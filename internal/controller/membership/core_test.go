package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/platform"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// simulation is a fleet of Cores on logical time. Calls take no time.
type simulation struct {
	now   time.Time
	vms   []platform.VM
	cores map[string]*Core
	// blocked reports whether a call from one node to another is lost.
	blocked func(from, to string) bool
	// onMessage is called for every probe and reply that is sent.
	onMessage func(from, to string, message any)
}

func newSimulation(count int) *simulation {
	s := &simulation{now: start, cores: map[string]*Core{}}
	s.blocked = func(string, string) bool { return false }
	s.onMessage = func(string, string, any) {}
	for i := range count {
		s.vms = append(s.vms, platform.VM{Name: fmt.Sprintf("node%04d", i), Domain: fmt.Sprint(i % 7)})
	}
	for i, vm := range s.vms {
		c := New(vm, 1, rand.New(rand.NewPCG(7, uint64(i))))
		c.SetListed(s.vms, s.now)
		s.cores[vm.Name] = c
	}
	return s
}

// call delivers a probe from one node to another, and the reply back.
func (s *simulation) call(from, to string, p Probe) (Reply, bool) {
	s.onMessage(from, to, p)
	receiver := s.cores[to]
	if receiver == nil || s.blocked(from, to) {
		return Reply{}, false
	}
	receiver.OnProbe(p, s.now)
	reply := Reply{}
	if p.Through != "" {
		if send, ok := receiver.Probe(p.Through); ok {
			reply.Reached = s.probe(to, send)
		}
	}
	reply.Gossip = receiver.Gossip(s.now)
	s.onMessage(to, from, reply)
	if s.blocked(to, from) {
		return Reply{}, false
	}
	s.cores[from].OnReply(to, reply, s.now, s.now)
	return reply, true
}

func (s *simulation) probe(from string, send OutboundProbe) bool {
	_, ok := s.call(from, send.To, send.Probe)
	return ok
}

// step lets one node send the probes that are due.
func (s *simulation) step(name string) {
	core := s.cores[name]
	for _, send := range core.Tick(s.now) {
		if s.probe(name, send) {
			continue
		}
		reached := false
		for _, indirect := range core.OnTimeout(send.To) {
			reply, ok := s.call(name, indirect.To, indirect.Probe)
			reached = reached || ok && reply.Reached
		}
		if !reached {
			core.OnUnreachable(send.To, s.now)
		}
	}
}

// run advances the time by d. Nodes probe at different times within each interval.
func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(ProbeInterval / 10) {
		for _, vm := range s.vms {
			if s.cores[vm.Name] != nil {
				s.step(vm.Name)
			}
		}
	}
}

func (s *simulation) state(at, of string) State {
	m, _ := s.cores[at].View().Member(of)
	return m.State
}

func (s *simulation) count(of string, state State) int {
	count := 0
	for name := range s.cores {
		if name != of && s.state(name, of) == state {
			count++
		}
	}
	return count
}

func TestEveryNodeIsHeardOf(t *testing.T) {
	for _, count := range []int{6, 24, 32} {
		s := newSimulation(count)
		s.run(5 * time.Second)
		for range 40 {
			s.run(ProbeInterval)
			for name, c := range s.cores {
				heard := c.CountHeard(0, 2*time.Second, s.now)
				must.Eq(t, count, heard, must.Sprintf("%s of %d", name, count))
			}
		}
	}
}

func TestCrash(t *testing.T) {
	s := newSimulation(12)
	s.run(2 * time.Second)
	delete(s.cores, "node0003")
	s.run(2 * time.Second)
	must.Eq(t, 11, s.count("node0003", Suspect))
	s.run(GoneAfter + time.Second)
	must.Eq(t, 11, s.count("node0003", Gone))
}

// TestHalfOpenLink blocks one direction between two nodes. Other nodes still reach both, so
// neither becomes suspect.
func TestHalfOpenLink(t *testing.T) {
	s := newSimulation(8)
	s.blocked = func(from, to string) bool { return from == "node0001" && to == "node0002" }
	for range 100 {
		s.run(ProbeInterval)
		must.Eq(t, Alive, s.state("node0001", "node0002"))
		must.Eq(t, Alive, s.state("node0005", "node0002"))
	}
}

// TestCutComesBack isolates one node and reconnects it. All nodes must see it as alive again.
func TestCutComesBack(t *testing.T) {
	s := newSimulation(8)
	s.run(time.Second)
	cut := true
	s.blocked = func(from, to string) bool { return cut && (from == "node0002" || to == "node0002") }
	s.run(6 * time.Second)
	must.Eq(t, 7, s.count("node0002", Gone))
	cut = false
	s.run(3 * time.Second)
	must.Eq(t, 7, s.count("node0002", Alive))
	for _, vm := range s.vms {
		must.Eq(t, Alive, s.state("node0002", vm.Name))
	}
}

// TestFlapping repeatedly isolates a node for 2 s and reconnects it for 2 s. Its state must
// change less and less often.
func TestFlapping(t *testing.T) {
	s := newSimulation(8)
	flaps := func(d time.Duration) int {
		changes, last := 0, Alive
		for end := s.now.Add(d); s.now.Before(end); {
			s.run(ProbeInterval)
			if state := s.state("node0000", "node0004"); (state == Alive) != (last == Alive) {
				changes, last = changes+1, state
			}
		}
		return changes
	}
	s.blocked = func(from, to string) bool {
		return (from == "node0004" || to == "node0004") && s.now.Unix()/2%2 == 0
	}
	first, later := flaps(20*time.Second), flaps(20*time.Second)
	t.Logf("changes in the first 20 s: %d, in the next: %d", first, later)
	must.Less(t, first, later)
	must.LessEq(t, 1, later)
}

func TestLeaveIsKnownAtOnce(t *testing.T) {
	s := newSimulation(8)
	s.run(time.Second)
	for _, send := range s.cores["node0006"].Leave() {
		s.probe("node0006", send)
	}
	must.Eq(t, 7, s.count("node0006", Leaving))
	delete(s.cores, "node0006")
	s.run(time.Second)
	must.Eq(t, 7, s.count("node0006", Leaving))
}

// TestOldNewsLoses checks that an outdated suspicion that arrives after its refutation is
// ignored.
func TestOldNewsLoses(t *testing.T) {
	s := newSimulation(3)
	c := s.cores["node0000"]
	old := Probe{Gossip: Gossip{From: "node0001", Incarnation: 1, Updates: []Update{{Name: "node0002", Incarnation: 1, State: Suspect}}}}
	c.OnProbe(old, s.now)
	must.Eq(t, Suspect, s.state("node0000", "node0002"))
	s.run(2 * time.Second)
	must.Eq(t, Alive, s.state("node0000", "node0002"))
	c.OnProbe(old, s.now)
	must.Eq(t, Alive, s.state("node0000", "node0002"))
}

// TestUnaskedGossipIsNoSignOfLife checks that gossip that was not asked for does not count as
// a heartbeat: nobody knows how long the message has been in transit.
func TestUnaskedGossipIsNoSignOfLife(t *testing.T) {
	s := newSimulation(3)
	c := s.cores["node0000"]
	c.OnProbe(Probe{Gossip: Gossip{From: "node0001", Incarnation: 1, ConfigVersion: 9}}, s.now)
	must.Eq(t, 1, c.CountHeard(0, time.Hour, s.now))
	must.Eq(t, 9, c.MaxVersion())
}

// TestSuspicionIsToldAtOnce checks that the first node that finds another one unreachable
// tells all nodes that appear alive, so that they need not detect it themselves. Finding it
// again is not announced.
func TestSuspicionIsToldAtOnce(t *testing.T) {
	s := newSimulation(8)
	s.run(2 * time.Second)
	dead := s.vms[3].Name
	delete(s.cores, dead)
	finder := s.cores[s.vms[0].Name]
	probes := finder.OnUnreachable(dead, s.now)
	must.Len(t, len(s.vms)-2, probes)
	must.SliceEmpty(t, finder.OnUnreachable(dead, s.now))
	for _, send := range probes {
		must.NotEq(t, dead, send.To)
		must.True(t, s.probe(s.vms[0].Name, send))
	}
	for name, core := range s.cores {
		m, ok := core.View().Member(dead)
		must.True(t, ok)
		must.Eq(t, Suspect, m.State, must.Sprint(name))
	}
}

// TestSuspicionAnnouncementsAreBounded checks that a suspicion in a large fleet is announced
// to a bounded number of nodes.
func TestSuspicionAnnouncementsAreBounded(t *testing.T) {
	s := newSimulation(200)
	s.run(5 * time.Second)
	must.Len(t, maxAnnouncements, s.cores[s.vms[0].Name].OnUnreachable(s.vms[3].Name, s.now))
}
