package pool

import (
	"slices"
	"time"

	"crocusyoke/internal/target"
)

// backoff delays attempts to open a connection after failed ones. The zero value delays none.
type backoff struct {
	delay   time.Duration
	retryAt time.Time
}

func (b *backoff) isActive() bool { return b.delay > 0 }

// extend doubles the delay after an attempt that failed at now.
func (b *backoff) extend(now time.Time) {
	b.delay = min(BackoffMax, max(BackoffMin, 2*b.delay))
	b.retryAt = now.Add(b.delay)
}

// refusedLogin is the state of a customer whose last login the target refused with err.
type refusedLogin struct {
	backoff
	err error
}

// recordFailure records that an attempt to open a connection for customer has failed. If the target refused the
// customer's login, the target itself works, and the customer's waiting requests end. p.mu is held.
func (p *Pool) recordFailure(customer string, now time.Time, err error) {
	if !target.ErrLoginRefused.Has(err) {
		p.backoff.extend(now)
		return
	}
	p.backoff = backoff{}
	p.forgetRefused(now)
	r := p.refused[customer]
	if r == nil {
		r = &refusedLogin{}
		p.refused[customer] = r
	}
	r.extend(now)
	r.err = err
	p.waiting = slices.DeleteFunc(p.waiting, func(w waiter) bool {
		if w.customer != customer {
			return false
		}
		close(w.conn)
		return true
	})
}

// forgetRefused drops customers that have made no attempt since their backoff ended long ago. p.mu is held.
func (p *Pool) forgetRefused(now time.Time) {
	for customer, r := range p.refused {
		if now.Sub(r.retryAt) > IdleTimeout {
			delete(p.refused, customer)
		}
	}
}

// loginRefusal returns the error for a request of a customer whose login was refused and whose next attempt is not
// due yet, or nil. p.mu is held.
func (p *Pool) loginRefusal(customer string) error {
	r := p.refused[customer]
	if r == nil || !p.options.Clock.Now().Before(r.retryAt) {
		return nil
	}
	return Error.Wrap(r.err)
}

// whyNone returns the error for a request of customer that has waited and gets no connection.
func (p *Pool) whyNone(customer string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.refused[customer]; r != nil && !p.closed {
		return Error.Wrap(r.err)
	}
	return ErrClosed
}
