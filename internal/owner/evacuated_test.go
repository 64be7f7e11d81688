package owner

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/owner/evacuate"
	"crocusyoke/internal/owner/schedule"
	"crocusyoke/internal/request"
)

// evacuate puts the targets into the failure domains a, b and c, of which those given are evacuated.
func (h *harness) evacuate(domains ...string) {
	config := *h.group.Current()
	group := config.Groups[0]
	group.Targets = append([]fleet.Target(nil), group.Targets...)
	for i, domain := range []string{"a", "b", "c"} {
		group.Targets[i].Domain = domain
	}
	config.Groups = []fleet.Group{group}
	config.EvacuatedDomains = domains
	config.MarkEvacuated()
	h.group.config.Store(&config)
}

// total returns how many statements have run at f.
func (f *fakeTarget) total() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	sum := 0
	for _, count := range f.runs {
		sum += count
	}
	return sum
}

// connections returns how many connections to f were ever opened, and how many are open.
func (f *fakeTarget) connections() (dials, open int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dials, f.open
}

// loadEvacuated sends a read each millisecond for d, and returns how many were refused.
func (h *harness) loadEvacuated(d time.Duration) int {
	refused := make(chan bool)
	count := int(d / time.Millisecond)
	for range count {
		go func() {
			_, err := h.serve(h.request(request.KindRead, "SELECT 1", time.Second))
			refused <- err != nil
		}()
		time.Sleep(time.Millisecond)
	}
	sum := 0
	for range count {
		if <-refused {
			sum++
		}
	}
	return sum
}

// TestNothingReachesAnEvacuatedTarget guards against statements, connections and rollbacks that reach an evacuated
// replica, under a load that has queued there, while others serve all of it.
func TestNothingReachesAnEvacuatedTarget(t *testing.T) {
	withHarness(t, 5*time.Millisecond, nil, func(h *harness) {
		replica := h.group.targets[1]
		h.evacuate()
		replica.update(func(f *fakeTarget) { f.serviceTime = 400 * time.Millisecond })
		refused := make(chan int)
		go func() { refused <- h.loadEvacuated(time.Second) }()
		time.Sleep(100 * time.Millisecond)
		replica.update(func(f *fakeTarget) { must.Eq(t, fakeSlots, f.running) })
		h.evacuate("b")
		time.Sleep(500 * time.Millisecond)
		ran := replica.total()
		dials, open := replica.connections()
		must.Zero(t, open)
		time.Sleep(5 * time.Second)
		must.Zero(t, <-refused)
		must.Eq(t, ran, replica.total())
		again, _ := replica.connections()
		must.Eq(t, dials, again)
	})
}

// TestEvacuationEndsTransactions checks that a transaction at an evacuated target goes on for a while and is then
// ended without a further statement, in time for the bound.
func TestEvacuationEndsTransactions(t *testing.T) {
	withHarness(t, 5*time.Millisecond, nil, func(h *harness) {
		begin := h.request(request.KindBegin, "BEGIN", time.Second)
		_, err := h.serve(begin)
		must.NoError(t, err)
		h.evacuate("a")
		time.Sleep(time.Second)
		inside := nextRequest(begin, request.KindInTransaction, "SELECT 1")
		inside.Deadline = time.Now().Add(time.Second)
		_, err = h.serve(inside)
		must.NoError(t, err)
		ran := h.group.targets[0].total()
		time.Sleep(time.Second)
		_, open := h.group.targets[0].connections()
		must.Zero(t, open)
		commit := nextRequest(inside, request.KindCommit, "COMMIT")
		commit.Deadline = time.Now().Add(time.Second)
		_, err = h.serve(commit)
		mustRefuse(t, err, request.CodeTransactionLost)
		must.Eq(t, ran, h.group.targets[0].total())
	})
}

// TestLateStatementOfATransaction guards against a statement that gets its slot at an evacuated target only once the
// transaction's time there is over.
func TestLateStatementOfATransaction(t *testing.T) {
	withHarness(t, 5*time.Millisecond, nil, func(h *harness) {
		primary := h.group.targets[0]
		begin := h.request(request.KindBegin, "BEGIN", time.Second)
		_, err := h.serve(begin)
		must.NoError(t, err)
		primary.update(func(f *fakeTarget) { f.serviceTime = 2 * time.Second })
		for range fakeSlots {
			go func() { _, _ = h.serve(h.request(request.KindBegin, "BEGIN", 10*time.Second)) }()
		}
		time.Sleep(100 * time.Millisecond)
		primary.update(func(f *fakeTarget) { must.Eq(t, fakeSlots, f.running) })
		h.evacuate("a")
		inside := nextRequest(begin, request.KindInTransaction, "SELECT late")
		inside.Deadline = time.Now().Add(10 * time.Second)
		_, err = h.serve(inside)
		mustRefuse(t, err, request.CodeTransactionLost)
		time.Sleep(5 * time.Second)
		must.Zero(t, primary.count("SELECT late"))
	})
}

// TestQueuedRequestsLeaveAnEvacuatedTarget checks that requests that wait for a slot of an evacuated target are placed
// elsewhere at once, also those that wait for a connection.
func TestQueuedRequestsLeaveAnEvacuatedTarget(t *testing.T) {
	withHarness(t, 5*time.Millisecond, nil, func(h *harness) {
		for _, f := range h.group.targets {
			f.update(func(f *fakeTarget) { f.serviceTime = time.Second })
		}
		h.evacuate()
		served := make(chan error)
		for range 40 {
			go func() {
				_, err := h.serve(h.request(request.KindRead, "SELECT 1", 30*time.Second))
				served <- err
			}()
		}
		time.Sleep(100 * time.Millisecond)
		must.Positive(t, h.manager.Snapshot()[0].Targets[1].Waiting)
		h.evacuate("b")
		time.Sleep(300 * time.Millisecond)
		must.Eq(t, fakeSlots, h.manager.Snapshot()[0].Targets[1].InFlight)
		must.Zero(t, h.manager.Snapshot()[0].Targets[1].Waiting)
		for range 40 {
			must.NoError(t, <-served)
		}
		must.Eq(t, fakeSlots, h.group.targets[1].total())
	})
}

// TestPlacementEndsWithAnEvacuation checks that a request that has its slot is placed again if the target was evacuated
// before anything was sent.
func TestPlacementEndsWithAnEvacuation(t *testing.T) {
	withHarness(t, 5*time.Millisecond, nil, func(h *harness) {
		h.evacuate()
		g := h.manager.groups["ledger"]
		r := &execution{req: h.request(request.KindRead, "SELECT 1", time.Second), startedAt: time.Now()}
		must.Nil(t, g.place(t.Context(), r))
		must.Nil(t, g.awaitNewSlot(t.Context(), r))
		must.False(t, g.needsRecheck(r))
		h.evacuate("a", "b", "c")
		valid := g.isPlacementValid(r)
		must.False(t, valid)
		must.True(t, g.needsRecheck(r))
		g.freeSlot(r.member, r.slot, schedule.TransactionUnchanged)
	})
}

// TestWriteDuringAHandover checks that a write waits for the primary of an evacuated domain to hand over, and that
// one is refused at once, as not run and with a time to come back, while there is no target to take over.
func TestWriteDuringAHandover(t *testing.T) {
	withHarness(t, 5*time.Millisecond, func(o *Options) { o.HeldTerms, o.FailFastWithoutPrimary = false, true }, func(h *harness) {
		h.evacuate("a", "b", "c")
		began := time.Now()
		_, err := h.serve(h.request(request.KindWrite, "INSERT 1", 5*time.Second))
		mustRefuse(t, err, request.CodeNoTarget)
		must.Positive(t, request.AsRefusal(err).RetryAfter)
		must.Zero(t, time.Since(began))
		h.group.targets[2].update(func(f *fakeTarget) { f.unresponsive = true })
		time.Sleep(time.Second)
		h.evacuate("a", "b")
		_, err = h.serve(h.request(request.KindWrite, "INSERT 1", 5*time.Second))
		mustRefuse(t, err, request.CodeNoTarget)
		must.Eq(t, time.Second, time.Since(began))
		h.group.targets[2].update(func(f *fakeTarget) { f.unresponsive = false })
		time.Sleep(time.Second)
		go func() {
			time.Sleep(700 * time.Millisecond)
			h.group.promote(2, 2)
		}()
		response, err := h.serve(h.request(request.KindWrite, "INSERT 2", 5*time.Second))
		must.NoError(t, err)
		must.Eq(t, "db2", response.Target)
		must.Eq(t, 0, h.group.targets[0].count("INSERT 1")+h.group.targets[0].count("INSERT 2"))
	})
}

// TestSecondHandoverIsAwaited guards against a write that is refused at the start of a hand-over, as if that were late,
// because of an earlier evacuation during which a write was refused and none was served since.
func TestSecondHandoverIsAwaited(t *testing.T) {
	withHarness(t, 5*time.Millisecond, func(o *Options) { o.FailFastWithoutPrimary = true }, func(h *harness) {
		h.evacuate("a", "b", "c")
		_, err := h.serve(h.request(request.KindWrite, "INSERT 1", time.Second))
		mustRefuse(t, err, request.CodeNoTarget)
		h.evacuate()
		time.Sleep(time.Minute)
		h.evacuate("a")
		time.AfterFunc(700*time.Millisecond, func() { h.group.promote(1, 2) })
		response, err := h.serve(h.request(request.KindWrite, "INSERT 2", 5*time.Second))
		must.NoError(t, err)
		must.Eq(t, "db1", response.Target)
	})
}

// TestTakenBackTargetsServeAgain checks that a target that was taken back gets no work while others are free, gets
// some under a load that needs it, and its share again after the ramp.
func TestTakenBackTargetsServeAgain(t *testing.T) {
	withHarness(t, 5*time.Millisecond, nil, func(h *harness) {
		for _, f := range h.group.targets {
			f.update(func(f *fakeTarget) { f.serviceTime = 10 * time.Millisecond })
		}
		h.evacuate("b", "c")
		h.loadEvacuated(100 * time.Millisecond)
		h.evacuate("c")
		replica := h.group.targets[1]
		before := replica.total()
		_, err := h.serve(h.request(request.KindRead, "SELECT 1", time.Second))
		must.NoError(t, err)
		must.Eq(t, before, replica.total())
		h.loadEvacuated(200 * time.Millisecond)
		early := replica.total() - before
		time.Sleep(5 * time.Second)
		before = replica.total()
		h.loadEvacuated(200 * time.Millisecond)
		must.Between(t, 1, early, replica.total()-before-1)
	})
}

// TestNearbyReadsOfAnEvacuatedDomain checks that a reader refuses the reads of its evacuated domain at once as not run, so
// that the owner serves them, and that it does so a little longer, until the target has returned by degrees.
func TestNearbyReadsOfAnEvacuatedDomain(t *testing.T) {
	withHarness(t, time.Millisecond, func(o *Options) { o.Domain = "b" }, func(h *harness) {
		nearby := func() error {
			req := h.request(request.KindRead, "SELECT 1", time.Second)
			req.Nearby = true
			_, err := h.serve(req)
			return err
		}
		h.evacuate()
		must.NoError(t, nearby())
		h.evacuate("b")
		mustRefuse(t, nearby(), request.CodeNoTarget)
		h.evacuate()
		mustRefuse(t, nearby(), request.CodeNoTarget)
		time.Sleep(evacuate.RampTime)
		must.NoError(t, nearby())
	})
}

// TestEvacuationEndsTransactionsOfFormerTargets guards against a transaction that goes on in an evacuated failure domain
// because its target has left the configuration, alone or with all others, so that nothing polls and time passes unseen.
func TestEvacuationEndsTransactionsOfFormerTargets(t *testing.T) {
	for _, remaining := range []int{2, 0} {
		withHarness(t, 5*time.Millisecond, nil, func(h *harness) {
			h.evacuate()
			primary := h.group.targets[0]
			begin := h.request(request.KindBegin, "BEGIN", time.Second)
			_, err := h.serve(begin)
			must.NoError(t, err)
			config := *h.group.Current()
			config.Groups = []fleet.Group{config.Groups[0]}
			config.Groups[0].Targets = config.Groups[0].Targets[len(config.Groups[0].Targets)-remaining:]
			h.group.config.Store(&config)
			inside := nextRequest(begin, request.KindInTransaction, "SELECT early")
			_, err = h.serve(inside)
			must.NoError(t, err)
			evacuated := config
			evacuated.EvacuatedDomains = []string{"a"}
			h.group.config.Store(&evacuated)
			time.Sleep(4 * time.Second)
			late := nextRequest(inside, request.KindInTransaction, "SELECT late")
			late.Deadline = time.Now().Add(time.Second)
			_, err = h.serve(late)
			mustRefuse(t, err, request.CodeTransactionLost)
			time.Sleep(time.Second)
			must.Zero(t, primary.count("SELECT late")+primary.count("ROLLBACK"))
			_, open := primary.connections()
			must.Zero(t, open)
		})
	}
}
