package coldstart

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const (
	testColdStart = 8 * time.Second
	// heartbeat is the interval of a target's entries, entryDelay the longest that a node in touch learns of one late.
	heartbeat  = 1200 * time.Millisecond
	entryDelay = 300 * time.Millisecond
)

// process is one process of a target; endedAt is zero while it runs.
type process struct{ startedAt, endedAt time.Time }

// proofWorld is a random history of a target that starts again and again, and of one node's knowledge of it.
type proofWorld struct {
	random    *rand.Rand
	now       time.Time
	processes []*process
	// control and data are the processes that the node's connections lead to.
	control *process
	data    map[*process]time.Time
	link    Link
	life    Life
	// learnedUntil is when the newest entry was written that the node has learned of.
	learnedUntil time.Time
	// away holds when the store went away and came back by turns: meanwhile no entry is written or learned.
	away []time.Time
	// brokeAt is when the node last saw the control connection break. It does not poll until pausedUntil.
	brokeAt, pausedUntil time.Time
}

func (w *proofWorld) isAway(at time.Time) bool {
	changes := 0
	for _, change := range w.away {
		if !change.After(at) {
			changes++
		}
	}
	return changes%2 == 1
}

// running returns the target's process, nil while there is none.
func (w *proofWorld) running() *process {
	p := w.processes[len(w.processes)-1]
	if !p.endedAt.IsZero() {
		return nil
	}
	return p
}

// learn gives the node the newest entry that was written until now less a delay.
func (w *proofWorld) learn() {
	if w.isAway(w.now) {
		return
	}
	until := w.now.Add(-time.Duration(w.random.IntN(int(entryDelay/time.Millisecond))) * time.Millisecond)
	var newest *process
	var writtenAt time.Time
	for _, p := range w.processes {
		for at := p.startedAt; !at.After(until) && (p.endedAt.IsZero() || at.Before(p.endedAt)); at = at.Add(heartbeat) {
			if !w.isAway(at) {
				newest, writtenAt = p, at
			}
		}
	}
	if newest != nil && writtenAt.After(w.learnedUntil) {
		w.learnedUntil = writtenAt
		left := max(0, newest.startedAt.Add(testColdStart).Sub(writtenAt))
		sequence := uint64(writtenAt.Sub(newest.startedAt)/heartbeat) + 1
		w.life = w.life.Observe(w.now, Entry{newest.startedAt, sequence, left, w.random.IntN(10) > 0})
	}
}

// restart ends the running process, or starts one if the last ended long enough ago: less long if the node has had a
// connection to it and so sees it break.
func (w *proofWorld) restart() {
	last := w.processes[len(w.processes)-1]
	switch {
	case last.endedAt.IsZero():
		last.endedAt = w.now
	case w.now.Sub(last.endedAt) > minRestart+heartbeat+entryDelay,
		w.now.Sub(last.endedAt) > entryDelay && (w.control == last || w.brokeAt.After(last.endedAt)):
		w.processes = append(w.processes, &process{startedAt: w.now})
	}
}

// isSettled reports whether the target's process runs for long enough that the one before is past.
func (w *proofWorld) isSettled() bool {
	p := w.running()
	return p != nil && w.now.Sub(p.startedAt) > minRestart+heartbeat+entryDelay
}

func (w *proofWorld) poll() {
	p := w.running()
	switch {
	case w.control == nil && p != nil:
		w.control = p
		w.link.Connect(w.now)
	case w.control == nil || w.control != p:
		w.control, w.brokeAt = nil, w.now
		w.link.Break()
	default:
		w.link.Answer(w.now)
	}
}

// TestOnlyWarmProcessesAreBelievedWarm plays random histories of a target that ends and starts again, of a node that
// starts and closes its control connection while the target runs, pauses and opens connections, and of a store that is
// away at times. No connection that leads to a cold process counts as warm.
func TestOnlyWarmProcessesAreBelievedWarm(t *testing.T) {
	warm, unproven := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		began := time.Unix(1000, 0)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		w := &proofWorld{random: random, now: began, processes: []*process{{startedAt: began.Add(-20 * time.Second)}}, data: map[*process]time.Time{}}
		w.learnedUntil = began.Add(-time.Hour)
		for range 400 {
			w.now = w.now.Add(time.Duration([]int{5, 20, 100, 400}[random.IntN(4)]) * time.Millisecond)
			w.learn()
			switch random.IntN(41) {
			case 40, 39:
				w.restart()
			case 37:
				w.away = append(w.away, w.now)
			case 36:
				// The node starts again. It reads the newest entry at once.
				if w.isSettled() {
					w.link, w.life, w.control, w.data = Link{}, Life{}, nil, map[*process]time.Time{}
					w.learnedUntil = began.Add(-time.Hour)
				}
			case 35:
				if w.isSettled() {
					w.control = nil
				}
			case 31, 30:
				w.pausedUntil = w.now.Add(time.Duration(random.IntN(5)) * time.Second)
			case 34, 33, 32:
				if p := w.running(); p != nil {
					w.data[p] = w.now
				}
			}
			if random.IntN(4) > 0 && w.now.After(w.pausedUntil) {
				w.poll()
			}
			for p, openedAt := range w.data {
				if p != w.running() {
					continue
				}
				isWarm := w.now.Sub(p.startedAt) >= testColdStart
				switch {
				case w.link.LeadsToWarm(w.now, openedAt, w.life, testColdStart):
					warm++
					must.True(t, isWarm)
					if random.IntN(3) == 0 {
						w.link.AnswerWarm(w.now)
					}
				case isWarm:
					unproven++
				}
			}
		}
	})
	t.Logf("warm: %d times proven, %d times not", warm, unproven)
	must.Greater(t, 1000, warm)
}

// TestEntriesProveAfterTwo checks how soon a node in touch knows a warm target: with the second entry, also after it has
// seen the connection break; and that what an entry states does not outweigh a start.
func TestEntriesProveAfterTwo(t *testing.T) {
	now := time.Unix(100_000, 0)
	warm := Entry{StartedAt: now.Add(-time.Hour), Sequence: 7, Stated: true}
	life := Life{}.Observe(now, warm)
	next := func() {
		now = now.Add(heartbeat)
		warm.Sequence++
		life = life.Observe(now, warm)
	}
	var link Link
	link.Connect(now)
	link.Answer(now)
	must.False(t, link.IsWarm(now, life, testColdStart))
	must.Eq(t, life, life.Observe(now.Add(heartbeat), warm))
	next()
	must.True(t, link.IsWarm(now, life, testColdStart))
	must.False(t, link.LeadsToWarm(now, now, life, testColdStart))
	link.Answer(now)
	must.True(t, link.LeadsToWarm(now, now, life, testColdStart))
	must.True(t, link.IsWarm(now, Life{}, testColdStart))
	link.Break()
	must.False(t, link.IsWarm(now, life, testColdStart))
	link.Connect(now.Add(1))
	link.Answer(now.Add(1))
	for _, want := range []bool{false, false, true} {
		must.Eq(t, want, link.IsWarm(now, life, testColdStart))
		next()
	}
}

// TestWarmProcessProvesANewLink checks that a target that closes the control connection only is known to be warm again once
// a data connection that was proven before has answered a request sent since the next control connection.
func TestWarmProcessProvesANewLink(t *testing.T) {
	now := time.Unix(100_000, 0)
	var link Link
	link.Connect(now.Add(-testColdStart))
	link.Answer(now)
	must.True(t, link.IsWarm(now, Life{}, testColdStart))
	link.AnswerWarm(now)
	link.Break()
	link.Connect(now.Add(2))
	link.Answer(now.Add(2))
	link.AnswerWarm(now.Add(1))
	must.False(t, link.IsWarm(now.Add(3), Life{}, testColdStart))
	link.AnswerWarm(now.Add(3))
	must.True(t, link.IsWarm(now.Add(4), Life{}, testColdStart))
}

// TestLongerColdTimeOfAnEntryCounts guards against a target that states a longer cold time than the configuration and is
// believed warm because its connections have stood for the shorter one.
func TestLongerColdTimeOfAnEntryCounts(t *testing.T) {
	now := time.Unix(100_000, 0)
	opened := now
	var link Link
	link.Connect(now)
	link.Answer(now)
	life := Life{}.Observe(now, Entry{StartedAt: now, Sequence: 1, Left: 2 * testColdStart, Stated: true})
	now = now.Add(testColdStart)
	must.False(t, link.IsWarm(now, life, testColdStart))
	must.False(t, link.LeadsToWarm(now, opened, life, testColdStart))
	must.True(t, link.LeadsToWarm(now, opened, Life{}, testColdStart))
	link = Link{connectedAt: opened, answeredAt: opened}
	now = now.Add(testColdStart)
	must.True(t, link.IsWarm(now, life, testColdStart))
	must.True(t, link.LeadsToWarm(now, opened, life, testColdStart))
}

func TestColdTimeOfAnEntry(t *testing.T) {
	now := time.Unix(100_000, 0)
	until := func(e Entry) time.Duration { return Life{}.Observe(now, e).coldUntil(testColdStart).Sub(now) }
	old := now.Add(-time.Hour)
	must.Eq(t, 3*time.Second, until(Entry{StartedAt: old, Left: 3 * time.Second, Stated: true}))
	must.Eq(t, testColdStart, until(Entry{StartedAt: old}))
	must.Eq(t, testColdStart, until(Entry{StartedAt: now, Stated: true}))
	must.Eq(t, testColdStart, until(Entry{StartedAt: now.Add(time.Hour), Stated: true}))
	must.Eq(t, Life{}, Life{}.Observe(now, Entry{StartedAt: time.UnixMilli(0), Stated: true}))
	life := Life{}.Observe(now, Entry{StartedAt: now, Sequence: 1, Stated: true})
	must.Eq(t, life, life.Observe(now, Entry{StartedAt: old, Sequence: 2, Stated: true}))
	must.True(t, life.Observe(now.Add(entryInterval+1), Entry{StartedAt: now, Sequence: 2, Stated: true}).timelyAt.IsZero())
}
