package pool

import (
	"context"
	"slices"
	"time"

	"crocusyoke/internal/target"
)

// fill starts opening connections in the background. It opens as many as MinIdle and the waiting
// requests need, within the limit. p.mu is held.
func (p *Pool) fill() {
	if p.closed {
		return
	}
	if p.options.MinIdle > 0 {
		p.openFor("", p.options.MinIdle+len(p.waiting)-len(p.idle)-p.opening)
		return
	}
	wanted := make(map[string]int, len(p.waiting))
	for _, w := range p.waiting {
		wanted[w.customer]++
		p.openFor(w.customer, wanted[w.customer]-p.openingFor[w.customer])
	}
}

// openFor opens up to want connections for customer. p.mu is held.
func (p *Pool) openFor(customer string, want int) {
	for range want {
		if p.backoff.isActive() && p.opening > 0 || p.refused[customer] != nil && p.openingFor[customer] > 0 {
			// While dials fail, only one is attempted at a time.
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
		go p.openConn(customer, p.nextDialAt(customer), evicted)
	}
}

// nextDialAt returns when the next attempt to open a connection for customer is due. p.mu is held.
func (p *Pool) nextDialAt(customer string) time.Time {
	if r := p.refused[customer]; r != nil && r.retryAt.After(p.backoff.retryAt) {
		return r.retryAt
	}
	return p.backoff.retryAt
}

// evict removes from the pool an idle connection of another customer (see victim), for the caller
// to close before it opens a new one. It returns nil if there is none. It also returns nil if the
// pool exceeds its limit, since closing one connection would then not make room for a new one.
// p.mu is held.
func (p *Pool) evict(customer string) *Conn {
	if p.open+p.opening > p.options.Limit {
		return nil
	}
	i := p.victim(customer)
	if i < 0 {
		return nil
	}
	oldest := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	p.open--
	return oldest
}

// openConn closes evicted, if not nil, then opens one connection, no earlier than notBefore,
// and hands it to a waiting request or makes it idle.
func (p *Pool) openConn(customer string, notBefore time.Time, evicted *Conn) {
	if evicted != nil {
		_ = evicted.Close()
	}
	var conn *Conn
	err := p.contain("dial target", func() (err error) {
		conn, err = p.dial(customer, notBefore)
		return err
	})
	now := p.options.Clock.Now()
	p.mu.Lock()
	p.opening--
	p.openingFor[customer]--
	if p.openingFor[customer] == 0 {
		delete(p.openingFor, customer)
	}
	if err != nil {
		p.failedOpens++
		p.recordFailure(customer, now, err)
		p.signalDrained()
		p.fill()
		p.mu.Unlock()
		return
	}
	p.backoff = backoff{}
	delete(p.refused, customer)
	p.open++
	p.countBusy(customer, 1)
	conn.opened = now
	conn.lastUsed = now
	p.release(conn)
	surplus := p.takeSurplus()
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

// needsProbe is needsProbeLocked for callers that do not hold p.mu.
func (p *Pool) needsProbe(conn *Conn) bool {
	now := p.options.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.needsProbeLocked(conn, now)
}

// needsProbeLocked reports whether conn must be probed before use because it may have stopped
// answering: it was idle for longer than IdleProbeThreshold, or it was last used before another
// connection was found silent (probeBefore). p.mu is held.
func (p *Pool) needsProbeLocked(conn *Conn, now time.Time) bool {
	if len(p.options.Probe) == 0 {
		return false
	}
	return now.Sub(conn.lastUsed) > IdleProbeThreshold || conn.lastUsed.Before(p.probeBefore)
}

// probe reports whether conn answers within ProbeTimeout. It closes conn if not.
func (p *Pool) probe(ctx context.Context, conn *Conn) bool {
	ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	var reply target.Reply
	err := p.contain("probe connection", func() (err error) {
		reply, _, err = conn.Exchange(ctx, p.options.Probe)
		return err
	})
	if err == nil && reply.TxStatus == 'I' {
		return true
	}
	p.Discard(conn, true)
	return false
}
