package owner

import (
	"bytes"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"crocusyoke/internal/request"
)

// TestUrgentBeforeCrowd: bulk writes of many customers that would take 4 times their timeout wait for a primary. Urgent
// ones that come meanwhile are answered after one statement; the bulk that does not fit is refused as not run and shed,
// with times to come back of their own, which the counters and one log line show.
func TestUrgentBeforeCrowd(t *testing.T) {
	const bulk, urgent, service, timeout = 400, 20, 10 * time.Millisecond, 200 * time.Millisecond
	var out bytes.Buffer
	options := func(o *Options) { o.Priorities, o.Logger = true, log.NewLogfmtLogger(log.NewSyncWriter(&out)) }
	withHarness(t, time.Millisecond, options, func(h *harness) {
		for _, f := range h.group.targets {
			f.update(func(f *fakeTarget) { f.serviceTime = service })
		}
		var mu sync.Mutex
		var returns []time.Duration
		var slowest time.Duration
		var callers sync.WaitGroup
		for i := range bulk {
			req := h.request(request.KindWrite, "INSERT bulk", timeout)
			req.Customer, req.Priority = fmt.Sprint("c", i%7), 2*request.PriorityStep
			callers.Go(func() {
				if _, err := h.serve(req); err != nil {
					refusal := request.AsRefusal(err)
					if refusal.Code != request.CodeOverloaded {
						return
					}
					mu.Lock()
					defer mu.Unlock()
					returns = append(returns, refusal.RetryAfter)
				}
			})
		}
		for range urgent {
			time.Sleep(2 * time.Millisecond)
			req := h.request(request.KindWrite, "INSERT urgent", timeout)
			callers.Go(func() {
				began := time.Now()
				_, err := h.serve(req)
				must.NoError(t, err)
				mu.Lock()
				defer mu.Unlock()
				slowest = max(slowest, time.Since(began))
			})
		}
		callers.Wait()
		must.LessEq(t, 5*service, slowest)
		must.Greater(t, bulk/2, len(returns))
		slices.Sort(returns)
		must.Positive(t, returns[0])
		must.Greater(t, len(returns)/2, len(slices.Compact(returns)), must.Sprint("callers come back together"))
		must.Eq(t, fmt.Sprint(urgent), h.manager.counts.urgency.served.Get("0").String())
		must.Positive(t, len(h.manager.counts.urgency.shed.String())-len("{}"))
		must.Eq(t, 1, bytes.Count(out.Bytes(), []byte("event=shed ")))
	})
}

// TestReturnFromGapInOrder: requests that are refused while there is no primary come back each at a time of its own, the
// urgent ones first.
func TestReturnFromGapInOrder(t *testing.T) {
	withHarness(t, time.Millisecond, func(o *Options) { o.Priorities = true }, func(h *harness) {
		g := h.manager.groups["ledger"]
		g.mu.Lock()
		defer g.mu.Unlock()
		now := g.now()
		last := time.Duration(0)
		for _, priority := range []int{0, 0, 0, 1000, 1000, 2000} {
			req := h.request(request.KindWrite, "INSERT", time.Second)
			req.Priority = priority
			wait := g.returnAfter(now, req, 100*time.Millisecond)
			must.Greater(t, last, wait)
			last = wait
		}
		must.Eq(t, 0, g.returnAfter(now, h.request(request.KindWrite, "INSERT", time.Second), 0))
	})
}

// TestSlotIsFreeWhileConnectionOpens: requests of as many customers as there are slots wait until their connections are
// open. Another request runs meanwhile, and they run as soon as they can.
func TestSlotIsFreeWhileConnectionOpens(t *testing.T) {
	const opening = 12 * time.Millisecond // of fakeGroup
	perCustomer := func(o *Options) { o.Priorities, o.Dialer = true, customersDialer{o.Dialer.(pollableGroup)} }
	withHarness(t, time.Millisecond, perCustomer, func(h *harness) {
		primary := h.group.targets[0]
		primary.update(func(f *fakeTarget) { f.serviceTime = time.Millisecond })
		_, err := h.serve(h.request(request.KindWrite, "INSERT first", time.Second))
		must.NoError(t, err)
		var callers sync.WaitGroup
		began := time.Now()
		for i := range fakeSlots {
			req := h.request(request.KindWrite, "INSERT new", time.Second)
			req.Customer = fmt.Sprint("new", i)
			callers.Go(func() {
				_, err := h.serve(req)
				must.NoError(t, err)
			})
		}
		time.Sleep(time.Millisecond)
		_, err = h.serve(h.request(request.KindWrite, "INSERT meanwhile", time.Second))
		must.NoError(t, err)
		must.Less(t, opening/2, time.Since(began))
		callers.Wait()
		must.Less(t, 2*opening, time.Since(began))
	})
}

// TestOpenedConnectionIsKept: a request whose time runs out while it waits for its slot again returns the connection
// that was opened for it.
func TestOpenedConnectionIsKept(t *testing.T) {
	perCustomer := func(o *Options) { o.Priorities, o.Dialer = true, customersDialer{o.Dialer.(pollableGroup)} }
	withHarness(t, time.Millisecond, perCustomer, func(h *harness) {
		h.group.targets[0].update(func(f *fakeTarget) { f.serviceTime = 100 * time.Millisecond })
		var callers sync.WaitGroup
		serve := func(n int, customer string, timeout time.Duration) {
			for range n {
				req := h.request(request.KindWrite, "INSERT", timeout)
				req.Customer = customer
				callers.Go(func() { _, _ = h.serve(req) })
			}
		}
		serve(fakeSlots, "ravi", time.Second)
		callers.Wait()
		serve(1, "new", 50*time.Millisecond)
		time.Sleep(time.Millisecond)
		serve(fakeSlots, "ravi", time.Second)
		callers.Wait()
		m := h.manager.groups["ledger"].members[0]
		must.Eq(t, m.pool.Stats().Open, m.pool.Stats().Idle)
		must.Eq(t, fakeSlots+1, m.pool.Stats().Open)
	})
}

// TestReadyStatementsGetSlots guards against slots that are all held by statements which wait for connections, while
// these are all held by statements that wait for slots: as many connections as slots, and twice as many customers.
func TestReadyStatementsGetSlots(t *testing.T) {
	perCustomer := func(o *Options) { o.Priorities, o.Dialer = true, customersDialer{o.Dialer.(pollableGroup)} }
	withHarness(t, time.Millisecond, perCustomer, func(h *harness) {
		h.group.targets[0].update(func(f *fakeTarget) { f.serviceTime = time.Millisecond })
		_, err := h.serve(h.request(request.KindWrite, "INSERT first", time.Second))
		must.NoError(t, err)
		h.manager.groups["ledger"].members[0].pool.SetLimit(fakeSlots)
		var callers sync.WaitGroup
		began := time.Now()
		for i := range 2 * fakeSlots {
			req := h.request(request.KindWrite, "INSERT", time.Second)
			req.Customer = fmt.Sprint("new", i)
			callers.Go(func() {
				_, err := h.serve(req)
				must.NoError(t, err)
			})
		}
		callers.Wait()
		must.Less(t, connectTimeout/2, time.Since(began))
	})
}
