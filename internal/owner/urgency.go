package owner

import (
	"expvar"
	"strconv"
	"sync"
	"time"

	"crocusyoke/internal/owner/schedule"
	"crocusyoke/internal/request"
)

// urgencyCounts counts requests by the priority of their profile. It counts nothing where priorities are off.
type urgencyCounts struct {
	enabled                       bool
	served, refused, waited, shed expvar.Map

	mu sync.Mutex
	// loggedAt is when a shed request was last logged, unlogged the number of those since.
	loggedAt time.Time
	unlogged int
}

// maxCountedRank is the priority of a profile from which on requests are counted together.
const maxCountedRank = 7

func countedAs(priority int) string { return strconv.Itoa(min(request.Rank(priority), maxCountedRank)) }

func (u *urgencyCounts) count(by *expvar.Map, priority int) {
	if u.enabled {
		by.Add(countedAs(priority), 1)
	}
}

// shedLogInterval is the shortest time between two log lines on requests that were shed.
const shedLogInterval = time.Second

// recordRefusal counts the refusal of req, and logs one in a while that was shed.
func (m *Manager) recordRefusal(req *request.Request, refusal *request.Refusal) {
	m.counts.countRefusal(refusal)
	u := &m.counts.urgency
	u.count(&u.refused, req.Priority)
	if refusal.Step != schedule.StepShed {
		return
	}
	u.count(&u.shed, req.Priority)
	now := m.options.Clock.Now()
	u.mu.Lock()
	u.unlogged++
	n := u.unlogged
	due := now.Sub(u.loggedAt) >= shedLogInterval
	if due {
		u.loggedAt, u.unlogged = now, 0
	}
	u.mu.Unlock()
	if due {
		_ = m.options.Logger.Log("event", "shed", "group", req.Group, "target", refusal.Peer, "customer", req.Customer,
			"priority", req.Priority, "retry_after", refusal.RetryAfter, "count", n)
	}
}

// returnAfter returns when a caller is to come back whose request is refused at now and could be served from
// earliest on, 0 if that is not known. With priorities callers come back one after the other, the more urgent ones
// first, at the pace of the primary. g.mu is held.
func (g *group) returnAfter(now time.Time, req *request.Request, earliest time.Duration) time.Duration {
	if !g.options.Priorities || earliest <= 0 {
		return earliest
	}
	pace := defaultReturnPace
	for _, m := range g.members {
		if m.name == g.primary {
			pace = m.schedule.Pace()
		}
	}
	return g.comeback.Next(now, req.Priority, earliest, pace)
}

// defaultReturnPace is the time between callers' returns to a group whose primary was never known.
const defaultReturnPace = 2 * time.Millisecond
