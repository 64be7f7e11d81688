package owner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/owner/schedule"
	"crocusyoke/internal/request"
	"crocusyoke/internal/target"

	"github.com/shoenig/test/must"
)

func (f *fakeTarget) update(change func(*fakeTarget)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// count returns how often the target ran text.
func (f *fakeTarget) count(text string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[text]
}

func TestLateAnswerOfDeposedPrimaryIsUnknown(t *testing.T) {
	withHarness(t, 5*time.Millisecond, nil, func(h *harness) {
		old := h.group.targets[0]
		hold := make(chan struct{})
		old.update(func(f *fakeTarget) { f.holdCommit = hold })
		// The replicas stop following the primary, which still considers itself primary.
		h.group.targets[1].update(func(f *fakeTarget) { f.following = nil })
		h.group.targets[2].update(func(f *fakeTarget) { f.following = nil })
		go func() {
			time.Sleep(100 * time.Millisecond)
			old.update(func(f *fakeTarget) { f.unresponsive = true })
			h.group.promote(1, 2)
			old.update(func(f *fakeTarget) { f.unresponsive = false })
			close(hold)
		}()
		_, err := h.serve(h.request(request.KindWrite, "INSERT late", 2*time.Second))
		mustRefuse(t, err, request.CodeOutcomeUnknown)
		must.Eq(t, 1, old.count("INSERT late"))
		must.Eq(t, 0, h.group.targets[1].count("INSERT late"))
		// The next write goes to the new primary.
		old.update(func(f *fakeTarget) { f.holdCommit = nil })
		answer, err := h.serve(h.request(request.KindWrite, "INSERT next", time.Second))
		must.NoError(t, err)
		must.Eq(t, "db1", answer.Target)
	})
}

// jumpClock is a wall clock that a test can move forward, as after a pause of the process.
type jumpClock struct {
	mu   sync.Mutex
	jump time.Duration
}

func (c *jumpClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Add(c.jump)
}

func (c *jumpClock) Sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func TestPausedOwnerAsksAgain(t *testing.T) {
	clock := &jumpClock{}
	change := func(o *Options) {
		o.Clock = clock
		o.Idempotent = func(ctx context.Context, conn target.Conn, req *request.Request) (target.Reply, bool, bool, error) {
			reply, sent, err := conn.Exchange(ctx, req.Messages)
			return reply, false, sent, err
		}
	}
	withHarness(t, 5*time.Millisecond, change, func(h *harness) {
		// The evidence is recent when the process is paused for 10 s. No target answers
		// polls from then on, so the owner can't learn whether the primary was replaced.
		for _, f := range h.group.targets {
			f.update(func(f *fakeTarget) { f.pollTime = time.Hour })
		}
		clock.mu.Lock()
		clock.jump = 10 * time.Second
		clock.mu.Unlock()
		req := h.request(request.KindWrite, "INSERT paused", 500*time.Millisecond)
		req.Deadline = time.Time{}
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		_, err := h.manager.Serve(ctx, req)
		mustRefuse(t, err, request.CodeNoTarget)
		must.Eq(t, 0, h.group.targets[0].count("INSERT paused"))
		read := h.request(request.KindRead, "SELECT paused", 500*time.Millisecond)
		read.MinPositionKnown = false
		_, err = h.manager.Serve(ctx, read)
		must.Error(t, err)
	})
}

func TestReplicaThatWentBackwardsIsNotBelieved(t *testing.T) {
	withHarness(t, 5*time.Millisecond, nil, func(h *harness) {
		written, err := h.serve(h.request(request.KindWrite, "INSERT 1", time.Second))
		must.NoError(t, err)
		time.Sleep(300 * time.Millisecond)
		for _, f := range h.group.targets[1:] {
			f.update(func(f *fakeTarget) {
				f.following = nil
				f.log = f.log[:1]
			})
		}
		read := h.request(request.KindRead, "SELECT 1", time.Second)
		read.MinPosition = written.Position
		answer, err := h.serve(read)
		must.NoError(t, err)
		must.False(t, answer.Replica)
		must.True(t, answer.Position.Covers(written.Position))
	})
}

func TestSilentConnections(t *testing.T) {
	withHarness(t, 5*time.Millisecond, nil, func(h *harness) {
		primary := h.group.targets[0]
		primary.update(func(f *fakeTarget) { f.silenceNext = true })
		read := h.request(request.KindRead, "SELECT 1", time.Second)
		read.MinPositionKnown = false
		_, err := h.serve(read)
		must.NoError(t, err)

		primary.update(func(f *fakeTarget) { f.silenceNext = true })
		started := time.Now()
		_, err = h.serve(h.request(request.KindWrite, "INSERT silent", time.Second))
		mustRefuse(t, err, request.CodeOutcomeUnknown)
		must.LessEq(t, time.Second+DefaultCancelWait, time.Since(started))
		must.Eq(t, 0, primary.count("INSERT silent"))

		// The idle connections are probed before reuse, and a silent one is closed before
		// the write is sent.
		primary.update(func(f *fakeTarget) { f.silenceNext = true })
		_, err = h.serve(h.request(request.KindWrite, "INSERT after", time.Second))
		must.NoError(t, err)
		must.Eq(t, 1, primary.count("INSERT after"))
	})
}

func TestCancellationsLeakNoSlots(t *testing.T) {
	withHarness(t, 5*time.Millisecond, nil, func(h *harness) {
		random := rand.New(rand.NewPCG(1, 2))
		for _, f := range h.group.targets {
			f.update(func(f *fakeTarget) { f.serviceTime = 10 * time.Millisecond })
		}
		var wg sync.WaitGroup
		for i := range 300 {
			// Cancellations happen at the same instants as slots are granted.
			wait := time.Duration(1+random.IntN(6)) * 10 * time.Millisecond
			start := time.Duration(random.IntN(30)) * 10 * time.Millisecond
			kind := request.Kind(random.IntN(2))
			wg.Go(func() {
				time.Sleep(start)
				ctx, cancel := context.WithCancel(context.Background())
				time.AfterFunc(wait, cancel)
				text := fmt.Sprintf("INSERT %d", i)
				if kind == request.KindRead {
					text = fmt.Sprintf("SELECT %d", i)
				}
				_, err := h.manager.Serve(ctx, h.request(kind, text, time.Second))
				if err != nil && request.AsRefusal(err).Code.Fate == request.NotRun {
					must.Eq(h, 0, h.group.targets[0].count(text), must.Sprint(err))
				}
			})
		}
		wg.Wait()
		for _, f := range h.group.targets {
			must.LessEq(h, fakeSlots, f.maxRunning)
			must.Eq(h, 0, f.reusedAfterCancel)
			must.Eq(h, 0, f.running)
		}
		for _, s := range h.manager.Snapshot()[0].Targets {
			must.Eq(h, 0, s.InFlight)
			must.Eq(h, 0, s.Waiting)
		}
	})
}

func TestCallerLostInTransaction(t *testing.T) {
	withHarness(t, 5*time.Millisecond, nil, func(h *harness) {
		begin := h.request(request.KindBegin, "BEGIN", time.Second)
		_, err := h.serve(begin)
		must.NoError(t, err)
		_, err = h.serve(nextRequest(begin, request.KindInTransaction, "INSERT lost"))
		must.NoError(t, err)
		h.manager.End(begin.ID.Session)
		time.Sleep(50 * time.Millisecond)
		must.Eq(t, 1, h.group.targets[0].count("ROLLBACK"))
		must.Eq(t, 0, h.manager.Snapshot()[0].Targets[0].Transactions)
		_, err = h.serve(nextRequest(begin, request.KindCommit, "COMMIT"))
		mustRefuse(t, err, request.CodeTransactionLost)
		must.Eq(t, 0, h.group.targets[0].count("COMMIT"))
	})
}

func TestIdleTransactionEnds(t *testing.T) {
	withHarness(t, 5*time.Millisecond, nil, func(h *harness) {
		begin := h.request(request.KindBegin, "BEGIN", time.Second)
		_, err := h.serve(begin)
		must.NoError(t, err)
		time.Sleep(DefaultTransactionIdle + time.Second)
		_, err = h.serve(nextRequest(begin, request.KindCommit, "COMMIT"))
		mustRefuse(t, err, request.CodeTransactionLost)
		must.Eq(t, 1, h.group.targets[0].count("ROLLBACK"))
	})
}

func TestCancelledStatementAnswers(t *testing.T) {
	withHarness(t, 5*time.Millisecond, nil, func(h *harness) {
		primary := h.group.targets[0]
		primary.update(func(f *fakeTarget) { f.serviceTime = time.Minute })
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, cancel)
		started := time.Now()
		answer, err := h.manager.Serve(ctx, h.request(request.KindWrite, "INSERT 1", 30*time.Second))
		must.NoError(t, err)
		must.Eq(t, "57014", string(answer.Messages))
		must.Less(t, 100*time.Millisecond, time.Since(started))
		must.Eq(t, 0, primary.count("INSERT 1"))
	})
}

func TestLostAnswerIsNotSentAgain(t *testing.T) {
	withHarness(t, 5*time.Millisecond, nil, func(h *harness) {
		primary := h.group.targets[0]
		primary.update(func(f *fakeTarget) { f.loseNextAnswer = true })
		_, err := h.serve(h.request(request.KindWrite, "INSERT 1", time.Second))
		mustRefuse(t, err, request.CodeOutcomeUnknown)
		must.Eq(t, 1, primary.count("INSERT 1"))
		// A read is run again.
		primary.update(func(f *fakeTarget) { f.loseNextAnswer = true })
		read := h.request(request.KindRead, "SELECT 1", time.Second)
		read.MinPositionKnown = false
		_, err = h.serve(read)
		must.NoError(t, err)
		must.Eq(t, 2, primary.count("SELECT 1"))
	})
}

func TestCommitOfDeposedPrimaryIsUnknown(t *testing.T) {
	withHarness(t, 5*time.Millisecond, nil, func(h *harness) {
		old := h.group.targets[0]
		begin := h.request(request.KindBegin, "BEGIN", time.Second)
		_, err := h.serve(begin)
		must.NoError(t, err)
		_, err = h.serve(nextRequest(begin, request.KindInTransaction, "INSERT 1"))
		must.NoError(t, err)
		old.update(func(f *fakeTarget) { f.unresponsive = true })
		h.group.promote(1, 2)
		old.update(func(f *fakeTarget) { f.unresponsive = false })
		_, err = h.serve(nextRequest(begin, request.KindCommit, "COMMIT"))
		mustRefuse(t, err, request.CodeOutcomeUnknown)
	})
}

func TestWriteMisclassifiedAsReadGoesToPrimary(t *testing.T) {
	withHarness(t, 5*time.Millisecond, nil, func(h *harness) {
		answer, err := h.serve(h.request(request.KindRead, "INSERT 1", time.Second))
		must.NoError(t, err)
		must.Eq(t, "db0", answer.Target)
		must.Eq(t, 1, h.group.targets[0].count("INSERT 1"))
	})
}

func TestBoundedStalenessReads(t *testing.T) {
	withHarness(t, 5*time.Millisecond, nil, func(h *harness) {
		read := func() (*request.Response, error) {
			req := h.request(request.KindRead, "SELECT 1", 100*time.Millisecond)
			req.Profile.Reads = fleet.ReadsAge
			req.Profile.MaxAge = fleet.Duration(2 * time.Second)
			return h.serve(req)
		}
		// A replica that is cut off only from the primary gets no reads once its data is too
		// old.
		h.group.targets[1].update(func(f *fakeTarget) { f.following = nil })
		_, err := h.serve(h.request(request.KindWrite, "INSERT 1", time.Second))
		must.NoError(t, err)
		time.Sleep(3 * time.Second)
		for range 10 {
			answer, err := read()
			must.NoError(t, err)
			must.NotEq(t, "db1", answer.Target)
		}
		// Without a primary, a replica serves reads until its data is too old.
		h.group.targets[0].update(func(f *fakeTarget) { f.unresponsive = true })
		time.Sleep(time.Second)
		answer, err := read()
		must.NoError(t, err)
		must.Eq(t, "db2", answer.Target)
		time.Sleep(2 * time.Second)
		_, err = read()
		mustRefuse(t, err, request.CodeNoTarget)
	})
}

func TestIdempotentWrites(t *testing.T) {
	refusal := request.Refuse(request.CodeKeyReused, "idempotency", "", "key reused")
	change := func(o *Options) {
		o.Idempotent = func(ctx context.Context, conn target.Conn, req *request.Request) (target.Reply, bool, bool, error) {
			if req.IdempotencyKey == "reused" {
				return target.Reply{}, false, true, refusal
			}
			reply, sent, err := conn.Exchange(ctx, req.Messages)
			return reply, req.IdempotencyKey == "again", sent, err
		}
	}
	withHarness(t, 5*time.Millisecond, change, func(h *harness) {
		req := h.request(request.KindWrite, "INSERT 1", time.Second)
		req.IdempotencyKey = "again"
		answer, err := h.serve(req)
		must.NoError(t, err)
		must.True(t, answer.Repeated)
		req.IdempotencyKey = "reused"
		_, err = h.serve(req)
		mustRefuse(t, err, request.CodeKeyReused)
	})
}

func TestNothingIsSentToAnUnreachablePrimary(t *testing.T) {
	withHarness(t, 5*time.Millisecond, nil, func(h *harness) {
		h.group.targets[0].update(func(f *fakeTarget) { f.unresponsive = true })
		time.Sleep(600 * time.Millisecond)
		_, err := h.serve(h.request(request.KindWrite, "INSERT 1", 100*time.Millisecond))
		mustRefuse(t, err, request.CodeNoTarget)
	})
}

// TestSlotGrantedDuringCancellation checks that no slot leaks when a wait is cancelled while
// its slot is being granted.
func TestSlotGrantedDuringCancellation(t *testing.T) {
	withHarness(t, 5*time.Millisecond, nil, func(h *harness) {
		g, _ := h.manager.groupOf("ledger")
		m := g.members[0]
		submit := func() *slotWaiter {
			w := g.newSlotWaiter(&request.Request{Customer: "ravi"}, schedule.Read, time.Time{})
			g.mu.Lock()
			defer g.mu.Unlock()
			deliver(m.schedule.Submit(g.now(), &w.item))
			return w
		}
		for range 100 {
			var running []*slotWaiter
			for range fakeSlots {
				running = append(running, submit())
			}
			waiting := submit()
			ctx, cancel := context.WithCancel(context.Background())
			refused := make(chan bool)
			go func() { refused <- g.awaitSlot(ctx, m, waiting) != nil }()
			synctest.Wait()
			g.mu.Lock()
			cancel()
			for range 100 {
				runtime.Gosched()
			}
			deliver(m.schedule.Done(g.now(), &running[0].item, schedule.TransactionUnchanged))
			g.mu.Unlock()
			if !<-refused {
				g.freeSlot(m, waiting, schedule.TransactionUnchanged)
			}
			for _, w := range running[1:] {
				g.freeSlot(m, w, schedule.TransactionUnchanged)
			}
			must.Eq(t, 0, m.schedule.InFlight())
		}
	})
}

func TestFillsPoolWithoutReplication(t *testing.T) {
	withHarness(t, 0, nil, func(h *harness) {
		synctest.Wait()
		must.Eq(t, fakeSlots, h.manager.Snapshot()[0].Targets[0].Connections.Idle)
	})
}
