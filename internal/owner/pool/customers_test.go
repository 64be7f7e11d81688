package pool

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/target"
)

const (
	maxModelLimit  = 4
	modelProbeTime = 3 * time.Millisecond
)

// The actions of a step.
const (
	stepUse = iota
	stepTryUse
	stepDiscard
	stepDiscardSilent
	stepResize
	stepToggleRefusal
	stepPanic
	stepSilence
	stepWait
	numSteps
)

// poolStep is one action on a pool. patience is how long it waits for a connection, and hold how long that
// is in use, as by a statement or an open transaction.
type poolStep struct {
	action   int
	customer string
	limit    int
	patience time.Duration
	hold     time.Duration
	pause    time.Duration
}

func drawPoolStep(t *rapid.T) poolStep {
	return poolStep{
		action:   rapid.IntRange(0, numSteps-1).Draw(t, "action"),
		customer: rapid.SampledFrom([]string{"", "a", "b", "a b"}).Draw(t, "customer"),
		limit:    rapid.IntRange(1, maxModelLimit).Draw(t, "limit"),
		patience: rapid.SampledFrom([]time.Duration{dialTime, 10 * dialTime}).Draw(t, "patience"),
		hold:     time.Duration(rapid.IntRange(0, 80).Draw(t, "hold")) * time.Millisecond,
		pause:    time.Duration(rapid.SampledFrom([]int{0, 1, 5, 20, 1100}).Draw(t, "pause")) * time.Millisecond,
	}
}

// poolModel is a Pool whose users record what each connection is in use for.
type poolModel struct {
	pool   *Pool
	server *fakeServer
	users  sync.WaitGroup

	mu sync.Mutex
	// panics makes the next dial panic, silent the next probe remain without an answer.
	panics     bool
	silent     bool
	violations []string
}

// modelConn is a connection of a poolModel. users counts what uses it: a holder, or a probe.
type modelConn struct {
	target.Conn
	model    *poolModel
	customer string
	users    int
	// closed and silent make the connection unusable.
	closed bool
	silent bool
}

func (m *poolModel) dial(ctx context.Context, customer string) (target.Conn, error) {
	m.mu.Lock()
	panics := m.panics
	m.panics = false
	m.mu.Unlock()
	if panics {
		panic("unexpected startup")
	}
	conn, err := m.server.dial(ctx, customer)
	if err != nil {
		return nil, err
	}
	return &modelConn{Conn: conn, model: m, customer: customer}, nil
}

// Exchange implements target.Conn. Only probes use it.
func (c *modelConn) Exchange(ctx context.Context, messages []byte) (target.Reply, bool, error) {
	c.model.take(c, c.customer)
	defer c.model.giveBack(c)
	if c.fallSilent() {
		<-ctx.Done()
		return target.Reply{}, true, ctx.Err()
	}
	if err := (clock.Wall{}).Sleep(ctx, modelProbeTime); err != nil {
		return target.Reply{}, true, err
	}
	return c.Conn.Exchange(ctx, messages)
}

// fallSilent reports whether c no longer answers.
func (c *modelConn) fallSilent() bool {
	c.model.mu.Lock()
	defer c.model.mu.Unlock()
	c.silent = c.silent || c.model.silent
	c.model.silent = false
	return c.silent
}

func (c *modelConn) Close() error {
	c.model.mu.Lock()
	defer c.model.mu.Unlock()
	if c.users > 0 {
		c.model.report("a connection of %q was closed while in use", c.customer)
	}
	if c.closed {
		c.model.report("a connection of %q was closed twice", c.customer)
	}
	c.closed = true
	return c.Conn.Close()
}

// report records a violation. m.mu is held.
func (m *poolModel) report(format string, args ...any) {
	m.violations = append(m.violations, fmt.Sprintf(format, args...))
}

// take records that c is in use for customer.
func (m *poolModel) take(c *modelConn, customer string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.customer != customer {
		m.report("a connection dialed for %q was handed out for %q", c.customer, customer)
	}
	if c.users > 0 || c.closed || c.silent {
		m.report("a connection of %q was handed out with %d users, closed %v, silent %v", c.customer, c.users, c.closed, c.silent)
	}
	c.users++
}

func (m *poolModel) giveBack(c *modelConn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c.users--
}

// checkIdle reports what is wrong with the pool's idle connections.
func (m *poolModel) checkIdle() {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	seen := make(map[*Conn]bool)
	for _, conn := range m.pool.idle {
		c := conn.Conn.(*modelConn)
		if c.users > 0 || seen[conn] || conn.customer != c.customer {
			m.report("an idle connection of %q has %d users, twice idle %v, kept for %q", c.customer, c.users, seen[conn], conn.customer)
		}
		seen[conn] = true
	}
}

// use takes a connection for step's customer, holds it and ends its use as the step says.
func (m *poolModel) use(step poolStep) {
	conn := m.get(step)
	if conn == nil {
		return
	}
	c := conn.Conn.(*modelConn)
	m.take(c, step.customer)
	time.Sleep(step.hold)
	m.giveBack(c)
	switch step.action {
	case stepDiscard, stepDiscardSilent:
		m.pool.Discard(conn, step.action == stepDiscardSilent)
	default:
		m.pool.Put(conn)
	}
}

func (m *poolModel) get(step poolStep) *Conn {
	if step.action == stepTryUse {
		return m.pool.TryGet(step.customer)
	}
	ctx, cancel := context.WithTimeout(context.Background(), step.patience)
	defer cancel()
	conn, err := m.pool.Get(ctx, step.customer)
	if err != nil {
		return nil
	}
	return conn
}

func (m *poolModel) run(step poolStep) {
	switch step.action {
	case stepResize:
		m.pool.SetLimit(step.limit)
	case stepToggleRefusal:
		m.server.mu.Lock()
		m.server.refuse = !m.server.refuse
		m.server.mu.Unlock()
	case stepPanic:
		m.mu.Lock()
		m.panics = true
		m.mu.Unlock()
	case stepSilence:
		m.mu.Lock()
		m.silent = true
		m.mu.Unlock()
	case stepWait:
	default:
		m.users.Go(func() { m.use(step) })
	}
	time.Sleep(step.pause)
	synctest.Wait()
	m.checkIdle()
}

// TestConnectionIsUsedByAnother guards against a connection that is used for another customer than the one
// it was dialed for, and against one that is idle, handed out or closed while a statement, a transaction or
// a probe uses it.
func TestConnectionIsUsedByAnother(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawPoolStep), 5, 60).Draw(rt, "steps")
		m := &poolModel{server: &fakeServer{}}
		synctest.Test(t, func(*testing.T) {
			m.pool = New(Options{Dial: m.dial, Probe: []byte("probe"), Clock: clock.Wall{}, Limit: maxModelLimit})
			for _, step := range steps {
				m.run(step)
			}
			m.users.Wait()
			m.pool.Close()
			<-m.pool.Drained()
		})
		if m.server.maxOpen > maxModelLimit {
			rt.Fatalf("%d connections open at once", m.server.maxOpen)
		}
		if m.server.count() != 0 {
			rt.Fatalf("%d connections left open", m.server.count())
		}
		if len(m.violations) > 0 {
			rt.Fatalf("%v", m.violations)
		}
	})
}
