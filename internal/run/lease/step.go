package lease

import (
	"context"
	"time"

	"crocusyoke/internal/platform"
)

// step acquires, renews or releases the lease. It returns the delay until the next step.
func (k *Keeper) step(ctx context.Context, name string, l *lease) (time.Duration, error) {
	k.mu.Lock()
	row, fence := platform.Row{Version: l.heldVersion, Era: k.era}, l.fence
	renew := l.wanted && l.heldVersion > 0
	k.mu.Unlock()
	if renew {
		return renewInterval, k.claim(ctx, name, l, row, fence)
	}
	return k.readAndStep(ctx, name, l)
}

// invalidate makes the next step read the row, because its current content is unknown.
func (k *Keeper) invalidate(l *lease) {
	k.mu.Lock()
	defer k.mu.Unlock()
	l.heldVersion = 0
}

// claim replaces the row with one that names this node as the holder, which starts a new lease
// period.
func (k *Keeper) claim(ctx context.Context, name string, l *lease, row platform.Row, fence uint64) error {
	sentAt := k.now()
	k.mu.Lock()
	ordered, unknown := l.orderedTerm, l.orderedUnknown
	k.mu.Unlock()
	next := record{
		Holder: k.o.Self, Incarnation: k.o.Incarnation, Fence: fence, RenewedAt: k.latestStoreTime(sentAt),
		OrderedTerm: ordered, TermUnknown: unknown,
	}
	version, err := k.write(ctx, name, row, next)
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	l.expiresAt, l.fence, l.heldVersion = sentAt.Add(TTL), fence, version
	if !sameEra(row.Era, k.era) {
		// The store was restored since: the row of the current era is another one.
		l.heldVersion = 0
	}
	return nil
}

// readAndStep reads the row, then acquires, renews or releases the lease.
func (k *Keeper) readAndStep(ctx context.Context, name string, l *lease) (time.Duration, error) {
	row, current, err := k.read(ctx, name)
	if err != nil {
		return 0, err
	}
	readAt := k.now()
	k.mu.Lock()
	wanted := l.wanted
	held := k.holding(l, row, current, readAt)
	fence := nextFence(row.Era, max(current.Fence, l.fence))
	k.mu.Unlock()
	switch {
	case !wanted && (held == heldHere || held == heldBeforeRestore):
		return renewInterval, k.release(ctx, name, l, row, current)
	case !wanted:
		k.clearHeld(l)
		return renewInterval, nil
	case held == heldElsewhere:
		if isLost(row) {
			k.markEra(ctx, name, row)
		}
		return k.untilNextPoll(l, readAt), nil
	case held == heldHere:
		return renewInterval, k.claim(ctx, name, l, row, current.Fence)
	case held == heldBeforeRestore:
		return renewInterval, k.claim(ctx, name, l, row, fence)
	}
	k.inheritTerm(l, current.OrderedTerm, current.TermUnknown || isLost(row))
	if err := k.claim(ctx, name, l, row, fence); err != nil {
		return 0, err
	}
	_ = k.o.Logger.Log("event", "lease taken", "name", name, "fence", fence, "former", current.Holder, "era", row.Era)
	return renewInterval, nil
}

// release writes a row without a holder. If a restore has lost the row of this node's lease, the
// new one tells what the lost one told.
func (k *Keeper) release(ctx context.Context, name string, l *lease, row platform.Row, current record) error {
	next := record{Fence: current.Fence, OrderedTerm: current.OrderedTerm, TermUnknown: current.TermUnknown}
	if isUnclaimed(row, current) {
		k.mu.Lock()
		next = record{Fence: nextFence(row.Era, l.fence), OrderedTerm: l.orderedTerm, TermUnknown: l.orderedUnknown}
		k.mu.Unlock()
	}
	k.clearHeld(l)
	_, err := k.write(ctx, name, row, next)
	return err
}

// holding tells who holds a lease.
type holding int

const (
	// heldByNobody means that this node may take the lease.
	heldByNobody holding = iota
	// heldElsewhere means that another node holds the lease or may hold it.
	heldElsewhere
	// heldHere means that the row names this process.
	heldHere
	// heldBeforeRestore means that a restore has lost the row of this process, whose lease is still
	// valid.
	heldBeforeRestore
)

// holding returns who holds the lease whose row was read at now. The caller holds k.mu.
func (k *Keeper) holding(l *lease, row platform.Row, current record, now time.Time) holding {
	switch {
	case isUnclaimed(row, current) && now.Before(l.expiresAt):
		return heldBeforeRestore
	case isUnclaimed(row, current) && !k.hasEraLasted(row, current, now):
		return heldElsewhere
	case current.Holder == k.o.Self && current.Incarnation == k.o.Incarnation:
		return heldHere
	case current.Holder == "" || current.Holder == k.o.Self || l.observeExpired(row, current, now):
		return heldByNobody
	default:
		return heldElsewhere
	}
}

// inheritTerm takes over OrderedTerm from a row that another holder, or an earlier process
// of this node, wrote, or notes that it is unknown. A higher term that this process has recorded
// itself is kept.
func (k *Keeper) inheritTerm(l *lease, ordered uint64, unknown bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	l.inheritedTerm = max(l.orderedTerm, ordered)
	l.orderedTerm = l.inheritedTerm
	l.inheritedUnknown, l.orderedUnknown = unknown, unknown
}

// observeExpired records the row of another holder and reports whether its lease has
// expired: by the store's clock, or because the row has been unchanged for longer than a
// lease is valid.
func (l *lease) observeExpired(row platform.Row, current record, now time.Time) bool {
	if row.Version != l.observedVersion || l.observedAt.IsZero() {
		l.observedVersion, l.observedAt = row.Version, now
	}
	expiredByStore := current.RenewedAt > 0 && row.StoreTime-current.RenewedAt > TTL+expiryMargin
	return expiredByStore || now.Sub(l.observedAt) > TTL+expiryMargin
}

// untilNextPoll returns the delay until the next read of a lease that another node holds: the
// time until the lease may have expired, limited to retryInterval through pollInterval.
func (k *Keeper) untilNextPoll(l *lease, now time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return min(pollInterval, max(retryInterval, l.observedAt.Add(TTL+2*expiryMargin).Sub(now)))
}

// clearHeld records that this node no longer holds the lease.
func (k *Keeper) clearHeld(l *lease) {
	k.mu.Lock()
	defer k.mu.Unlock()
	l.expiresAt, l.fence, l.heldVersion = time.Time{}, 0, 0
}
