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
