package owner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/request"
)

const (
	// answerWithin is how long after its deadline or its cancellation a request has its answer at the
	// latest: the wait for a cancelled statement, and a margin for what comes after it.
	answerWithin = DefaultCancelWait + 50*time.Millisecond
	// disturbedRuns is the number of runs of TestEveryRequestIsAnswered.
	disturbedRuns = 60
)

// disturbedRun is a run in which many sessions use a group while it is disturbed.
type disturbedRun struct {
	*harness
	random *rand.Rand
	// stopped ends when the entry node of every other session cancels what still runs.
	stopped context.Context
	stop    context.CancelFunc
	mu      sync.Mutex
	wrong   []string
	done    int
}

// TestEveryRequestIsAnswered guards against a request that is left without an answer or refusal, or told
// not to have run although it did, while the target's slots and connections are used up, the primary is
// replaced, answers are held for want of a majority, entry nodes cancel what they wait for, and the
// group is released.
func TestEveryRequestIsAnswered(t *testing.T) {
	done := 0
	for seed := range uint64(disturbedRuns) {
		withHeldTerms := func(o *Options) { o.HeldTerms, o.FailFastWithoutPrimary = seed%2 == 0, seed%2 == 0 }
		withHarness(t, 5*time.Millisecond, withHeldTerms, func(h *harness) {
			r := &disturbedRun{harness: h, random: rand.New(rand.NewPCG(seed, 1))}
			r.stopped, r.stop = context.WithCancel(context.Background())
			defer r.stop()
			var sessions sync.WaitGroup
			for i := range 60 {
				random := rand.New(rand.NewPCG(seed, 2+uint64(i)))
				sessions.Go(func() { r.runSession(random, i%2 == 0) })
			}
			events := r.disturb()
			sessions.Wait()
			must.SliceEmpty(t, r.wrong, must.Sprint("seed ", seed, " events ", events))
			done += r.done
		})
	}
	must.Greater(t, 100*disturbedRuns, done)
}

// disturb carries out three events and returns their names.
func (r *disturbedRun) disturb() []string {
	old := r.group.targets[0]
	events := map[string]func(){
		"primary replaced": func() {
			r.group.promote(1, 2)
		},
		"primary silent": func() {
			old.update(func(f *fakeTarget) { f.unresponsive = true })
		},
		"answers held": func() {
			for _, f := range r.group.targets[1:] {
				f.update(func(f *fakeTarget) { f.following = nil })
			}
		},
		"connections refused": func() {
			old.update(func(f *fakeTarget) { f.openLimit = 3 })
		},
		"entry stops": r.stop,
		"owner stops": func() { r.release(300 * time.Millisecond) },
		"group moves": func() { r.release(5 * time.Second) },
	}
	names := []string{"primary replaced", "primary silent", "answers held", "connections refused", "entry stops", "owner stops", "group moves"}
	r.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names[:3] {
		time.Sleep(time.Duration(r.random.IntN(400)) * time.Millisecond)
		events[name]()
	}
	return names[:3]
}

func (r *disturbedRun) release(limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	go func() {
		defer cancel()
		_ = r.manager.Release(ctx, "ledger")
	}()
}

// runSession runs operations for a second. Its entry node stops if withStop is set.
func (r *disturbedRun) runSession(random *rand.Rand, withStop bool) {
	for end := time.Now().Add(time.Second); time.Now().Before(end); {
		ctx := context.Background()
		if withStop {
			ctx = r.stopped
		}
		if random.IntN(3) > 0 {
			r.single(ctx, random)
		} else {
			r.transaction(ctx, random)
		}
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	}
}

// single runs one statement outside a transaction.
func (r *disturbedRun) single(ctx context.Context, random *rand.Rand) {
	kind, text := request.KindRead, "SELECT"
	if random.IntN(2) == 0 {
		kind, text = request.KindWrite, "INSERT"
	}
	text = fmt.Sprintf("%s %d", text, random.Uint64())
	refusal := r.serveInTime(ctx, r.harness.request(kind, text, time.Second))
	if kind != request.KindWrite {
		return
	}
	runs := 0
	for _, f := range r.group.targets {
		runs += f.count(text)
	}
	if refusal != nil && refusal.Code.Fate == request.NotRun && refusal.Code != request.CodeReplicaWrite && runs > 0 {
		r.report("%s ran and was refused as not run: %v", text, refusal)
	}
	if runs > 1 {
		r.report("%s ran %d times", text, runs)
	}
}

func (r *disturbedRun) transaction(ctx context.Context, random *rand.Rand) {
	req := r.harness.request(request.KindBegin, "BEGIN", time.Second)
	if r.serveInTime(ctx, req) != nil {
		return
	}
	for range random.IntN(6) {
		time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
		req = nextRequest(req, request.KindInTransaction, fmt.Sprintf("INSERT %d", random.Uint64()))
		req.Deadline = time.Now().Add(time.Second)
		if r.serveInTime(ctx, req) != nil {
			r.manager.End(req.ID.Session)
			return
		}
	}
	req = nextRequest(req, request.KindCommit, "COMMIT")
	req.Deadline = time.Now().Add(time.Second)
	_ = r.serveInTime(ctx, req)
}

// serveInTime serves req and reports if that took longer than it may.
func (r *disturbedRun) serveInTime(ctx context.Context, req *request.Request) *request.Refusal {
	latest := req.Deadline.Add(answerWithin)
	var canceledAt time.Time
	defer context.AfterFunc(ctx, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		canceledAt = time.Now()
	})()
	response, err := r.manager.Serve(ctx, req)
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !canceledAt.IsZero() && canceledAt.Add(answerWithin).Before(latest) {
		latest = canceledAt.Add(answerWithin)
	}
	if now.After(latest) {
		r.wrong = append(r.wrong, fmt.Sprintf("%s of %s was answered %v after its time: %v", req.Kind, req.ID.Session, now.Sub(latest), err))
	}
	if err != nil {
		return request.AsRefusal(err)
	}
	if response.TxStatus == 0 {
		r.wrong = append(r.wrong, fmt.Sprintf("%s of %s has an answer without a state", req.Kind, req.ID.Session))
	}
	r.done++
	return nil
}

func (r *disturbedRun) report(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wrong = append(r.wrong, fmt.Sprintf(format, args...))
}
