package evidence

import (
	"fmt"
	"testing"
	"time"

	"crocusyoke/internal/logpos"
	"crocusyoke/internal/target"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1000, 0)

// modelTarget is a target that keeps to the assumptions of package target.
type modelTarget struct {
	name    string
	role    target.Role
	term    uint64
	log     []logpos.Position
	follows int
}

func (m *modelTarget) last() logpos.Position {
	if len(m.log) == 0 {
		return logpos.Position{}
	}
	return m.log[len(m.log)-1]
}

func (m *modelTarget) append() logpos.Position {
	p := logpos.Position{Term: m.term, Index: uint64(len(m.log)) + 1}
	m.log = append(m.log, p)
	return p
}

func (m *modelTarget) has(p logpos.Position) bool {
	return uint64(len(m.log)) >= p.Index && m.log[p.Index-1] == p
}

// question is a poll under way: asked, then answered with a status, then observed.
type question struct {
	target   int
	sentAt   time.Time
	answered bool
	status   target.Status
}

// pending is a commit whose answer may be passed on once confirmed.
type pending struct {
	claim    Claim
	position logpos.Position
}

// model is a group with a promotion protocol, an owner that gathers evidence, and every
// delay in between under the control of rapid.
type model struct {
	now       time.Time
	targets   []*modelTarget
	group     *Group
	questions []*question
	commits   []pending
	confirmed []logpos.Position
	// left is, by term, when a majority had left it.
	left map[uint64]time.Time
	// order of a promotion under way: the term and the targets that adopted it.
	term    uint64
	adopted map[int]bool
}

func newModel(n int) *model {
	m := &model{now: epoch, left: make(map[uint64]time.Time), term: 1}
	var names []string
	for i := range n {
		t := &modelTarget{name: fmt.Sprint(i), role: target.RoleReplica, term: 1}
		m.targets = append(m.targets, t)
		names = append(names, t.name)
	}
	m.targets[0].role = target.RolePrimary
	m.targets[0].append()
	m.group = New(names, Rules{})
	return m
}

func (m *model) majority() int { return len(m.targets)/2 + 1 }

func (m *model) adopt(i int) {
	if m.adopted == nil {
		m.term++
		m.adopted = make(map[int]bool)
	}
	t := m.targets[i]
	t.term = max(t.term, m.term)
	m.adopted[i] = true
	if len(m.adopted) == m.majority() {
		for term := range m.term {
			if _, ok := m.left[term]; !ok {
				m.left[term] = m.now
			}
		}
	}
}

// promote takes the highest last position of those that adopted, as the promotion does.
// A target that follows drops what the primary lacks.
func (m *model) promote() {
	if len(m.adopted) < m.majority() {
		return
	}
	best := -1
	for i := range m.targets {
		if m.adopted[i] && (best < 0 || m.targets[best].last().Less(m.targets[i].last())) {
			best = i
		}
	}
	for i := range m.adopted {
		m.targets[i].role = target.RoleReplica
		m.targets[i].follows = best
	}
	m.targets[best].role = target.RolePrimary
	m.targets[best].append()
	m.adopted = nil
}

// pull copies the primary's log to i, if i is in its term.
func (m *model) pull(i int) {
	t := m.targets[i]
	from := m.targets[t.follows]
	if t.role != target.RoleReplica || from.role != target.RolePrimary || from.term != t.term {
		return
	}
	t.log = append([]logpos.Position(nil), from.log...)
}

// commit writes on target i if it believes that it leads; the answer comes at once.
func (m *model) commit(i int, majority bool) {
	t := m.targets[i]
	if t.role != target.RolePrimary || t.last().Term != t.term {
		return
	}
	p := t.append()
	claim := Claim{Primary: t.name, Term: t.term, Position: p, Since: m.now, Majority: majority}
	m.commits = append(m.commits, pending{claim, p})
}

func (m *model) answer(q *question) {
	t := m.targets[q.target]
	q.answered = true
	q.status = target.Status{Target: t.name, Role: t.role, Term: t.term, Last: t.last()}
}

// TestNothingConfirmedIsLost checks both halves of the rule over random histories with
// several primaries at once, delayed and reordered statuses and a paused owner: no write
// is confirmed that was committed after a majority had left its term, and no confirmed
// entry is missing from the log of a later primary.
func TestNothingConfirmedIsLost(t *testing.T) {
	var seen int
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.SampledFrom([]int{3, 5}).Draw(t, "targets"))
		anyTarget := rapid.IntRange(0, len(m.targets)-1)
		step := func(t *rapid.T, most int) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, most).Draw(t, "ms")) * time.Millisecond)
		}
		t.Repeat(map[string]func(*rapid.T){
			"commit": func(t *rapid.T) {
				m.commit(anyTarget.Draw(t, "target"), rapid.Bool().Draw(t, "majority"))
				step(t, 5)
			},
			"ask": func(t *rapid.T) {
				step(t, 5)
				m.questions = append(m.questions, &question{target: anyTarget.Draw(t, "target"), sentAt: m.now})
			},
			"answer": func(t *rapid.T) {
				if len(m.questions) == 0 {
					return
				}
				m.answer(m.questions[rapid.IntRange(0, len(m.questions)-1).Draw(t, "question")])
				step(t, 5)
			},
			"observe": func(t *rapid.T) {
				if len(m.questions) == 0 {
					return
				}
				i := rapid.IntRange(0, len(m.questions)-1).Draw(t, "question")
				q := m.questions[i]
				m.questions = append(m.questions[:i:i], m.questions[i+1:]...)
				if !q.answered {
					m.answer(q)
				}
				m.group.Observe(q.sentAt, m.now, q.status)
			},
			"pause": func(t *rapid.T) { step(t, 3000) },
			"adopt": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "rare") == 0 {
					m.adopt(anyTarget.Draw(t, "target"))
				}
				step(t, 5)
			},
			"promote": func(t *rapid.T) { m.promote(); step(t, 5) },
			"pull":    func(t *rapid.T) { m.pull(anyTarget.Draw(t, "target")); step(t, 5) },
			"write": func(t *rapid.T) {
				for i := range m.targets {
					m.commit(i, rapid.Bool().Draw(t, "majority"))
				}
				step(t, 5)
				for i := range m.targets {
					if rapid.Bool().Draw(t, "pulls") {
						m.pull(i)
					}
				}
			},
			"pull all": func(*rapid.T) {
				for i := range m.targets {
					m.pull(i)
				}
			},
			"ask all": func(t *rapid.T) {
				for i := range m.targets {
					m.questions = append(m.questions, &question{target: i, sentAt: m.now})
				}
				step(t, 5)
			},
			"observe all": func(t *rapid.T) {
				for _, q := range m.questions {
					if !q.answered {
						m.answer(q)
					}
					m.group.Observe(q.sentAt, m.now, q.status)
				}
				m.questions = nil
			},
			"adopt and promote": func(t *rapid.T) {
				for range m.majority() {
					m.adopt(anyTarget.Draw(t, "target"))
				}
				m.promote()
			},
			"": func(t *rapid.T) {
				seen += m.confirm(t)
				m.check(t)
			},
		})
	})
	t.Logf("%d writes confirmed", seen)
	must.Positive(t, seen)
}

// confirm passes on every answer that may be, and returns how many were.
func (m *model) confirm(t *rapid.T) int {
	count := 0
	kept := m.commits[:0]
	for _, c := range m.commits {
		switch m.group.Confirm(m.now, c.claim) {
		case Wait:
			kept = append(kept, c)
		case Confirmed:
			count++
			left, over := m.left[c.claim.Term]
			must.False(t, over && left.Before(c.claim.Since), must.Sprint("committed after the term was over"))
			if c.claim.Majority {
				m.confirmed = append(m.confirmed, c.position)
			}
		}
	}
	m.commits = kept
	return count
}

// check asserts that every target that leads by right holds what was confirmed before.
func (m *model) check(t *rapid.T) {
	for _, target := range m.targets {
		if target.role != "primary" || target.last().Term != target.term {
			continue
		}
		for _, p := range m.confirmed {
			if target.term < p.Term {
				continue
			}
			must.True(t, target.has(p), must.Sprint("a primary lacks the confirmed entry ", p))
		}
	}
}

func status(name string, role target.Role, term uint64, last logpos.Position) target.Status {
	return target.Status{Target: name, Role: role, Term: term, Last: last}
}

func TestEvidenceGrowsStale(t *testing.T) {
	g := New([]string{"a", "b", "c"}, Rules{})
	p := logpos.Position{Term: 1, Index: 7}
	g.Observe(epoch, epoch, status("a", target.RolePrimary, 1, p))
	g.Observe(epoch, epoch, status("b", target.RoleReplica, 1, p))
	claim := Claim{Primary: "a", Term: 1, Position: p, Since: epoch, Majority: true}
	must.Eq(t, Confirmed, g.Confirm(epoch.Add(Bound), claim))
	must.Eq(t, Wait, g.Confirm(epoch.Add(Bound+1), claim))
	_, _, ok := g.Primary(epoch.Add(Bound + 1))
	must.False(t, ok)
	g.Observe(epoch, epoch, status("c", target.RoleReplica, 2, p))
	must.Eq(t, Replaced, g.Confirm(epoch, claim))
}

func TestEarlierQuestionsDontHideLaterOnes(t *testing.T) {
	g := New([]string{"a", "b", "c"}, Rules{})
	newer := logpos.Position{Term: 1, Index: 2}
	g.Observe(epoch.Add(1), epoch.Add(2), status("b", target.RoleReplica, 1, newer))
	g.Observe(epoch, epoch.Add(2), status("b", target.RoleReplica, 1, logpos.Position{Term: 1, Index: 1}))
	seen, sentAt, ok := g.Status("b")
	must.True(t, ok)
	must.Eq(t, newer, seen.Last)
	must.Eq(t, epoch.Add(1), sentAt)
}

func TestOldTermsLogDoesNotConfirm(t *testing.T) {
	g := New([]string{"a", "b", "c"}, Rules{})
	p := logpos.Position{Term: 2, Index: 7}
	g.Observe(epoch, epoch, status("a", target.RolePrimary, 2, p))
	g.Observe(epoch, epoch, status("b", target.RoleReplica, 2, logpos.Position{Term: 1, Index: 9}))
	claim := Claim{Primary: "a", Term: 2, Position: p, Since: epoch, Majority: true}
	must.Eq(t, Wait, g.Confirm(epoch, claim))
	claim.Majority = false
	must.Eq(t, Confirmed, g.Confirm(epoch, claim))
}

func TestLowerTermDoesNotCount(t *testing.T) {
	g := New([]string{"a", "b", "c"}, Rules{})
	p := logpos.Position{Term: 2, Index: 7}
	g.Observe(epoch, epoch, status("a", target.RolePrimary, 2, p))
	g.Observe(epoch, epoch, status("b", target.RoleReplica, 1, p))
	must.Eq(t, Wait, g.Confirm(epoch, Claim{Primary: "a", Term: 2, Since: epoch}))
	_, _, ok := g.Primary(epoch)
	must.False(t, ok)
}

// TestAnswerOfNewerTermIsNotConfirmed has a primary that followed another one between its
// commit and the end of its answer.
func TestAnswerOfNewerTermIsNotConfirmed(t *testing.T) {
	g := New([]string{"a", "b", "c"}, Rules{})
	p := logpos.Position{Term: 1, Index: 7}
	g.Observe(epoch, epoch, status("b", target.RoleReplica, 1, p))
	g.Observe(epoch, epoch, status("c", target.RoleReplica, 1, p))
	newer := logpos.Position{Term: 2, Index: 8}
	must.Eq(t, Replaced, g.Confirm(epoch, Claim{Primary: "a", Term: 1, Position: newer, Since: epoch}))
}

func TestUnknownPositionNeedsThePrimaryAsked(t *testing.T) {
	g := New([]string{"a", "b", "c"}, Rules{})
	p := logpos.Position{Term: 1, Index: 7}
	g.Observe(epoch, epoch, status("b", target.RoleReplica, 1, p))
	g.Observe(epoch, epoch, status("c", target.RoleReplica, 1, p))
	claim := Claim{Primary: "a", Term: 1, Since: epoch, Majority: true}
	must.Eq(t, Wait, g.Confirm(epoch, claim))
	g.Observe(epoch, epoch, status("a", target.RolePrimary, 1, logpos.Position{Term: 1, Index: 8}))
	must.Eq(t, Wait, g.Confirm(epoch, claim))
	g.Observe(epoch, epoch, status("b", target.RoleReplica, 1, logpos.Position{Term: 1, Index: 8}))
	must.Eq(t, Confirmed, g.Confirm(epoch, claim))
}

// TestAgeCountsFromTheQuestion checks that a cut replica ages by itself, and that a cut
// primary's positions make nothing young.
func TestAgeCountsFromTheQuestion(t *testing.T) {
	g := New([]string{"a", "b", "c"}, Rules{})
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	first := logpos.Position{Term: 1, Index: 1}
	g.Observe(at(0), at(30), status("a", target.RolePrimary, 1, first))
	_, known := g.Age(at(30), first)
	must.False(t, known)
	g.Observe(at(10), at(30), status("b", target.RoleReplica, 1, first))
	age, known := g.Age(at(40), first)
	must.True(t, known)
	must.Eq(t, 40*time.Millisecond, age)
	// b stays where it is while the primary goes on.
	second := logpos.Position{Term: 1, Index: 2}
	g.Observe(at(100), at(101), status("a", target.RolePrimary, 1, second))
	g.Observe(at(100), at(101), status("c", target.RoleReplica, 1, second))
	age, _ = g.Age(at(1000), first)
	must.Eq(t, time.Second, age)
	age, _ = g.Age(at(1000), second)
	must.Eq(t, 900*time.Millisecond, age)
	// The primary is cut off with nobody: its idle log doesn't make readers of it young.
	g.Observe(at(2000), at(2001), status("a", target.RolePrimary, 1, second))
	age, _ = g.Age(at(2001), second)
	must.Eq(t, 1901*time.Millisecond, age)
}

func TestNextPoll(t *testing.T) {
	sent := epoch
	must.Eq(t, sent.Add(SlowPoll), NextPoll(sent, Demand{}))
	must.Eq(t, sent.Add(IdlePoll), NextPoll(sent, Demand{Idle: true}))
	must.Eq(t, sent.Add(FastPoll), NextPoll(sent, Demand{Waiting: true, Since: sent}))
	must.Eq(t, sent.Add(MinPoll), NextPoll(sent, Demand{Waiting: true, Since: sent.Add(1)}))
}
