package membership

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// announcedBy returns how many probes a node sends to announce suspicions if it finds others unreachable one
// after the other, every tenth of a second for the given time.
func announcedBy(s *simulation, finder string, duration time.Duration) int {
	count := 0
	for i := range int(duration / (100 * time.Millisecond)) {
		count += len(s.cores[finder].OnUnreachable(s.vms[1+i].Name, s.now))
		s.now = s.now.Add(100 * time.Millisecond)
	}
	return count
}

// TestSuspicionsOfManyFillTheLinks guards against a node that announces each of many suspicions to all
// others: it needs a new connection for nearly every announcement.
func TestSuspicionsOfManyFillTheLinks(t *testing.T) {
	for _, size := range []int{18, 295, 2100} {
		s := newSimulation(size)
		s.run(5 * time.Second)
		announced := announcedBy(s, s.vms[0].Name, time.Second)
		must.LessEq(t, maxAnnouncements+announcementsPerSecond, announced)
		must.GreaterEq(t, min(maxAnnouncements, size-2), announced)
	}
}

// TestRestartedFleetFillsTheLinks guards against nodes that announce that all others are unreachable,
// because these have not started yet.
func TestRestartedFleetFillsTheLinks(t *testing.T) {
	s := newSimulation(295)
	must.LessEq(t, announcementsPerSecond, announcedBy(s, s.vms[0].Name, time.Second))
}

// TestLaterSuspicionIsNotAnnounced checks that a single suspicion some seconds after many others is
// announced like the first one.
func TestLaterSuspicionIsNotAnnounced(t *testing.T) {
	s := newSimulation(295)
	s.run(5 * time.Second)
	announcedBy(s, s.vms[0].Name, time.Second)
	s.run(5 * time.Second)
	must.Len(t, maxAnnouncements, s.cores[s.vms[0].Name].OnUnreachable(s.vms[200].Name, s.now))
}
