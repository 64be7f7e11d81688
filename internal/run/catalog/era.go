package catalog

import (
	"context"

	"github.com/zeebo/errs"

	"crocusyoke/internal/platform"
)

// errLateAnswer means that the store has answered in an earlier era than the latest one observed.
var errLateAnswer = errs.Class("late answer")

// sourceStore is the source of what a response of the store has stated, as opposed to a peer's address.
const sourceStore = "store"

// ObserveEra is called with the era of a response of the store, or with the one that a peer has
// told. If it is later than all before, the tables that were followed in an earlier era have to be
// read again, and the calls that follow them are ended: the store may never answer them, since it
// assigns versions again. source names where the era was observed.
func (r *Runner) ObserveEra(era uint64, source string) {
	r.mu.Lock()
	if era <= r.era {
		r.mu.Unlock()
		return
	}
	former := r.era
	r.era = era
	r.mu.Unlock()
	r.endCallsUnderWay()
	_ = r.o.Logger.Log("event", "store era", "era", era, "former", former, "source", source)
}

// endCallsUnderWay ends all calls that follow the tables, because the store may never answer them.
func (r *Runner) endCallsUnderWay() {
	r.mu.Lock()
	end := r.endCalls
	r.callsContext, r.endCalls = context.WithCancel(context.Background())
	r.mu.Unlock()
	end()
}

// startCall returns a context for a call about t, which ends with ctx or by endCallsUnderWay, and
// whether t was followed in an earlier era than the latest one observed before. The caller must call
// release.
func (r *Runner) startCall(ctx context.Context, t *table) (call context.Context, release func(), outdated bool) {
	r.mu.Lock()
	calls := r.callsContext
	outdated = t.isKnown() && t.followed.Era < r.era
	r.mu.Unlock()
	call, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(calls, cancel)
	return call, func() {
		stop()
		cancel()
	}, outdated
}

// isLate reports whether an answer at revision is from an earlier era than the latest one observed.
func (r *Runner) isLate(revision platform.Revision) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return revision.Era < r.era
}
