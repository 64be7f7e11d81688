package owner

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/logpos"
	"crocusyoke/internal/target"

	"github.com/jackc/pgx/v5/pgproto3"
)

var errFake = errors.New("fake target")

type fakeEntry struct {
	position logpos.Position
	value    string
}

// fakeTarget is an in-memory target whose log entries are strings.
type fakeTarget struct {
	name    string
	address string

	mu        sync.Mutex
	role      target.Role
	term      uint64
	log       []fakeEntry
	following *fakeTarget
	// serviceTime is how long a statement takes, pollTime how long a poll takes.
	serviceTime time.Duration
	pollTime    time.Duration
	// unresponsive is true for a target that answers neither statements nor polls.
	unresponsive bool
	// silenceNext makes the connection of the next exchange silent from then on.
	silenceNext bool
	// loseNextAnswer makes the next exchange run, and then fail without its answer.
	loseNextAnswer bool
	onLostAnswer   func() // called when that happens
	// reusedAfterCancel counts exchanges, but for rollbacks, on suspect connections.
	reusedAfterCancel int
	// holdCommit, if set, delays the answer to a commit until it is closed.
	holdCommit chan struct{}
	// runs counts the statements that ran, by text.
	runs map[string]int

	open, maxOpen, openLimit int
	running, maxRunning      int
	dials                    int
}

func (f *fakeTarget) last() logpos.Position {
	if len(f.log) == 0 {
		return logpos.Position{}
	}
	return f.log[len(f.log)-1].position
}

func (f *fakeTarget) append(value string) {
	f.log = append(f.log, fakeEntry{logpos.Position{Term: f.term, Index: uint64(len(f.log)) + 1}, value})
}

// pull copies the log of the target that f follows.
func (f *fakeTarget) pull() {
	f.mu.Lock()
	from := f.following
	cut := f.unresponsive
	f.mu.Unlock()
	if from == nil || cut {
		return
	}
	from.mu.Lock()
	log := append([]fakeEntry(nil), from.log...)
	ok := !from.unresponsive
	from.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	if ok && f.following == from {
		f.log = log
	}
}

// fakeGroup is a group of fake targets and the dialer to them.
type fakeGroup struct {
	targets []*fakeTarget
	config  atomic.Pointer[fleet.Config]
	stop    context.CancelFunc
}

const (
	fakeSlots       = 5
	fakeConnections = 35
)

// newFakeGroup returns a group of three targets, the first of which is the primary of term 1.
// Replicas pull its log at intervals of lag, or never if lag is 0.
func newFakeGroup(lag time.Duration) *fakeGroup {
	g := &fakeGroup{}
	group := fleet.Group{Name: "ledger"}
	for i := range 3 {
		f := &fakeTarget{
			onLostAnswer: func() {},
			name:         fmt.Sprintf("db%d", i),
			address:      fmt.Sprintf("127.0.0.1:%d", 9000+i),
			role:         target.RoleReplica,
			term:         1,
			serviceTime:  2 * time.Millisecond,
			pollTime:     time.Millisecond,
			runs:         make(map[string]int),
			openLimit:    fakeConnections,
		}
		g.targets = append(g.targets, f)
		group.Targets = append(group.Targets, fleet.Target{
			Name: f.name, Address: f.address, Domain: "a", Slots: fakeSlots, Connections: fakeConnections,
		})
	}
	g.targets[0].role = target.RolePrimary
	g.targets[0].append("first")
	g.targets[1].following = g.targets[0]
	g.targets[2].following = g.targets[0]
	g.config.Store(&fleet.Config{Version: 1, Groups: []fleet.Group{group}})
	ctx, stop := context.WithCancel(context.Background())
	g.stop = stop
	if lag > 0 {
		for _, f := range g.targets {
			go func() {
				for (clock.Wall{}).Sleep(ctx, lag) == nil {
					f.pull()
				}
			}()
		}
	}
	return g
}

// Current implements fleet.Source.
func (g *fakeGroup) Current() *fleet.Config { return g.config.Load() }

// promote makes targets[i] the primary of term and the others its replicas. Unresponsive
// targets are left as they are.
func (g *fakeGroup) promote(i int, term uint64) {
	for j, f := range g.targets {
		f.mu.Lock()
		if !f.unresponsive {
			f.term = term
			f.role = target.RoleReplica
			f.following = g.targets[i]
			if j == i {
				f.role = target.RolePrimary
				f.following = nil
				f.append("promoted")
			}
		}
		f.mu.Unlock()
	}
	for _, f := range g.targets {
		f.pull()
	}
}

func (g *fakeGroup) byAddress(address string) *fakeTarget {
	for _, f := range g.targets {
		if f.address == address {
			return f
		}
	}
	return nil
}

// Dial implements target.Dialer.
func (g *fakeGroup) Dial(ctx context.Context, login target.Login) (target.Conn, error) {
	address := login.Address
	f := g.byAddress(address)
	f.mu.Lock()
	cut := f.unresponsive
	f.dials++
	refused := f.open >= f.openLimit
	if !cut && !refused {
		f.open++
		f.maxOpen = max(f.maxOpen, f.open)
	}
	f.mu.Unlock()
	if refused {
		return nil, errFake
	}
	if cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if err := (clock.Wall{}).Sleep(ctx, 12*time.Millisecond); err != nil {
		f.mu.Lock()
		f.open--
		f.mu.Unlock()
		return nil, err
	}
	return &fakeConn{target: f, cancel: make(chan struct{}, 1)}, nil
}

// Commands implements target.Dialer.
func (g *fakeGroup) Commands() target.Commands {
	return target.Commands{Probe: simpleQuery("SELECT 1"), Rollback: simpleQuery("ROLLBACK")}
}

func (g *fakeGroup) Control(context.Context, target.Login) (target.Control, error) {
	return nil, errFake
}

type fakeControl struct {
	target.Control
	target *fakeTarget
}

func (c *fakeControl) Status(ctx context.Context) (target.Status, error) {
	f := c.target
	f.mu.Lock()
	status := target.Status{Target: f.name, Role: f.role, Term: f.term, OwnTerm: f.term, Last: f.last()}
	cut, delay := f.unresponsive, f.pollTime
	f.mu.Unlock()
	if cut {
		<-ctx.Done()
		return target.Status{}, ctx.Err()
	}
	return status, (clock.Wall{}).Sleep(ctx, delay)
}

func (c *fakeControl) Close() error { return nil }

// pollableGroup is a fakeGroup that accepts control connections.
type pollableGroup struct{ *fakeGroup }

func (c pollableGroup) Control(_ context.Context, login target.Login) (target.Control, error) {
	address := login.Address
	return &fakeControl{target: c.byAddress(address)}, nil
}

type fakeConn struct {
	target *fakeTarget
	cancel chan struct{}
	silent bool
	closed bool
	status byte
	buffer []string
	// cancelSent is set once a cancel request was sent for the connection.
	cancelSent atomic.Bool
	// suspect is set when an exchange ends after a cancel request was sent.
	suspect bool
}

// Exchange implements target.Conn.
func (c *fakeConn) Exchange(ctx context.Context, messages []byte) (target.Reply, bool, error) {
	if ctx.Err() != nil {
		return target.Reply{}, false, ctx.Err()
	}
	var query pgproto3.Query
	if err := query.Decode(messages[5:]); err != nil {
		return target.Reply{}, false, err
	}
	f := c.target
	f.mu.Lock()
	if c.closed {
		f.mu.Unlock()
		return target.Reply{}, false, errFake
	}
	c.silent = c.silent || f.silenceNext
	f.silenceNext = false
	noAnswer := c.silent || f.unresponsive
	breaks, onBreak := f.loseNextAnswer, f.onLostAnswer
	f.loseNextAnswer = false
	if c.suspect && query.String != "ROLLBACK" {
		f.reusedAfterCancel++
	}
	service := f.serviceTime
	f.running++
	f.maxRunning = max(f.maxRunning, f.running)
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		f.running--
		c.suspect = c.cancelSent.Load()
		f.mu.Unlock()
	}()
	if noAnswer {
		<-ctx.Done()
		return target.Reply{}, true, ctx.Err()
	}
	if service > 0 {
		timer := time.NewTimer(service)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return target.Reply{}, true, ctx.Err()
		case <-c.cancel:
			return c.cancelled(), true, nil
		case <-timer.C:
		}
	}
	reply, hold := c.run(query.String)
	if breaks {
		onBreak()
		return target.Reply{}, true, errFake
	}
	if hold != nil {
		select {
		case <-hold:
		case <-ctx.Done():
			return target.Reply{}, true, ctx.Err()
		}
	}
	return reply, true, nil
}

func (c *fakeConn) cancelled() target.Reply {
	c.target.mu.Lock()
	defer c.target.mu.Unlock()
	return c.failure("57014")
}

func (c *fakeConn) failure(state string) target.Reply {
	if c.status == 'T' {
		c.status = 'E'
	}
	return c.reply(state)
}

func (c *fakeConn) reply(state string) target.Reply {
	status := c.status
	if status == 0 {
		status = 'I'
	}
	return target.Reply{Messages: []byte(state), TxStatus: status, Code: state, Outcome: outcomeOf(state), Position: c.target.last()}
}

func (c *fakeConn) run(text string) (target.Reply, chan struct{}) {
	f := c.target
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[text]++
	var hold chan struct{}
	switch {
	case text == "BEGIN":
		c.status = 'T'
	case text == "ROLLBACK":
		c.status = 0
		c.buffer = nil
	case text == "COMMIT":
		for _, value := range c.buffer {
			f.append(value)
		}
		c.status = 0
		c.buffer = nil
		hold = f.holdCommit
	case strings.HasPrefix(text, "INSERT"):
		if f.role != target.RolePrimary {
			return c.failure("25006"), nil
		}
		if c.status == 'T' {
			c.buffer = append(c.buffer, text)
			break
		}
		f.append(text)
		hold = f.holdCommit
	}
	return c.reply(""), hold
}

// Cancel implements target.Conn.
func (c *fakeConn) Cancel(context.Context) error {
	c.cancelSent.Store(true)
	c.target.mu.Lock()
	silent := c.silent
	c.target.mu.Unlock()
	if silent {
		return nil
	}
	select {
	case c.cancel <- struct{}{}:
	default:
	}
	return nil
}

// Close implements target.Conn.
func (c *fakeConn) Close() error {
	f := c.target
	f.mu.Lock()
	defer f.mu.Unlock()
	if !c.closed {
		c.closed = true
		f.open--
	}
	return nil
}
