// Package pool maintains the data connections to one target.
//
// Invariant: the number of connections that are open or being opened never exceeds the
// limit, which is the part of the target's connections that this owner may use. A connection
// whose state is uncertain is closed, never reused. A connection that serves a single
// customer is never used for another.
//
// Idle connections are opened in the background, ahead of demand. At the limit, the idle connection that was
// used least lately (package keep) is closed to make room for another customer's connection. Requests that wait
// for a connection get one in order of priority, those of one priority in order of arrival.
//
// A failed attempt to open a connection delays the next one. The target's refusal of a customer's login
// (target.ErrLoginRefused) concerns that customer only: its requests are refused until its next attempt is due.
package pool

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/zeebo/errs"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/owner/pool/keep"
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
	// ProbeTimeout bounds a probe: a connection that does not answer within it is closed.
	ProbeTimeout = 250 * time.Millisecond
	// IdleProbeThreshold is how long a connection may be idle and still be used unprobed.
	IdleProbeThreshold = time.Second
	// IdleTimeout is how long an idle connection in excess of MinIdle stays open.
	IdleTimeout = 30 * time.Second
	// BackoffMin and BackoffMax bound the backoff after a failed dial.
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
	// Logger is told of panics; it may be nil.
	Logger log.Logger
	// Limit is the maximum number of open connections.
	Limit int
	// MinIdle is the number of idle connections to keep open. It must be 0 where a
	// connection serves a single customer.
	MinIdle int
}

// Stats counts a Pool's connections. Silent is the number of connections that were closed so
// far because they did not answer, Failed the number of failed attempts to open one.
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
	// openingFor counts the connections being opened, by customer.
	openingFor map[string]int
	// busy counts the connections in use, by customer, and history what they used lately.
	busy    map[string]int
	history *keep.History
	// waiting holds waiting requests in the order in which they get connections.
	waiting []waiter
	closed  bool
	// probeBefore is when a connection was last found silent, that is, did not answer. Idle
	// connections last used before that time are probed before use.
	probeBefore time.Time
	// backoff is that after failed attempts, refused those of customers whose logins the target refuses.
	backoff     backoff
	refused     map[string]*refusedLogin
	silentConns int
	failedOpens int
	drained     chan struct{}
}

// New returns a Pool and starts opening its idle connections.
func New(options Options) *Pool {
	if options.Logger == nil {
		options.Logger = log.NewNopLogger()
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &Pool{
		options: options, ctx: ctx, stop: stop, history: keep.New(), busy: make(map[string]int),
		openingFor: make(map[string]int), refused: make(map[string]*refusedLogin),
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fill()
	return p
}

// TryGet returns an idle connection that needs no probe, or nil. It does not block.
func (p *Pool) TryGet(customer string) *Conn { return p.TryGetFor(Use{Customer: customer}) }

// TryGetFor is TryGet for use.
func (p *Pool) TryGetFor(use Use) *Conn {
	customer := use.Customer
	now := p.options.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	i := p.newestIdle(customer)
	if i < 0 || p.needsProbeLocked(p.idle[i], now) {
		return nil
	}
	p.recordUse(now, use)
	return p.takeIdle(i)
}

// newestIdle returns the index of customer's most recently used idle connection, or -1. p.mu
// is held.
func (p *Pool) newestIdle(customer string) int {
	for i := len(p.idle) - 1; i >= 0; i-- {
		if p.idle[i].customer == customer {
			return i
		}
	}
	return -1
}

// Get returns a connection, which it probes if it was idle for too long. It waits until ctx
// ends for one to be opened or returned to the pool.
func (p *Pool) Get(ctx context.Context, customer string) (*Conn, error) {
	return p.GetFor(ctx, Use{Customer: customer})
}

// GetFor is Get for use.
func (p *Pool) GetFor(ctx context.Context, use Use) (*Conn, error) {
	for {
		conn, err := p.acquire(ctx, use)
		if err != nil {
			return nil, err
		}
		if !p.needsProbe(conn) || p.probe(ctx, conn) {
			return conn, nil
		}
		p.closeUsedBeforeProbe()
	}
}

// closeUsedBeforeProbe closes the idle connections that were last used before a connection
// was found silent (probeBefore). They may be silent, too, and a request should lose time on at
// most one silent connection.
func (p *Pool) closeUsedBeforeProbe() {
	p.mu.Lock()
	var kept, out []*Conn
	for _, conn := range p.idle {
		if conn.lastUsed.Before(p.probeBefore) {
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

// Put returns a connection whose state is known to be good.
func (p *Pool) Put(conn *Conn) {
	now := p.options.Clock.Now()
	p.mu.Lock()
	conn.lastUsed = now
	p.release(conn)
	surplus := append(p.takeSurplus(), p.takeExpired(now)...)
	p.fill()
	p.mu.Unlock()
	closeAll(surplus)
}

// Discard closes a connection whose state is uncertain. silent means that it did not answer;
// connections that are idle now are then probed before use.
func (p *Pool) Discard(conn *Conn, silent bool) {
	now := p.options.Clock.Now()
	_ = conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.countBusy(conn.customer, -1)
	if silent {
		p.silentConns++
		p.probeBefore = now
	}
	p.connClosed()
}

// SetLimit changes the maximum number of connections. Excess idle connections are closed at
// once, excess connections in use when they are returned.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	p.options.Limit = limit
	surplus := p.takeSurplus()
	p.fill()
	p.mu.Unlock()
	closeAll(surplus)
}

// Stats returns the current counts.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{
		Limit:   p.options.Limit,
		Open:    p.open,
		Idle:    len(p.idle),
		Opening: p.opening,
		Silent:  p.silentConns,
		Failed:  p.failedOpens,
	}
}

// Close closes idle connections at once, and connections in use when they are returned.
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

// acquire returns customer's most recently used idle connection, or waits for one. The
// connection may need a probe.
func (p *Pool) acquire(ctx context.Context, use Use) (*Conn, error) {
	customer := use.Customer
	now := p.options.Clock.Now()
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	p.recordUse(now, use)
	if i := p.newestIdle(customer); i >= 0 {
		conn := p.takeIdle(i)
		p.mu.Unlock()
		return conn, nil
	}
	if err := p.loginRefusal(customer); err != nil {
		p.mu.Unlock()
		return nil, err
	}
	wait := make(chan *Conn, 1)
	p.enqueue(waiter{customer, use.Priority, now, wait})
	p.fill()
	p.mu.Unlock()
	select {
	case conn := <-wait:
		if conn == nil {
			return nil, p.whyNone(customer)
		}
		return conn, nil
	case <-ctx.Done():
		p.stopWaiting(wait)
		return nil, Error.New("no connection in time: %w", ctx.Err())
	}
}

// takeIdle removes and returns the idle connection at index i. p.mu is held.
func (p *Pool) takeIdle(i int) *Conn {
	conn := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	p.countBusy(conn.customer, 1)
	p.fill()
	return conn
}

// release hands conn to the first waiting request of its customer, or makes it idle, also if a more
// urgent request needs its place. p.mu is held.
func (p *Pool) release(conn *Conn) {
	over := p.closed || p.open > p.options.Limit
	if !over {
		for i, w := range p.waiting {
			if w.customer == conn.customer && !p.hasMoreUrgent(w) {
				p.waiting = slices.Delete(p.waiting, i, i+1)
				w.conn <- conn
				return
			}
		}
	}
	p.countBusy(conn.customer, -1)
	p.idle = append(p.idle, conn)
}

// takeSurplus removes from the pool the idle connections that exceed the limit, or all of them
// once the pool is closed, for the caller to close. p.mu is held.
func (p *Pool) takeSurplus() []*Conn {
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

// takeExpired removes the longest-idle connection if it exceeds MinIdle and IdleTimeout, for
// the caller to close. p.mu is held.
func (p *Pool) takeExpired(now time.Time) []*Conn {
	if len(p.idle) <= p.options.MinIdle || now.Sub(p.idle[0].lastUsed) < IdleTimeout {
		return nil
	}
	out := p.idle[:1:1]
	p.idle = p.idle[1:]
	p.open--
	return out
}

// connClosed accounts for a connection in use that was closed. p.mu is held.
func (p *Pool) connClosed() {
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
