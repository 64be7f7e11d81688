package owner

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/owner/coldstart"
	"crocusyoke/internal/request"
	"crocusyoke/internal/target"
)

const (
	coldStart = 20 * time.Second
	// coldRate gives a bound of 35 requests and a share of 17.
	coldRate, coldLimit, coldShareSize = 20.0, 35, 17
)

// arrivals records when statements arrived at each target.
type arrivals struct {
	mu sync.Mutex
	at map[string][]time.Time
	// starts counts the times that all targets started again, which ends their connections.
	starts atomic.Int64
}

// mostInASecond returns the most statements that arrived at a target within one second.
func (a *arrivals) mostInASecond(name string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	most := 0
	for i, first := range a.at[name] {
		count := 0
		for _, at := range a.at[name][i:] {
			if at.Sub(first) < time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// forget forgets what arrived.
func (a *arrivals) forget() {
	a.mu.Lock()
	defer a.mu.Unlock()
	clear(a.at)
}

// recordingDialer records the statements that arrive at a fakeGroup's targets.
type recordingDialer struct {
	pollableGroup
	arrivals *arrivals
}

type recordingConn struct {
	target.Conn
	name     string
	arrivals *arrivals
	// start is the value of arrivals.starts when the connection was opened.
	start int64
}

// Commands implements target.Dialer as hosted nodes' dialer does, without probes.
func (d recordingDialer) Commands() target.Commands {
	return target.Commands{Rollback: simpleQuery("ROLLBACK"), PerCustomer: true}
}

func (d recordingDialer) Dial(ctx context.Context, login target.Login) (target.Conn, error) {
	conn, err := d.pollableGroup.Dial(ctx, login)
	if err != nil {
		return nil, err
	}
	return &recordingConn{conn, login.Target, d.arrivals, d.arrivals.starts.Load()}, nil
}

// startedControl is a control connection that ends when the targets start again.
type startedControl struct {
	target.Control
	arrivals *arrivals
	start    int64
}

func (d recordingDialer) Control(ctx context.Context, login target.Login) (target.Control, error) {
	control, err := d.pollableGroup.Control(ctx, login)
	return &startedControl{control, d.arrivals, d.arrivals.starts.Load()}, err
}

func (c *startedControl) Status(ctx context.Context) (target.Status, error) {
	if c.start != c.arrivals.starts.Load() {
		return target.Status{}, errFake
	}
	return c.Control.Status(ctx)
}

func (c *recordingConn) Exchange(ctx context.Context, messages []byte) (target.Reply, bool, error) {
	if c.start != c.arrivals.starts.Load() {
		return target.Reply{}, false, errFake
	}
	c.arrivals.mu.Lock()
	c.arrivals.at[c.name] = append(c.arrivals.at[c.name], time.Now())
	c.arrivals.mu.Unlock()
	return c.Conn.Exchange(ctx, messages)
}

// coldFleet is what nodes know of cold targets in a test: the entries, and who holds the lease.
type coldFleet struct {
	arrivals arrivals
	mu       sync.Mutex
	lives    map[string]coldstart.Life
	started  map[string]time.Time
	sequence uint64
	// holder is the node that holds the lease, under fence.
	holder atomic.Value
	fence  atomic.Uint64
}

func newColdFleet() *coldFleet {
	f := &coldFleet{arrivals: arrivals{at: map[string][]time.Time{}}, lives: map[string]coldstart.Life{}, started: map[string]time.Time{}}
	f.holder.Store("n1")
	return f
}

// write gives the nodes an entry of each target. One that was not told to have started has run for long.
func (f *coldFleet) write() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sequence++
	for _, name := range []string{"db0", "db1", "db2"} {
		started, fresh := f.started[name]
		e := coldstart.Entry{StartedAt: time.Now().Add(-time.Hour).Truncate(24 * time.Hour), Sequence: f.sequence, Stated: true}
		if fresh {
			e.StartedAt, e.Left = started, max(0, coldStart-time.Since(started))
		}
		f.lives[name] = f.lives[name].Observe(time.Now(), e)
	}
}

func (f *coldFleet) options(self string) func(*Options) {
	return func(o *Options) {
		group := o.Config.(*fakeGroup)
		config := *group.Current()
		config.Groups = []fleet.Group{config.Groups[0]}
		config.Groups[0].ColdStart, config.Groups[0].ColdRate = fleet.Duration(coldStart), coldRate
		group.config.Store(&config)
		o.Self = self
		o.Dialer = recordingDialer{o.Dialer.(pollableGroup), &f.arrivals}
		o.Cold = coldstart.Bound{Over: 1.5, Slack: 5}
		o.ColdHolder = func(string) (uint64, bool) { return f.fence.Load(), f.holder.Load() == self }
		o.TargetLife = func(name string) coldstart.Life {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.lives[name]
		}
	}
}

// withColdFleet runs check with a node n1 that holds the lease and knows all targets to be warm but those that started.
func withColdFleet(t *testing.T, started []string, check func(*harness, *coldFleet)) {
	f := newColdFleet()
	withHarness(t, 5*time.Millisecond, f.options("n1"), func(h *harness) {
		for _, name := range started {
			f.started[name] = time.Now()
		}
		for range 3 {
			f.write()
			time.Sleep(1200 * time.Millisecond)
		}
		check(h, f)
	})
}

// load has m serve count requests of kind, spread over length, and returns how many were answered.
func (h *harness) load(m *Manager, kind request.Kind, count int, length, timeout time.Duration) int {
	var wg sync.WaitGroup
	var answered atomic.Int64
	for i := range count {
		wg.Go(func() {
			time.Sleep(length * time.Duration(i) / time.Duration(count))
			text := "SELECT"
			if kind == request.KindWrite {
				text = fmt.Sprintf("INSERT %d", i)
			}
			if _, err := m.Serve(context.Background(), h.request(kind, text, timeout)); err == nil {
				answered.Add(1)
			}
		})
	}
	wg.Wait()
	return int(answered.Load())
}

// TestColdPrimaryGetsItsShare guards against a target that has just started and gets more than it can take, and against
// a share that is left unused. What the share doesn't cover is refused at once, with when to come back.
func TestColdPrimaryGetsItsShare(t *testing.T) {
	withColdFleet(t, []string{"db0"}, func(h *harness, f *coldFleet) {
		answered := h.load(h.manager, request.KindWrite, 2000, 4*time.Second, 500*time.Millisecond)
		must.LessEq(t, coldShareSize, f.arrivals.mostInASecond("db0"))
		must.GreaterEq(t, 3*coldShareSize, answered)
		time.Sleep(2 * time.Second)
		must.Eq(t, coldShareSize, h.load(h.manager, request.KindWrite, coldShareSize, 0, time.Second))
		began := time.Now()
		_, err := h.serve(h.request(request.KindWrite, "INSERT", 300*time.Millisecond))
		mustRefuse(t, err, request.CodeOverloaded)
		must.Eq(t, 0, time.Since(began))
		must.Positive(t, request.AsRefusal(err).RetryAfter)
		must.Eq(t, 100, h.load(h.manager, request.KindRead, 100, time.Second, time.Second))
		must.LessEq(t, coldShareSize, f.arrivals.mostInASecond("db0"))
	})
}

// TestColdReplicaIsSpared checks that reads go elsewhere as far as a cold replica has no room, and that it is used in full
// once it is warm.
func TestColdReplicaIsSpared(t *testing.T) {
	withColdFleet(t, []string{"db1", "db2"}, func(h *harness, f *coldFleet) {
		must.Eq(t, 2000, h.load(h.manager, request.KindRead, 2000, 4*time.Second, time.Second))
		for _, name := range []string{"db1", "db2"} {
			must.LessEq(t, coldShareSize, f.arrivals.mostInASecond(name))
			must.Positive(t, f.arrivals.mostInASecond(name))
		}
		for range 16 {
			f.write()
			time.Sleep(1200 * time.Millisecond)
		}
		must.Eq(t, 1000, h.load(h.manager, request.KindRead, 1000, time.Second, time.Second))
		must.Greater(t, coldLimit, f.arrivals.mostInASecond("db1"))
	})
}

// TestTwoOwnersShareAColdTarget guards against two nodes that each take a cold target's room: an owner that has lost the
// lease, beside the one that has taken it.
func TestTwoOwnersShareAColdTarget(t *testing.T) {
	withColdFleet(t, []string{"db0", "db1", "db2"}, func(h *harness, f *coldFleet) {
		options := Options{Domain: "b", Dialer: pollableGroup{h.group}, Config: h.group}
		f.options("n2")(&options)
		second := New(options)
		second.SetOwned("ledger", true)
		var wg sync.WaitGroup
		for _, m := range []*Manager{h.manager, second} {
			wg.Go(func() { h.load(m, request.KindWrite, 2000, 6*time.Second, time.Second) })
		}
		for range 5 {
			time.Sleep(900 * time.Millisecond)
			f.fence.Add(1)
			f.holder.Store("n2")
			time.Sleep(300 * time.Millisecond)
			f.holder.Store("n1")
			f.fence.Add(1)
		}
		wg.Wait()
		must.LessEq(t, coldShareSize, f.arrivals.mostInASecond("db0"))
		must.Positive(t, f.arrivals.mostInASecond("db0"))
		must.NoError(t, second.Drain(context.Background()))
	})
}

// TestNodeWithoutALeaseSparesColdTargets guards against a node that is cut off from the store and places on a target of
// which it does not know whether it has just started.
func TestNodeWithoutALeaseSparesColdTargets(t *testing.T) {
	withColdFleet(t, nil, func(h *harness, f *coldFleet) {
		must.Eq(t, 200, h.load(h.manager, request.KindWrite, 200, time.Second, time.Second))
		f.holder.Store("nobody")
		must.Eq(t, 200, h.load(h.manager, request.KindWrite, 200, time.Second, time.Second))
		// What a proven target answers proves connections that were opened before, also without polls.
		opened := time.Now()
		must.Eq(t, 1, h.load(h.manager, request.KindWrite, 1, time.Second, time.Second))
		g := h.manager.groups["ledger"]
		g.mu.Lock()
		link := g.members[0].link
		g.mu.Unlock()
		link.Break()
		must.True(t, link.LeadsToWarm(time.Now(), opened, coldstart.Life{}, coldStart))
		must.False(t, link.LeadsToWarm(time.Now(), time.Now(), coldstart.Life{}, coldStart))
		f.arrivals.forget()
		// The targets start again. The node hears nothing of it but that its connections end.
		f.arrivals.starts.Add(1)
		h.load(h.manager, request.KindWrite, 200, 3*time.Second, time.Second)
		must.Eq(t, 0, f.arrivals.mostInASecond("db0"))
		time.Sleep(coldStart)
		must.Eq(t, 20, h.load(h.manager, request.KindWrite, 20, time.Second, time.Second))
	})
}

// TestReadsLeaveColdTargetsWithoutAShare guards against reads that are refused while a warm target can answer.
func TestReadsLeaveColdTargetsWithoutAShare(t *testing.T) {
	withColdFleet(t, []string{"db1", "db2"}, func(h *harness, f *coldFleet) {
		f.holder.Store("nobody")
		f.arrivals.forget()
		must.Eq(t, 100, h.load(h.manager, request.KindRead, 100, time.Second, time.Second))
		must.Eq(t, 0, f.arrivals.mostInASecond("db1")+f.arrivals.mostInASecond("db2"))
	})
}

// TestTransactionAtAColdTarget checks that each statement of a transaction counts, and that one which finds no room in
// time ends the transaction without a further statement.
func TestTransactionAtAColdTarget(t *testing.T) {
	withColdFleet(t, []string{"db0"}, func(h *harness, f *coldFleet) {
		begin := h.request(request.KindBegin, "BEGIN", time.Second)
		_, err := h.serve(begin)
		must.NoError(t, err)
		statement := begin
		for range coldShareSize - 1 {
			statement = nextRequest(statement, request.KindInTransaction, "INSERT")
			_, err = h.serve(statement)
			must.NoError(t, err)
		}
		late := nextRequest(statement, request.KindInTransaction, "INSERT late")
		late.Deadline = time.Now().Add(500 * time.Millisecond)
		_, err = h.serve(late)
		mustRefuse(t, err, request.CodeTransactionLost)
		time.Sleep(2 * time.Second)
		must.Eq(t, coldShareSize, f.arrivals.mostInASecond("db0"))
		must.Eq(t, 0, h.group.targets[0].count("INSERT late")+h.group.targets[0].count("ROLLBACK"))
	})
}

// TestLateStatementAtAColdTarget guards against a statement of a transaction that waits for its slot until this node has
// lost its lease and is sent all the same, on top of the share of the next holder.
func TestLateStatementAtAColdTarget(t *testing.T) {
	withColdFleet(t, []string{"db0"}, func(h *harness, f *coldFleet) {
		begin := h.request(request.KindBegin, "BEGIN", time.Second)
		_, err := h.serve(begin)
		must.NoError(t, err)
		primary := h.group.targets[0]
		primary.update(func(f *fakeTarget) { f.serviceTime = 2 * time.Second })
		for range fakeSlots {
			go func() { _, _ = h.serve(h.request(request.KindBegin, "BEGIN", 10*time.Second)) }()
		}
		time.Sleep(100 * time.Millisecond)
		primary.update(func(f *fakeTarget) { must.Eq(t, fakeSlots, f.running) })
		time.AfterFunc(time.Second, func() { f.holder.Store("nobody") })
		late := nextRequest(begin, request.KindInTransaction, "INSERT late")
		late.Deadline = time.Now().Add(10 * time.Second)
		_, err = h.serve(late)
		mustRefuse(t, err, request.CodeTransactionLost)
		time.Sleep(5 * time.Second)
		must.Zero(t, primary.count("INSERT late")+primary.count("ROLLBACK"))
	})
}
