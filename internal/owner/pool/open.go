package pool

import (
	"context"
	"slices"
	"time"
)

// fill starts to open as many connections as are wanted and allowed. p.mu is held.
func (p *Pool) fill() {
	if p.closed {
		return
	}
	if p.options.Spare > 0 {
		p.start("", p.options.Spare+len(p.waiting)-len(p.idle)-p.opening)
		return
	}
	wanted := make(map[string]int, len(p.waiting))
	for _, w := range p.waiting {
		wanted[w.customer]++
		p.start(w.customer, wanted[w.customer]-p.openingFor[w.customer])
	}
}

// start opens up to want connections for customer. p.mu is held.
func (p *Pool) start(customer string, want int) {
	for range want {
		if p.backoff > 0 && p.opening > 0 {
			// One trial at a time while openings fail.
			return
		}
		var evicted *Conn
		if p.open+p.opening >= p.options.Limit {
			if evicted = p.evict(customer); evicted == nil {
				return
			}
		}
		p.opening++
		p.openingFor[customer]++
		go p.openOne(customer, p.retryAt, evicted)
	}
}

// evict takes out another customer's connection, the one idle for the longest, to be closed
// before a new one is opened. It returns nil without one, and where that would not make room
// below the limit. p.mu is held.
func (p *Pool) evict(customer string) *Conn {
	i := slices.IndexFunc(p.idle, func(c *Conn) bool { return c.customer != customer })
	if i < 0 || p.open+p.opening > p.options.Limit {
		return nil
	}
	oldest := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	p.open--
	return oldest
}

// openOne opens one connection, not before notBefore and after evicted was closed if there is
// one, and hands it out.
func (p *Pool) openOne(customer string, notBefore time.Time, evicted *Conn) {
	if evicted != nil {
		_ = evicted.Close()
	}
	conn, err := p.dial(customer, notBefore)
	now := p.options.Clock.Now()
	p.mu.Lock()
	p.opening--
	p.openingFor[customer]--
	if p.openingFor[customer] == 0 {
		delete(p.openingFor, customer)
	}
	if err != nil {
		p.failed++
		p.backoff = min(BackoffMax, max(BackoffMin, 2*p.backoff))
		p.retryAt = now.Add(p.backoff)
		p.signalDrained()
		p.fill()
		p.mu.Unlock()
		return
	}
	p.backoff = 0
	p.retryAt = time.Time{}
	p.open++
	conn.opened = now
	conn.lastUsed = now
	p.give(conn)
	surplus := p.surplus()
	p.fill()
	p.mu.Unlock()
	closeAll(surplus)
}

func (p *Pool) dial(customer string, notBefore time.Time) (*Conn, error) {
	if wait := notBefore.Sub(p.options.Clock.Now()); wait > 0 {
		if err := p.options.Clock.Sleep(p.ctx, wait); err != nil {
			return nil, err
		}
	}
	ctx, cancel := context.WithTimeout(p.ctx, DialTimeout)
	defer cancel()
	conn, err := p.options.Dial(ctx, customer)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn, pool: p, customer: customer}, nil
}

// mustProbe reports whether conn must be probed before use.
func (p *Pool) mustProbe(conn *Conn) bool {
	now := p.options.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.doubtful(conn, now)
}

// doubtful reports whether conn may have gone silent. p.mu is held.
func (p *Pool) doubtful(conn *Conn, now time.Time) bool {
	if len(p.options.Probe) == 0 {
		return false
	}
	return now.Sub(conn.lastUsed) > QuietLimit || conn.lastUsed.Before(p.doubtBefore)
}

// probe reports whether conn answers; otherwise it is closed.
func (p *Pool) probe(ctx context.Context, conn *Conn) bool {
	ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	reply, _, err := conn.Exchange(ctx, p.options.Probe)
	if err == nil && reply.TxStatus == 'I' {
		return true
	}
	p.Discard(conn, true)
	return false
}
