package soak

import (
	"fmt"
	"slices"

	"crocusyoke/internal/standin/hosted"
)

// maxRecentItems is the number of items of a database that callers read again after they were written.
const maxRecentItems = 64

// targetAnswer is a target's answer to a statement that it ran with success.
type targetAnswer struct {
	digest string
	rows   []string
	ran    hosted.Statement
}

func answerOf(ran hosted.Statement) targetAnswer {
	return targetAnswer{digest: ran.Target + "." + ran.ID, rows: ran.Rows, ran: ran}
}

func describeAnswers(answers []targetAnswer) string {
	text := ""
	for _, a := range answers {
		text += fmt.Sprintf("%q %q ", a.digest, a.rows)
	}
	return text
}

// needsTarget reports whether only a target's answer may tell that the statement succeeded.
func (q *request) needsTarget() bool {
	return !q.isSetup && !q.begins && q.text != "ROLLBACK"
}

// judgeSuccess judges that an answer that tells of success is that of a target that ran the statement. The
// caller holds s.mu.
func (s *statements) judgeSuccess(st *sent, a *answer) {
	if a.err != nil || a.code != "" || !st.needsTarget() && a.digest == noDigest {
		return
	}
	at := slices.IndexFunc(st.answers, func(t targetAnswer) bool {
		return t.digest == a.digest && slices.Equal(t.rows, a.rows)
	})
	s.judge.check(ruleAnswer, at >= 0, "%s %s: success with %q and the rows %q, targets answered %q",
		st.id, shorten(st.text), a.digest, a.rows, describeAnswers(st.answers))
	if at >= 0 && st.needsTarget() {
		s.fresh.observe(st, &st.answers[at].ran, a.endAt)
	}
}

// noteRecent records items that were written, so that callers read them.
func (d *database) noteRecent(items ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recent = append(d.recent, items...)
	d.recent = slices.Clone(d.recent[max(0, len(d.recent)-maxRecentItems):])
}

// recentItem returns the item at a place among the recent ones, "" if there is none.
func (d *database) recentItem(place int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if place >= len(d.recent) {
		return ""
	}
	return d.recent[place]
}
