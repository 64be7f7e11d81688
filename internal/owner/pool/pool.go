// Package pool keeps the data connections to one target.
//
// Invariant: connections that are open or being opened never exceed the limit, which is
// the part of the target's connections that this owner may use. A connection in doubt
// is closed, never reused; one that serves a single customer is never lent for another.
// Spare ones are opened ahead of need, in the background. When the limit is reached the
// connection idle for the longest makes room for another customer's.
package pool

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/target"
)

// Error is the class of this package's errors.
var Error = errs.Class("pool")

// ErrClosed is returned by Get after Close.
var ErrClosed = Error.New("closed")

// Times of the pool.
const (
	// DialTimeout bounds the opening of one connection.
	DialTimeout = time.Second
	// ProbeTimeout bounds a probe: a connection that stays silent as long is closed.
	ProbeTimeout = 250 * time.Millisecond
	// QuietLimit is how long a connection may be idle and still be used unprobed.
	QuietLimit = time.Second
	// IdleLimit is how long a connection beyond the spare ones stays open unused.
	IdleLimit = 30 * time.Second
	// BackoffMin and BackoffMax bound the pause after a failed opening.
	BackoffMin = 20 * time.Millisecond
	BackoffMax = time.Second
)

// Options of a Pool.
type Options struct {
	// Dial opens one connection on behalf of customer, which is empty where connections
	// serve every customer.
	Dial func(ctx context.Context, customer string) (target.Conn, error)
	// Probe is the exchange that proves a connection alive, in wire format.
	Probe []byte
	Clock clock.Clock
	// Limit is the most connections.
	Limit int
	// Spare is the number of idle connections to keep ready for every customer.
	Spare int
}

// Conn is a connection lent by a Pool.
type Conn struct {
	target.Conn
	pool     *Pool
	customer string
	lastUsed time.Time
	opened   time.Time
}

// waiter is a request that waits for a connection on behalf of customer.
type waiter struct {
	customer string
	conn     chan *Conn
}

// Stats counts a Pool's connections.
type Stats struct {
	Limit   int `json:"limit"`
	Open    int `json:"open"`
	Idle    int `json:"idle"`
	Opening int `json:"opening"`
	Silent  int `json:"silent"`
	Failed  int `json:"failed"`
}

// Pool keeps the connections to one target. It is safe for concurrent use.
type Pool struct {
	options Options
	ctx     context.Context
	stop    context.CancelFunc

	mu      sync.Mutex
	idle    []*Conn
	open    int
	opening int
	// openingFor counts the connections being opened by customer.
	openingFor map[string]int
	waiting    []waiter
	closed     bool
	// doubtBefore is set when a silent connection was found: idle ones last used before
	// then are probed before they are used.
	doubtBefore time.Time
	backoff     time.Duration
	retryAt     time.Time
	silent      int
	failed      int
	drained     chan struct{}
}

// New returns a Pool and starts to open spare connections.
func New(options Options) *Pool {
	ctx, stop := context.WithCancel(context.Background())
	p := &Pool{options: options, ctx: ctx, stop: stop, openingFor: make(map[string]int)}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fill()
	return p
}

// TryGet lends an idle connection that is in no doubt, or returns nil at once.
func (p *Pool) TryGet(customer string) *Conn {
	now := p.options.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	i := p.newest(customer)
	if i < 0 || p.doubtful(p.idle[i], now) {
		return nil
	}
	return p.lend(i)
}

// newest returns the index of customer's idle connection that was used last, or -1. p.mu
// is held.
func (p *Pool) newest(customer string) int {
	for i := len(p.idle) - 1; i >= 0; i-- {
		if p.idle[i].customer == customer {
			return i
		}
	}
	return -1
}

// Get lends a connection. It waits for one to be opened or returned until ctx ends.
func (p *Pool) Get(ctx context.Context, customer string) (*Conn, error) {
	for {
		conn, err := p.take(ctx, customer)
		if err != nil {
			return nil, err
		}
		if !p.mustProbe(conn) || p.probe(ctx, conn) {
			return conn, nil
		}
		p.purge()
	}
}

// purge closes the idle connections in doubt after one of them gave no answer, so that
// one silent connection at most is in a request's way.
func (p *Pool) purge() {
	p.mu.Lock()
	var kept, out []*Conn
	for _, conn := range p.idle {
		if conn.lastUsed.Before(p.doubtBefore) {
			out = append(out, conn)
			continue
		}
		kept = append(kept, conn)
	}
	p.idle = kept
	p.open -= len(out)
	p.fill()
	p.mu.Unlock()
	closeAll(out)
}

// Put returns a connection that is in no doubt.
func (p *Pool) Put(conn *Conn) {
	now := p.options.Clock.Now()
	p.mu.Lock()
	conn.lastUsed = now
	p.give(conn)
	surplus := append(p.surplus(), p.unused(now)...)
	p.fill()
	p.mu.Unlock()
	closeAll(surplus)
}

// Discard closes a connection that is in doubt. silent tells that it gave no answer, so
// that idle ones are probed before use.
func (p *Pool) Discard(conn *Conn, silent bool) {
	now := p.options.Clock.Now()
	_ = conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if silent {
		p.silent++
		p.doubtBefore = now
	}
	p.leave()
}

// SetLimit changes the most connections. Idle ones above it are closed at once, lent
// ones when they come back.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	p.options.Limit = limit
	surplus := p.surplus()
	p.fill()
	p.mu.Unlock()
	closeAll(surplus)
}

// Stats returns the present counts.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{
		Limit:   p.options.Limit,
		Open:    p.open,
		Idle:    len(p.idle),
		Opening: p.opening,
		Silent:  p.silent,
		Failed:  p.failed,
	}
}

// Close closes idle connections at once, and lent ones when they come back.
func (p *Pool) Close() {
	p.stop()
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.open -= len(idle)
	waiting := p.waiting
	p.waiting = nil
	p.signalDrained()
	p.mu.Unlock()
	closeAll(idle)
	for _, w := range waiting {
		close(w.conn)
	}
}

// Drained returns a channel that is closed once a closed Pool holds no connection.
func (p *Pool) Drained() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.drained == nil {
		p.drained = make(chan struct{})
	}
	p.signalDrained()
	return p.drained
}

// take lends the connection used last, or waits for one.
func (p *Pool) take(ctx context.Context, customer string) (*Conn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	if i := p.newest(customer); i >= 0 {
		conn := p.lend(i)
		p.mu.Unlock()
		return conn, nil
	}
	wait := make(chan *Conn, 1)
	p.waiting = append(p.waiting, waiter{customer, wait})
	p.fill()
	p.mu.Unlock()
	select {
	case conn := <-wait:
		if conn == nil {
			return nil, ErrClosed
		}
		return conn, nil
	case <-ctx.Done():
		p.abandon(wait)
		return nil, Error.New("no connection in time: %w", ctx.Err())
	}
}

// lend takes out the idle connection at i. p.mu is held.
func (p *Pool) lend(i int) *Conn {
	conn := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	p.fill()
	return conn
}

// abandon takes wait off the queue and gives back what it may have been handed.
func (p *Pool) abandon(wait chan *Conn) {
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

// give hands conn to the first that waits, or makes it idle. p.mu is held.
func (p *Pool) give(conn *Conn) {
	over := p.closed || p.open > p.options.Limit
	if !over {
		for i, w := range p.waiting {
			if w.customer == conn.customer {
				p.waiting = slices.Delete(p.waiting, i, i+1)
				w.conn <- conn
				return
			}
		}
	}
	p.idle = append(p.idle, conn)
}

// surplus takes out idle connections that must go. p.mu is held.
func (p *Pool) surplus() []*Conn {
	keep := len(p.idle)
	if p.closed {
		keep = 0
	}
	if over := p.open + p.opening - p.options.Limit; over > 0 {
		keep = min(keep, max(0, len(p.idle)-over))
	}
	out := p.idle[keep:]
	if len(out) == 0 {
		return nil
	}
	out = append([]*Conn(nil), out...)
	p.idle = p.idle[:keep]
	p.open -= len(out)
	p.signalDrained()
	return out
}

// unused takes out the connection that was idle for the longest, if it is one too many.
// p.mu is held.
func (p *Pool) unused(now time.Time) []*Conn {
	if len(p.idle) <= p.options.Spare || now.Sub(p.idle[0].lastUsed) < IdleLimit {
		return nil
	}
	out := p.idle[:1:1]
	p.idle = p.idle[1:]
	p.open--
	return out
}

// leave counts a connection that was closed. p.mu is held.
func (p *Pool) leave() {
	p.open--
	p.signalDrained()
	p.fill()
}

func (p *Pool) signalDrained() {
	if !p.closed || p.open+p.opening > 0 || p.drained == nil {
		return
	}
	select {
	case <-p.drained:
	default:
		close(p.drained)
	}
}

func closeAll(conns []*Conn) {
	for _, conn := range conns {
		_ = conn.Close()
	}
}
