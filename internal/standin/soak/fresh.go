package soak

import (
	"slices"
	"sync"
	"time"

	"crocusyoke/internal/standin/hosted"
)

// ackedTime is how long an acknowledged commit is kept for reads to come.
const ackedTime = 60 * time.Second

// acked is an acknowledged commit, and the last one in the log's order of those that were acknowledged until then.
type acked struct {
	commit, last hosted.Commit
	at           time.Time
}

// staleRead is a read that lacked a commit, unless that was undone by a promotion.
type staleRead struct {
	commit hosted.Commit
	text   string
}

// freshness judges that reads see the commits that they have to see. It is safe for concurrent use.
type freshness struct {
	judge *judge

	mu sync.Mutex
	// acked holds the commits of each group in the order of their acknowledgement.
	acked map[string][]acked
	stale map[string][]staleRead
}

func newFreshness(j *judge) *freshness {
	return &freshness{judge: j, acked: make(map[string][]acked), stale: make(map[string][]staleRead)}
}

// observe takes a statement that a target ran and whose answer reached its caller with success at the given time.
func (f *freshness) observe(st *sent, ran *hosted.Statement, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !ran.Commit.IsZero() {
		f.note(st.group, ran.Commit, at)
		return
	}
	if !isRead(st) {
		return
	}
	for _, c := range []hosted.Commit{f.required(st), st.ownRequired()} {
		if !c.IsZero() && ran.Lacks(c) {
			f.stale[st.group] = append(f.stale[st.group], staleRead{c, st.id + " " + shorten(st.text) + " at " + ran.Target + " on a route of " + st.kind + ", sent at " + st.sentAt.UTC().Format("15:04:05.000")})
			return
		}
	}
	f.judge.check(ruleFresh, true, "")
}

func isRead(st *sent) bool {
	if st.isExec {
		return st.prepared != nil && st.prepared.Kind == hosted.KindRead
	}
	return len(st.text) > len("READ ") && st.text[:len("READ ")] == "READ "
}

// note records an acknowledged commit. The caller holds f.mu.
func (f *freshness) note(group string, c hosted.Commit, at time.Time) {
	list := f.acked[group]
	for len(list) > 0 && list[0].at.Before(at.Add(-ackedTime)) {
		list = list[1:]
	}
	place := len(list)
	for place > 0 && list[place-1].at.After(at) {
		place--
	}
	list = slices.Insert(list, place, acked{commit: c, at: at})
	for i := place; i < len(list); i++ {
		list[i].last = list[i].commit
		if i > 0 && list[i].last.Less(list[i-1].last) {
			list[i].last = list[i-1].last
		}
	}
	f.acked[group] = list
}

// required returns the last commit that a read has to see whichever session it is of. The caller holds f.mu.
func (f *freshness) required(st *sent) hosted.Commit {
	before := st.beganAt()
	if st.kind != kindOrders {
		before = before.Add(-maxStalenessMS * time.Millisecond)
	}
	list := f.acked[st.group]
	for i := len(list) - 1; i >= 0; i-- {
		if list[i].at.Before(before) {
			return list[i].last
		}
	}
	return hosted.Commit{}
}

// beganAt returns when the statement, or the transaction that it belongs to, was sent.
func (st *sent) beganAt() time.Time {
	if st.transaction != nil {
		return st.transaction.sentAt
	}
	return st.sentAt
}

// ownRequired returns the session's own commit that a read has to see.
func (st *sent) ownRequired() hosted.Commit {
	if st.kind != kindJobs {
		return hosted.Commit{}
	}
	return st.committed
}

// commitOf returns the commit that the answer to a statement acknowledged, zero if there is none.
func (st *sent) commitOf(a *answer) hosted.Commit {
	if !a.acknowledged() {
		return hosted.Commit{}
	}
	for _, t := range st.answers {
		if t.digest == a.digest {
			return t.ran.Commit
		}
	}
	return hosted.Commit{}
}

// judgeLog judges the reads of a group that lacked a commit: has reports whether the log has it in the end.
func (f *freshness) judgeLog(group string, has func(hosted.Commit) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.stale[group] {
		f.judge.check(ruleFresh, !has(s.commit), "%s lacked an acknowledged commit", s.text)
	}
}
