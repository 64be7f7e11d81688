package pool

import (
	"slices"
	"time"
)

// waiter is a request that waits for a connection on behalf of customer.
type waiter struct {
	customer string
	priority int
	since    time.Time
	conn     chan *Conn
}

// maxOvertaken is how long more urgent requests that come later go before one that waits. It is less than requests wait.
const maxOvertaken = 150 * time.Millisecond

// enqueue adds w to the waiting requests, behind those that are not less urgent or have waited for maxOvertaken. p.mu is
// held.
func (p *Pool) enqueue(w waiter) {
	i := len(p.waiting)
	for i > 0 && p.waiting[i-1].priority > w.priority && w.since.Sub(p.waiting[i-1].since) < maxOvertaken {
		i--
	}
	p.waiting = slices.Insert(p.waiting, i, w)
}

// stopWaiting removes wait from the queue. If wait was already handed a connection, it returns
// that connection to the pool.
func (p *Pool) stopWaiting(wait chan *Conn) {
	p.mu.Lock()
	for i, w := range p.waiting {
		if w.conn == wait {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			p.mu.Unlock()
			return
		}
	}
	p.mu.Unlock()
	if conn := <-wait; conn != nil {
		p.Put(conn)
	}
}

// hasMoreUrgent reports whether a more urgent request than w waits for which no connection is being
// opened, because the pool is at its limit. p.mu is held.
func (p *Pool) hasMoreUrgent(w waiter) bool {
	if p.open+p.opening < p.options.Limit {
		return false
	}
	wanted := make(map[string]int)
	for _, other := range p.waiting {
		if other.conn == w.conn {
			return false
		}
		if other.priority >= w.priority {
			continue
		}
		wanted[other.customer]++
		if wanted[other.customer] > p.openingFor[other.customer] {
			return true
		}
	}
	return false
}
