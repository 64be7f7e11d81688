package lease

import (
	"context"
	"strconv"
	"time"

	"crocusyoke/internal/platform"
)

const (
	// firstEra is the era of a store that was never restored.
	firstEra = 1
	// eraFenceShift is the position, in bits, of the era in a fence, above the number within the era.
	eraFenceShift = 32
)

// sameEra reports whether a lease has the same row in two eras. An era is 0 if it is not known yet
// or if the store states none.
func sameEra(a, b uint64) bool { return max(a, firstEra) == max(b, firstEra) }

// rowKey returns the key of a lease's row in an era of the store.
func rowKey(name string, era uint64) string {
	if era <= firstEra {
		return platform.JoinKey(keyRoot, name)
	}
	return platform.JoinKey(keyRoot, strconv.FormatUint(era, 10), name)
}

// nextFence returns the fence of a new holder in era, which is higher than former and than every
// fence of an earlier era.
func nextFence(era, former uint64) uint64 {
	if era <= firstEra {
		return former + 1
	}
	return max(former, era<<eraFenceShift) + 1
}

// isLost reports whether a lease has no row in an era that a restore began, so that the restore may
// have lost a row.
func isLost(row platform.Row) bool { return row.Version == 0 && row.Era > firstEra }

// isUnclaimed reports whether nobody has held the lease since a restore that may have lost its row.
func isUnclaimed(row platform.Row, current record) bool { return isLost(row) || current.EraSeenAt > 0 }

// hasEraLasted reports whether the era of a row that was read at now has lasted for RestoreWait. The caller
// holds k.mu.
func (k *Keeper) hasEraLasted(row platform.Row, current record, now time.Time) bool {
	byStore := current.EraSeenAt > 0 && row.StoreTime-current.EraSeenAt >= k.o.RestoreWait
	return byStore || now.Sub(k.eraSince) >= k.o.RestoreWait
}

// markEra writes a row for a lease that has none in the current era, so that processes that start later need
// not wait for as long as this one. Without the row they wait for themselves, so a failure is only logged.
func (k *Keeper) markEra(ctx context.Context, name string, row platform.Row) {
	seenAt := k.latestStoreTime(k.now())
	if seenAt == 0 {
		return
	}
	_, err := k.write(ctx, name, row, record{EraSeenAt: seenAt, TermUnknown: true})
	_ = k.o.Logger.Log("event", "lease unclaimed", "name", name, "era", row.Era, "err", err)
}

// ObserveEra is called with the era of each response of the store, also of calls of others. In a
// new era the row of every lease has to be read again. Calls from before a restore are ended: their
// answers, which may never come, say nothing about the new era.
func (k *Keeper) ObserveEra(era uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if era <= k.era {
		return
	}
	restored := !sameEra(era, k.era)
	k.era, k.eraSince = era, k.now()
	k.storeTime = 0
	for _, l := range k.leases {
		l.heldVersion = 0
		l.observedVersion = 0
		l.nextCallAt = k.eraSince
		if restored && l.endCalls != nil {
			l.endCalls()
		}
	}
}

// stepInEra is step, but ends with errOtherEra as soon as the store is known to have been restored.
func (k *Keeper) stepInEra(ctx context.Context, name string, l *lease) (time.Duration, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	k.mu.Lock()
	era := k.era
	l.endCalls = cancel
	k.mu.Unlock()
	next, err := k.step(ctx, name, l)
	if err != nil && !errOtherEra.Has(err) && !sameEra(era, k.currentEra()) {
		err = errOtherEra.Wrap(err)
	}
	return next, err
}

func (k *Keeper) currentEra() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.era
}

// checkEra records the era of an answer and returns an error if it is not the expected one: a row
// of that era says nothing about the current one.
func (k *Keeper) checkEra(expected, answered uint64) error {
	k.ObserveEra(answered)
	if !sameEra(answered, expected) || !sameEra(answered, k.currentEra()) {
		return errOtherEra.New("expected era %d, the store answered in era %d", expected, answered)
	}
	return nil
}
