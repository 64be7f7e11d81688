package soak

import (
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"crocusyoke/internal/standin/hosted"
)

// keptTime is how long a statement is kept after its answer: no target runs it later.
const keptTime = 30 * time.Second

// promises are the codes of answers that say that nothing is kept of a statement.
var promises = map[string]bool{
	"BUSY": true, "NOSTMT": true, "LAGGING": true, "READONLY": true, "WRONGNODE": true, "MAXCONN": true, "ABORTED": true, "MALFORMED": true,
}

// transaction is a transaction of one caller.
type transaction struct {
	// The fields are guarded by statements.mu. begun holds the targets' transactions that its BEGIN began,
	// of which there are several if it was sent again; running is the one that its other statements ran in.
	begun   map[uint64]bool
	running uint64
	// hasRun is set once a statement of it ran.
	hasRun bool
	// sentAt is when its first statement was sent.
	sentAt time.Time
	// items are those that its statements write. unsettled counts the statements that are kept.
	items     []string
	unsettled int
}

func newTransaction() *transaction { return &transaction{begun: make(map[uint64]bool)} }

// sent is a statement that a caller sent, with what it has to run with.
type sent struct {
	request
	id              string
	group, customer string
	// kind is that of the route, committed the session's last commit that was acknowledged before.
	kind      string
	committed hosted.Commit
	settings  map[string]string
	sentAt    time.Time

	// The fields below are guarded by statements.mu. hasRun is set once a target ran it with success;
	// answers are those of such runs, code is that of the answer to the caller, and answeredAt when the answer came or the caller gave up.
	hasRun     bool
	answers    []targetAnswer
	code       string
	answeredAt time.Time
}

// statements judges what targets run by what callers sent. It is safe for concurrent use.
type statements struct {
	judge *judge
	// rate judges the operations of pressingCustomer.
	rate rateJudge
	// fresh judges what reads see.
	fresh *freshness
	// forget drops the targets' record of a statement.
	forget func(id string)

	mu   sync.Mutex
	byID map[string]*sent
	// answered holds the statements of byID that were answered, oldest first.
	answered []*sent
	// owners holds the callers' transactions by the targets'.
	owners map[uint64]*transaction
	// doubtful holds the statements of which something may be kept although their answer promises the
	// contrary. The targets' logs tell in the end.
	doubtful []*sent
	// forbidden holds items that nothing may write, by the groups that would have them.
	forbidden map[string][]string
}

func newStatements(j *judge, forget func(id string)) *statements {
	return &statements{judge: j, rate: rateJudge{judge: j, maxRate: func(time.Time, time.Time) int { return pressingRate }}, fresh: newFreshness(j), forget: forget, byID: make(map[string]*sent), owners: make(map[uint64]*transaction), forbidden: make(map[string][]string)}
}

// note records a statement that is about to be sent.
func (s *statements) note(st *sent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[st.id] = st
	if tx := st.transaction; tx != nil {
		tx.unsettled++
		if tx.sentAt.IsZero() {
			tx.sentAt = st.sentAt
		}
		if st.item != "" {
			tx.items = append(tx.items, st.item)
		}
	}
}

// noteAnswer records the answer to a statement, and judges what it says about prepared names.
func (s *statements) noteAnswer(st *sent, a *answer) {
	if a.code != "" {
		s.judge.count("answered " + a.code)
	}
	if st.namesKnown {
		s.judge.check(ruleSetup, a.code != "NOSTMT", "%s %s: NOSTMT, though its PREPARE was acknowledged", st.id, shorten(st.text))
	}
	if st.isSetup || st.isExec {
		s.judge.check(ruleWellFormed, a.code != "MALFORMED", "%s %s: MALFORMED", st.id, shorten(st.text))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.judgeSuccess(st, a)
	st.code, st.answeredAt = a.code, a.endAt
	s.answered = append(s.answered, st)
}

// observe judges a statement that a target of a group carried out or refused.
func (s *statements) observe(group string, ran hosted.Statement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.byID[ran.ID]
	if st == nil {
		s.judge.check(ruleSent, false, "%s %s at %s: no caller sent it in the last %s", ran.ID, shorten(ran.Text), ran.Target, keptTime)
		return
	}
	s.judge.check(ruleSent, isUnchanged(st, ran), "%s: sent %s, %s got %s", st.id, shorten(st.text), ran.Target, shorten(ran.Text))
	if st.isExec && st.prepared != nil {
		s.judge.check(ruleSetup, ran.Result != "NOSTMT", "%s %s: %s has nothing prepared under the name that it got", st.id, shorten(st.text), ran.Target)
	}
	if ran.Result != "" {
		return
	}
	st.answers = append(st.answers, answerOf(ran))
	s.noteRun(st)
	if st.mayNotRun {
		s.judge.check(ruleSent, false, "%s: %s ran %s, which may not run", st.id, ran.Target, shorten(ran.Text))
	}
	if st.isSetup {
		return
	}
	fault := st.fault(group, ran)
	if fault == "" {
		fault = s.transactionFault(st, ran)
	}
	s.judge.check(ruleSetup, fault == "", "%s %s ran at %s: %s", st.id, shorten(st.text), ran.Target, fault)
}

// noteRun records that a target ran a statement with success. The caller holds s.mu.
func (s *statements) noteRun(st *sent) {
	isFirst := !st.hasRun
	st.hasRun = true
	if tx := st.transaction; tx != nil {
		isFirst = !tx.hasRun
		tx.hasRun = true
	}
	if isFirst && st.customer == pressingCustomer.name {
		s.rate.note(admitted{st.sentAt, time.Now()})
	}
}

// isUnchanged reports whether a target got the text that the caller sent, but for the name of a prepared
// statement.
func isUnchanged(st *sent, ran hosted.Statement) bool {
	if st.isExec {
		return strings.HasPrefix(ran.CallerText(), "EXEC ") && ran.Arguments == st.arguments
	}
	return ran.CallerText() == st.text
}

// fault returns what a target ran the statement with that its caller did not set up, or "".
func (st *sent) fault(group string, ran hosted.Statement) string {
	switch {
	case group != st.group:
		return fmt.Sprintf("sent to %s", st.group)
	case ran.Customer != st.customer:
		return fmt.Sprintf("for customer %q, not %q", ran.Customer, st.customer)
	case !maps.Equal(ran.Settings, st.settings):
		return fmt.Sprintf("with values %s, not %s", describeSettings(ran.Settings), describeSettings(st.settings))
	case !st.isExec:
		return ""
	case st.prepared == nil:
		return "its caller had prepared nothing under this name"
	case ran.Prepared == nil || *ran.Prepared != *st.prepared:
		return fmt.Sprintf("as %s, not %s", describePrepared(ran.Prepared), describePrepared(st.prepared))
	}
	return ""
}

func describeSettings(settings map[string]string) string { return shorten(fmt.Sprint(settings)) }

func describePrepared(p *hosted.Prepared) string {
	if p == nil {
		return "nothing"
	}
	return p.Kind + " " + shorten(p.Shape)
}

// transactionFault returns what is wrong with the transaction that a statement ran in, or "". The caller
// holds s.mu.
func (s *statements) transactionFault(st *sent, ran hosted.Statement) string {
	tx := st.transaction
	switch {
	case tx == nil && ran.Transaction != 0:
		return "a single statement, inside a transaction"
	case tx == nil:
		return ""
	case ran.Transaction == 0:
		return "outside its transaction"
	case s.owners[ran.Transaction] != nil && s.owners[ran.Transaction] != tx:
		return "inside another's transaction"
	}
	s.owners[ran.Transaction] = tx
	if st.begins {
		tx.begun[ran.Transaction] = true
		return ""
	}
	if tx.running == 0 && (len(tx.begun) == 0 || tx.begun[ran.Transaction]) {
		tx.running = ran.Transaction
	}
	if ran.Transaction != tx.running {
		return "not on the connection of its transaction"
	}
	return ""
}

// settle judges the rate, and the promises about statements that were answered before the given time, and drops what was
// recorded about them.
func (s *statements) settle(before time.Time) {
	s.rate.settle(before)
	for _, st := range s.takeAnswered(before) {
		s.forget(st.id)
		if promises[st.code] && !st.isDoubtful() {
			s.judge.check(ruleNotRun, true, "")
		}
	}
}

// takeAnswered removes and returns the statements that were answered before the given time.
func (s *statements) takeAnswered(before time.Time) []*sent {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for n < len(s.answered) && s.answered[n].answeredAt.Before(before) {
		st := s.answered[n]
		n++
		delete(s.byID, st.id)
		if st.isDoubtful() {
			s.doubtful = append(s.doubtful, st)
		}
		s.leave(st.transaction)
	}
	taken := s.answered[:n:n]
	s.answered = append([]*sent(nil), s.answered[n:]...)
	return taken
}

// leave counts that a statement of a transaction is no longer kept. The caller holds s.mu.
func (s *statements) leave(tx *transaction) {
	if tx == nil {
		return
	}
	tx.unsettled--
	if tx.unsettled > 0 {
		return
	}
	delete(s.owners, tx.running)
	for number := range tx.begun {
		delete(s.owners, number)
	}
}

// isDoubtful reports whether something may be kept of the statement although its answer promises the contrary.
func (st *sent) isDoubtful() bool {
	return promises[st.code] && st.hasRun && len(st.kept()) > 0
}

// kept returns the items that the log has if what the statement did is kept.
func (st *sent) kept() []string {
	switch {
	case st.item != "":
		return []string{st.item}
	case st.commits:
		return st.transaction.items
	}
	return nil
}

// noteForbidden records items that nothing may write in a group.
func (s *statements) noteForbidden(group string, items ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forbidden[group] = append(s.forbidden[group], items...)
}

// judgeLog judges by the writes in a group's log the statements that were answered with a promise although a
// target ran them, and that nothing wrote what nothing may write.
func (s *statements) judgeLog(group string, writes map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, item := range s.forbidden[group] {
		s.judge.check(ruleSent, writes[item] == 0, "%q is in the log, of a line that may not run", item)
	}
	for _, st := range s.doubtful {
		if st.group != group {
			continue
		}
		var found []string
		for _, item := range st.kept() {
			if writes[item] > 0 {
				found = append(found, item)
			}
		}
		s.judge.check(ruleNotRun, len(found) == 0, "%s %s was answered %s, and the log has %q", st.id, shorten(st.text), st.code, found)
	}
}
