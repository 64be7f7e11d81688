package change

import (
	"context"

	"crocusyoke/internal/controller/configuration"
	"crocusyoke/internal/status"
)

// firstEra is the era of a store that was never restored.
const firstEra = 1

// next returns the version that replaces s.
func (s State) next() uint64 {
	if s.isRestored() || s.mayBeLost() {
		return configuration.VersionAfterRestore(s.Version, s.row.Era)
	}
	return s.Version + 1
}

// mayBeLost reports whether the store has no configuration but was restored, so that there may have been one.
func (s State) mayBeLost() bool { return s.Version == 0 && s.row.Era > firstEra }

// read returns the newest configuration. If the store was restored, it waits for up to WriteTimeout until a node
// has written the newest one back. If none has, the store's is the newest one if no node of a majority has a
// newer one in force; otherwise read fails with platform.ErrOutage.
func (w *Writer) read(ctx context.Context) (State, error) {
	deadline := w.Clock.Now().Add(WriteTimeout)
	for {
		state, err := readNewest(ctx, w.Platform, w.Deployment)
		if err != nil || !w.awaitsWriteBack(ctx, state) {
			return state, err
		}
		if w.Clock.Now().After(deadline) {
			return state, w.confirmNewest(ctx, state)
		}
		if err := w.Clock.Sleep(ctx, RetryInterval); err != nil {
			return state, err
		}
	}
}

// awaitsWriteBack reports whether a node is to be expected to write back a configuration that replaces state.
func (w *Writer) awaitsWriteBack(ctx context.Context, state State) bool {
	if state.mayBeLost() {
		_, newest := w.pollVersions(ctx)
		return newest > 0
	}
	return state.isRestored()
}

// confirmNewest returns nil if a majority of the listed nodes answer and none has a version above that of state.
func (w *Writer) confirmNewest(ctx context.Context, state State) error {
	majority, newest := w.pollVersions(ctx)
	if !majority || newest > state.Version {
		return errRestored(state.Version)
	}
	return nil
}

// pollVersions returns the highest version in force at a listed node, and whether a majority of these nodes answered.
// Without Peers, no node answers.
func (w *Writer) pollVersions(ctx context.Context) (majority bool, newest uint64) {
	if w.Peers == nil {
		return false, 0
	}
	vms, err := w.Platform.ListVMs(ctx)
	if err != nil {
		return false, 0
	}
	answered := 0
	for _, r := range PollStatus(ctx, w.Peers, vms, status.Request{Brief: true}) {
		if r.Err == nil {
			answered++
			newest = max(newest, r.Report.ConfigVersion)
		}
	}
	return answered > len(vms)/2, newest
}
