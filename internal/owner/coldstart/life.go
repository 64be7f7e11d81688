package coldstart

import "time"

// entryInterval is the longest time between two entries of a target that shows that its entries arrive in time. A
// target writes one about every 1.2 s.
const entryInterval = 2 * time.Second

// Life is what a target's entries tell of its newest process.
type Life struct {
	// startedAt is when the process started, by the target's clock.
	startedAt time.Time
	// firstAt and lastAt are when this node learned of the first and of the newest entry of the process.
	firstAt, lastAt time.Time
	// timelyAt is when it learned of the newest entry that came within entryInterval of the one before; zero if
	// none did. An entry that comes alone may be a late one of a process that has ended.
	timelyAt time.Time
	// endsAt is the earliest end of the cold time by what the entries state, known if stated.
	endsAt time.Time
	stated bool
}

// Observe returns l after an entry that this node learned of at now: that of a process that started at startedAt and
// is cold for another left, if stated. Entries of earlier processes and those without a start tell nothing.
func (l Life) Observe(now, startedAt time.Time, left time.Duration, stated bool) Life {
	if startedAt.UnixMilli() <= 0 || startedAt.Before(l.startedAt) {
		return l
	}
	if startedAt.After(l.startedAt) {
		l = Life{startedAt: startedAt, firstAt: now}
	} else if now.Sub(l.lastAt) <= entryInterval {
		l.timelyAt = now
	}
	l.lastAt = now
	if end := now.Add(left); stated && (!l.stated || end.Before(l.endsAt)) {
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
