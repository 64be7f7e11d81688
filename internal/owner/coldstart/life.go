package coldstart

import "time"

// entryInterval is the longest time between two entries of a target that shows that its entries arrive in time. A
// target writes one about every 1.2 s.
const entryInterval = 2 * time.Second

// Life is what a target's entries tell of its newest process.
type Life struct {
	// startedAt is when the process started, by the target's clock.
	startedAt time.Time
	// sequence is the number of its newest entry.
	sequence uint64
	// firstAt and lastAt are when this node learned of the first and of the newest entry of the process.
	firstAt, lastAt time.Time
	// timelyAt is when it learned of the newest entry that came within entryInterval of the one before; zero if
	// none did. An entry that comes alone may be a late one of a process that has ended.
	timelyAt time.Time
	// beforeAt is when it learned of the entry before that one.
	beforeAt time.Time
	// endsAt is the earliest end of the cold time by what the entries state, known if stated.
	endsAt time.Time
	stated bool
}

// Entry is one entry of a target.
type Entry struct {
	// StartedAt is when its process started, by the target's clock, and Sequence numbers the process's entries.
	StartedAt time.Time
	Sequence  uint64
	// Left is how much longer the process is cold, if Stated.
	Left   time.Duration
	Stated bool
}

// Observe returns l after an entry that this node learned of at now. Earlier entries, also of earlier processes, and
// those without a start tell nothing.
func (l Life) Observe(now time.Time, e Entry) Life {
	switch {
	case e.StartedAt.UnixMilli() <= 0 || e.StartedAt.Before(l.startedAt):
		return l
	case e.StartedAt.After(l.startedAt):
		l = Life{startedAt: e.StartedAt, firstAt: now}
	case e.Sequence <= l.sequence:
		return l
	case now.Sub(l.lastAt) <= entryInterval:
		l.timelyAt, l.beforeAt = now, l.lastAt
	}
	l.lastAt, l.sequence = now, e.Sequence
	if end := now.Add(e.Left); e.Stated && (!l.stated || end.Before(l.endsAt)) {
		l.endsAt, l.stated = end, true
	}
	return l
}

// coldUntil returns the time from which the process is warm, if a target is cold for coldStart after its start. What
// the entries state counts, but a process that has just started is cold whatever they state.
func (l Life) coldUntil(coldStart time.Duration) time.Time {
	latest := l.firstAt.Add(coldStart)
	if !l.stated {
		return latest
	}
	byStart := l.startedAt.Add(coldStart)
	if byStart.After(latest) {
		byStart = latest
	}
	if byStart.After(l.endsAt) {
		return byStart
	}
	return l.endsAt
}

// statesCold reports whether the newest process states that it is cold at now.
func (l Life) statesCold(now time.Time) bool { return l.stated && now.Before(l.endsAt) }
