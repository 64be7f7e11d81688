package pool

import "slices"

// waiter is a request that waits for a connection on behalf of customer.
type waiter struct {
	customer string
	priority int
	conn     chan *Conn
}

// enqueue adds w to the waiting requests, behind those that are not less urgent. p.mu is held.
func (p *Pool) enqueue(w waiter) {
	i := len(p.waiting)
	for i > 0 && p.waiting[i-1].priority > w.priority {
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
	if p.waiting[0].priority >= w.priority || p.open+p.opening < p.options.Limit {
		return false
	}
	wanted := make(map[string]int)
	for _, other := range p.waiting {
		if other.priority >= w.priority {
			return false
		}
		wanted[other.customer]++
		if wanted[other.customer] > p.openingFor[other.customer] {
			return true
		}
	}
	return false
}
