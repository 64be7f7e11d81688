package quota

import (
	"maps"
	"slices"
	"time"
)

const (
	// agedTurn is how many tokens pass until one goes to requests that are less urgent than others that wait, to
	// each of their priorities in turn.
	agedTurn = 8
	// urgencyMemory is how long a priority counts as in use after the last request that had it.
	urgencyMemory = 5 * time.Second
)

// line holds the priorities of a customer's requests on one node, the lowest first. Where all have the same
// priority, it orders nothing.
type line struct {
	// waiting is the number of requests that wait for a token, by priority.
	waiting map[int]int
	// taken counts the tokens that were taken while requests of several priorities waited.
	taken int
	// least is the highest number, that is, the least urgent priority of a request in the last urgencyMemory.
	least   int
	leastAt time.Time
}

// note records the priority of a request that arrives.
func (l *line) note(priority int, now time.Time) {
	if priority >= l.least || now.Sub(l.leastAt) > urgencyMemory {
		l.least, l.leastAt = priority, now
	}
}

// first returns the priority of the most urgent requests that wait, and their number.
func (l *line) first() (priority, count int) {
	for p, n := range l.waiting {
		if n > 0 && (count == 0 || p < priority) {
			priority, count = p, n
		}
	}
	return priority, count
}

// preferred returns the priority that takes the next token: the most urgent one of those that wait and of another
// request, but of every agedTurn tokens one goes to the others in turn, so that nobody waits for good.
func (l *line) preferred(another int) int {
	priorities := slices.Sorted(maps.Keys(l.waiting))
	if i, known := slices.BinarySearch(priorities, another); !known {
		priorities = slices.Insert(priorities, i, another)
	}
	if len(priorities) == 1 || l.taken%agedTurn != agedTurn-1 {
		return priorities[0]
	}
	return priorities[1+l.taken/agedTurn%(len(priorities)-1)]
}

// ahead returns how many waiting requests take a token before one of the given priority.
func (l *line) ahead(priority int) int {
	first := l.preferred(priority)
	if priority == first {
		return 0
	}
	count := 0
	for p, n := range l.waiting {
		if p < priority || p == first {
			count += n
		}
	}
	return count
}

// hasOthers reports whether requests of another priority than the given one wait.
func (l *line) hasOthers(priority int) bool {
	for p, n := range l.waiting {
		if n > 0 && p != priority {
			return true
		}
	}
	return false
}

// IsPreferred reports whether requests of the given priority go before others that the customer has sent lately.
func (a *Account) IsPreferred(priority int, now time.Time) bool {
	return now.Sub(a.line.leastAt) <= urgencyMemory && priority < a.line.least
}

// NoteRequest counts a request of the given priority as demand.
func (a *Account) NoteRequest(priority int, now time.Time) {
	a.recordDemand(now)
	a.line.note(priority, now)
}

// TakeInTurn is RetryTake for a request of the given priority. It leaves the tokens for the waiting requests that
// go before it.
func (a *Account) TakeInTurn(priority int, now time.Time) (ok bool, retryAfter time.Duration) {
	a.advance(now)
	if a.tokens < float64(a.line.ahead(priority)+1) {
		return false, max(a.retryAfter(), a.nextAskAt.Sub(now))
	}
	if a.line.hasOthers(priority) {
		a.line.taken++
	}
	return a.RetryTake(now)
}

// BeginWait records that a request of the given priority waits for a token until EndWait is called. The node asks at
// once for the token of one that goes before others.
func (a *Account) BeginWait(priority int, now time.Time) {
	if a.line.waiting == nil {
		a.line.waiting = make(map[int]int)
	}
	a.line.waiting[priority]++
	a.waiting++
	if a.IsPreferred(priority, now) {
		a.nextAskAt = earlier(a.nextAskAt, now)
	}
}

// EndWait records that a request of the given priority no longer waits for a token.
func (a *Account) EndWait(priority int) {
	a.waiting--
	if a.line.waiting[priority]--; a.line.waiting[priority] == 0 {
		delete(a.line.waiting, priority)
	}
}

// MayWait reports whether a request of the given priority may wait for a token: fewer than most wait that are as
// urgent or more, or it is the only one of its priority beside others, of which it is the turn at times.
func (a *Account) MayWait(priority int, most float64) bool {
	count := 0
	for p, n := range a.line.waiting {
		if p <= priority {
			count += n
		}
	}
	return float64(count) < most || a.line.hasOthers(priority) && a.line.waiting[priority] == 0
}

// urgent returns the priority of the most urgent requests that wait, how many these are, and the least urgent
// priority that is in use.
func (a *Account) urgent(now time.Time) (priority int, count float64, least int) {
	priority, waiting := a.line.first()
	least = priority
	if now.Sub(a.line.leastAt) <= urgencyMemory {
		least = max(least, a.line.least)
	}
	return priority, float64(waiting), least
}
