package evidence

import (
	"testing"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/controller/promotion"
)

const (
	// restoreOdds is the mean number of steps between two restores of the store.
	restoreOdds = 800
	// lostRowWait is how long a lost row is left alone by a node that does not hold the lease.
	lostRowWait = leaseDuration + promotion.HeldMaxPromoteDelay + leaseSlack
)

// writeLostRow reports whether n may write the row that a restore has lost: as the holder of a lease
// that is still valid, or once every former lease and what was called under it has ended.
func (w *heldModel) writeLostRow(n *heldNode) bool {
	isHolder := w.now.Before(n.leaseUntil)
	if !isHolder && w.now.Sub(w.restoredAt) < lostRowWait {
		return false
	}
	w.lastFence++
	n.fence = w.lastFence
	if !isHolder {
		n.readTerm, n.readUnknown = 0, true
	}
	return true
}

// TestReplacedPrimaryConfirmedAfterRestore is TestHeldTermsConfirmNothingReplaced with a store that
// is restored at times and then lacks the row of the lease.
func TestReplacedPrimaryConfirmedAfterRestore(t *testing.T) {
	confirmed, promotions := 0, 0
	for seed := range uint64(modelHistories) {
		w := newHeldModel(t, seed)
		w.restores = true
		for range modelSteps {
			w.step()
		}
		confirmed += w.confirmed
		promotions += len(w.effectiveAt)
	}
	must.Greater(t, modelHistories/4, promotions, must.Sprint("too few promotions took effect for a meaningful check"))
	must.Greater(t, modelHistories, confirmed, must.Sprint("too few answers were confirmed for a meaningful check"))
	t.Logf("%d answers confirmed, %d promotions in effect", confirmed, promotions)
}
