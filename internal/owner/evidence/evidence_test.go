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

// modelTarget is a target that meets the assumptions of package target.
type modelTarget struct {
	name string
	role target.Role
	term uint64
	log  []logpos.Position
	// primaryIndex is the index of the target that this one follows as a replica.
	primaryIndex int
}

func (m *modelTarget) last() logpos.Position {
	if len(m.log) == 0 {
		return logpos.Position{}
	}
	return m.log[len(m.log)-1]
}

func (m *modelTarget) appendEntry() logpos.Position {
	p := logpos.Position{Term: m.term, Index: uint64(len(m.log)) + 1}
	m.log = append(m.log, p)
	return p
}

func (m *modelTarget) contains(p logpos.Position) bool {
	return uint64(len(m.log)) >= p.Index && m.log[p.Index-1] == p
}

// poll is a poll in progress: it is sent, then answered with a status, then observed.
type poll struct {
	target   int
	sentAt   time.Time
	answered bool
	status   target.Status
}

// pendingCommit is a commit whose answer may be returned once it is confirmed.
type pendingCommit struct {
	claim    Claim
	position logpos.Position
}

// model is a group with a promotion protocol and an owner that gathers evidence. rapid controls
// every delay between the two.
type model struct {
	now       time.Time
	targets   []*modelTarget
	group     *Group
	polls     []*poll
	commits   []pendingCommit
	confirmed []logpos.Position
	// supersededAt is, by term, when a majority had adopted a higher one.
	supersededAt map[uint64]time.Time
	// promotionTerm is the term of the newest promotion. adopted contains the targets that have
	// adopted it; it is nil while no promotion is in progress.
	promotionTerm uint64
	adopted       map[int]bool
}

func newModel(n int) *model {
	m := &model{now: epoch, supersededAt: make(map[uint64]time.Time), promotionTerm: 1}
	var names []string
	for i := range n {
		t := &modelTarget{name: fmt.Sprint(i), role: target.RoleReplica, term: 1}
		m.targets = append(m.targets, t)
		names = append(names, t.name)
	}
	m.targets[0].role = target.RolePrimary
	m.targets[0].appendEntry()
	m.group = New(names, Options{})
	return m
}

func (m *model) majority() int { return len(m.targets)/2 + 1 }

func (m *model) adopt(i int) {
	if m.adopted == nil {
		m.promotionTerm++
		m.adopted = make(map[int]bool)
	}
	t := m.targets[i]
	t.term = max(t.term, m.promotionTerm)
	m.adopted[i] = true
	if len(m.adopted) == m.majority() {
		for term := range m.promotionTerm {
			if _, ok := m.supersededAt[term]; !ok {
				m.supersededAt[term] = m.now
			}
		}
	}
}

// promote promotes the target with the highest last position among those that adopted the term,
// if they are a majority. The others follow it, and drop what it lacks with the next pull.
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
		m.targets[i].primaryIndex = best
	}
	m.targets[best].role = target.RolePrimary
	m.targets[best].appendEntry()
	m.adopted = nil
}

// pull copies the log of the primary that target i follows, if both are in the same term.
func (m *model) pull(i int) {
	t := m.targets[i]
	from := m.targets[t.primaryIndex]
	if t.role != target.RoleReplica || from.role != target.RolePrimary || from.term != t.term {
		return
	}
	t.log = append([]logpos.Position(nil), from.log...)
}

// commit writes on target i if it takes itself for the primary. The answer comes at once.
func (m *model) commit(i int, majority bool) {
	t := m.targets[i]
	if t.role != target.RolePrimary || t.last().Term != t.term {
		return
	}
	p := t.appendEntry()
	claim := Claim{Primary: t.name, Term: t.term, Position: p, Since: m.now, Majority: majority}
	m.commits = append(m.commits, pendingCommit{claim, p})
}

func (m *model) answer(q *poll) {
	t := m.targets[q.target]
	q.answered = true
	q.status = target.Status{Target: t.name, Role: t.role, Term: t.term, Last: t.last()}
}

// TestNothingConfirmedIsLost checks the invariant of the package over random histories with
// several primaries at once, delayed and reordered statuses and pauses of the owner. No write
// may be confirmed that was committed after a majority had adopted a higher term, and no entry
// confirmed by a majority may be missing from the log of a later primary.
func TestNothingConfirmedIsLost(t *testing.T) {
	var confirmed int
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.SampledFrom([]int{3, 5}).Draw(t, "targets"))
		anyTarget := rapid.IntRange(0, len(m.targets)-1)
		advance := func(t *rapid.T, maxMillis int) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, maxMillis).Draw(t, "ms")) * time.Millisecond)
		}
		t.Repeat(map[string]func(*rapid.T){
			"commit": func(t *rapid.T) {
				m.commit(anyTarget.Draw(t, "target"), rapid.Bool().Draw(t, "majority"))
				advance(t, 5)
			},
			"ask": func(t *rapid.T) {
				advance(t, 5)
				m.polls = append(m.polls, &poll{target: anyTarget.Draw(t, "target"), sentAt: m.now})
			},
			"answer": func(t *rapid.T) {
				if len(m.polls) == 0 {
					return
				}
				m.answer(m.polls[rapid.IntRange(0, len(m.polls)-1).Draw(t, "question")])
				advance(t, 5)
			},
			"observe": func(t *rapid.T) {
				if len(m.polls) == 0 {
					return
				}
				i := rapid.IntRange(0, len(m.polls)-1).Draw(t, "question")
				q := m.polls[i]
				m.polls = append(m.polls[:i:i], m.polls[i+1:]...)
				if !q.answered {
					m.answer(q)
				}
				m.group.Observe(q.sentAt, m.now, q.status)
			},
			"pause": func(t *rapid.T) { advance(t, 3000) },
			"adopt": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "rare") == 0 {
					m.adopt(anyTarget.Draw(t, "target"))
				}
				advance(t, 5)
			},
			"promote": func(t *rapid.T) { m.promote(); advance(t, 5) },
			"pull":    func(t *rapid.T) { m.pull(anyTarget.Draw(t, "target")); advance(t, 5) },
			"write": func(t *rapid.T) {
				for i := range m.targets {
					m.commit(i, rapid.Bool().Draw(t, "majority"))
				}
				advance(t, 5)
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
					m.polls = append(m.polls, &poll{target: i, sentAt: m.now})
				}
				advance(t, 5)
			},
			"observe all": func(t *rapid.T) {
				for _, q := range m.polls {
					if !q.answered {
						m.answer(q)
					}
					m.group.Observe(q.sentAt, m.now, q.status)
				}
				m.polls = nil
			},
			"adopt and promote": func(t *rapid.T) {
				for range m.majority() {
					m.adopt(anyTarget.Draw(t, "target"))
				}
				m.promote()
			},
			"": func(t *rapid.T) {
				confirmed += m.confirm(t)
				m.check(t)
			},
		})
	})
	t.Logf("%d writes confirmed", confirmed)
	must.Positive(t, confirmed)
}

// confirm decides every pending commit, checks that those confirmed were committed in time, and
// returns their number.
func (m *model) confirm(t *rapid.T) int {
	count := 0
	kept := m.commits[:0]
	for _, c := range m.commits {
		switch m.group.Confirm(m.now, c.claim) {
		case Wait:
			kept = append(kept, c)
		case Confirmed:
			count++
			at, superseded := m.supersededAt[c.claim.Term]
			must.False(t, superseded && at.Before(c.claim.Since), must.Sprint("committed after a majority had adopted a higher term"))
			if c.claim.Majority {
				m.confirmed = append(m.confirmed, c.position)
			}
		}
	}
	m.commits = kept
	return count
}

// check asserts that the log of every primary that has written in its term contains all entries
// that were confirmed in that term or an earlier one.
func (m *model) check(t *rapid.T) {
	for _, target := range m.targets {
		if target.role != "primary" || target.last().Term != target.term {
			continue
		}
		for _, p := range m.confirmed {
			if target.term < p.Term {
				continue
			}
			must.True(t, target.contains(p), must.Sprint("a primary lacks the confirmed entry ", p))
		}
	}
}

func status(name string, role target.Role, term uint64, last logpos.Position) target.Status {
	return target.Status{Target: name, Role: role, Term: term, Last: last}
}

func TestEvidenceGrowsStale(t *testing.T) {
	g := New([]string{"a", "b", "c"}, Options{})
	p := logpos.Position{Term: 1, Index: 7}
	g.Observe(epoch, epoch, status("a", target.RolePrimary, 1, p))
	g.Observe(epoch, epoch, status("b", target.RoleReplica, 1, p))
	claim := Claim{Primary: "a", Term: 1, Position: p, Since: epoch, Majority: true}
	must.Eq(t, Confirmed, g.Confirm(epoch.Add(MaxObservationAge), claim))
	must.Eq(t, Wait, g.Confirm(epoch.Add(MaxObservationAge+1), claim))
	_, _, ok := g.Primary(epoch.Add(MaxObservationAge + 1))
	must.False(t, ok)
	g.Observe(epoch, epoch, status("c", target.RoleReplica, 2, p))
	must.Eq(t, Replaced, g.Confirm(epoch, claim))
}

func TestEarlierPollDoesNotOverrideLaterOne(t *testing.T) {
	g := New([]string{"a", "b", "c"}, Options{})
	newer := logpos.Position{Term: 1, Index: 2}
	g.Observe(epoch.Add(1), epoch.Add(2), status("b", target.RoleReplica, 1, newer))
	g.Observe(epoch, epoch.Add(2), status("b", target.RoleReplica, 1, logpos.Position{Term: 1, Index: 1}))
	seen, sentAt, ok := g.Status("b")
	must.True(t, ok)
	must.Eq(t, newer, seen.Last)
	must.Eq(t, epoch.Add(1), sentAt)
}

func TestLogEndingInOlderTermDoesNotConfirm(t *testing.T) {
	g := New([]string{"a", "b", "c"}, Options{})
	p := logpos.Position{Term: 2, Index: 7}
	g.Observe(epoch, epoch, status("a", target.RolePrimary, 2, p))
	g.Observe(epoch, epoch, status("b", target.RoleReplica, 2, logpos.Position{Term: 1, Index: 9}))
	claim := Claim{Primary: "a", Term: 2, Position: p, Since: epoch, Majority: true}
	must.Eq(t, Wait, g.Confirm(epoch, claim))
	claim.Majority = false
	must.Eq(t, Confirmed, g.Confirm(epoch, claim))
}

func TestLowerTermDoesNotCount(t *testing.T) {
	g := New([]string{"a", "b", "c"}, Options{})
	p := logpos.Position{Term: 2, Index: 7}
	g.Observe(epoch, epoch, status("a", target.RolePrimary, 2, p))
	g.Observe(epoch, epoch, status("b", target.RoleReplica, 1, p))
	must.Eq(t, Wait, g.Confirm(epoch, Claim{Primary: "a", Term: 2, Since: epoch}))
	_, _, ok := g.Primary(epoch)
	must.False(t, ok)
}

// TestAnswerOfNewerTermIsNotConfirmed covers a former primary that started to follow another one
// after its commit and before it reported the position with its answer.
func TestAnswerOfNewerTermIsNotConfirmed(t *testing.T) {
	g := New([]string{"a", "b", "c"}, Options{})
	p := logpos.Position{Term: 1, Index: 7}
	g.Observe(epoch, epoch, status("b", target.RoleReplica, 1, p))
	g.Observe(epoch, epoch, status("c", target.RoleReplica, 1, p))
	newer := logpos.Position{Term: 2, Index: 8}
	must.Eq(t, Replaced, g.Confirm(epoch, Claim{Primary: "a", Term: 1, Position: newer, Since: epoch}))
}

func TestUnknownPositionRequiresPrimaryPoll(t *testing.T) {
	g := New([]string{"a", "b", "c"}, Options{})
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

// TestAgeCountsFromPollTime checks that the data of a replica that lags behind ages, and that
// polls of a primary without a majority don't make any data younger.
func TestAgeCountsFromPollTime(t *testing.T) {
	g := New([]string{"a", "b", "c"}, Options{})
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	first := logpos.Position{Term: 1, Index: 1}
	g.Observe(at(0), at(30), status("a", target.RolePrimary, 1, first))
	_, known := g.Age(at(30), first)
	must.False(t, known)
	g.Observe(at(10), at(30), status("b", target.RoleReplica, 1, first))
	age, known := g.Age(at(40), first)
	must.True(t, known)
	must.Eq(t, 40*time.Millisecond, age)
	// b stays at the first position while the primary commits.
	second := logpos.Position{Term: 1, Index: 2}
	g.Observe(at(100), at(101), status("a", target.RolePrimary, 1, second))
	g.Observe(at(100), at(101), status("c", target.RoleReplica, 1, second))
	age, _ = g.Age(at(1000), first)
	must.Eq(t, time.Second, age)
	age, _ = g.Age(at(1000), second)
	must.Eq(t, 900*time.Millisecond, age)
	// Only the primary is polled: without a majority its unchanged position proves no newer data.
	g.Observe(at(2000), at(2001), status("a", target.RolePrimary, 1, second))
	age, _ = g.Age(at(2001), second)
	must.Eq(t, 1901*time.Millisecond, age)
}

func TestNextPoll(t *testing.T) {
	sent := epoch
	must.Eq(t, sent.Add(ActivePollInterval), NextPoll(sent, Demand{}))
	must.Eq(t, sent.Add(IdlePollInterval), NextPoll(sent, Demand{Idle: true}))
	must.Eq(t, sent.Add(ConfirmPollInterval), NextPoll(sent, Demand{Waiting: true, Since: sent}))
	must.Eq(t, sent.Add(MinPollInterval), NextPoll(sent, Demand{Waiting: true, Since: sent.Add(1)}))
	must.Eq(t, sent.Add(HeldReplicaPollInterval), NextPoll(sent, Demand{HeldTerms: true}))
	must.Eq(t, sent.Add(HeldWaitingPollInterval), NextPoll(sent, Demand{HeldTerms: true, OnHold: true}))
}
