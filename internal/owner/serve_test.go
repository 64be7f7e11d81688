package owner

import (
	"testing"
	"time"

	"crocusyoke/internal/logpos"
	"crocusyoke/internal/request"

	"github.com/shoenig/test/must"
)

func TestWriteIsReadBackFromReplica(t *testing.T) {
	withHarness(t, 5*time.Millisecond, nil, func(h *harness) {
		written, err := h.serve(h.request(request.KindWrite, "INSERT 1", time.Second))
		must.NoError(t, err)
		must.False(t, written.Replica)
		must.Eq(t, logpos.Position{Term: 1, Index: 2}, written.Position)
		read := h.request(request.KindRead, "SELECT 1", time.Second)
		read.MinPosition = written.Position
		answer, err := h.serve(read)
		must.NoError(t, err)
		must.True(t, answer.Replica)
		must.True(t, answer.Position.Covers(written.Position))
	})
}

// TestResponseTimesIncludeConfirmation checks that the time a commit waits for confirmation by
// a majority counts as time at the owner and not at the target.
func TestResponseTimesIncludeConfirmation(t *testing.T) {
	withHarness(t, 50*time.Millisecond, nil, func(h *harness) {
		began := time.Now()
		written, err := h.serve(h.request(request.KindWrite, "INSERT 1", time.Second))
		must.NoError(t, err)
		must.Eq(t, time.Since(began), written.Times.AtOwner)
		must.GreaterEq(t, 40*time.Millisecond, written.Times.AtOwner-written.Times.AtTarget)
		must.Eq(t, 1, written.Times.Exchanges)
	})
}

func TestTransactionStaysOnItsConnection(t *testing.T) {
	withHarness(t, 5*time.Millisecond, nil, func(h *harness) {
		begin := h.request(request.KindBegin, "BEGIN", time.Second)
		answer, err := h.serve(begin)
		must.NoError(t, err)
		must.Eq(t, 'T', answer.TxStatus)
		_, err = h.serve(nextRequest(begin, request.KindInTransaction, "INSERT 1"))
		must.NoError(t, err)
		answer, err = h.serve(nextRequest(begin, request.KindCommit, "COMMIT"))
		must.NoError(t, err)
		must.Eq(t, 'I', answer.TxStatus)
		must.Eq(t, uint64(2), answer.Position.Index)
		_, err = h.serve(nextRequest(begin, request.KindInTransaction, "INSERT 2"))
		mustRefuse(t, err, request.CodeTransactionLost)
	})
}

// TestWriteRunsInAFormerTransaction guards against a single write that is acknowledged inside a
// transaction which its session has given up, and is rolled back with it.
func TestWriteRunsInAFormerTransaction(t *testing.T) {
	withHarness(t, 5*time.Millisecond, nil, func(h *harness) {
		begin := h.request(request.KindBegin, "BEGIN", time.Second)
		_, err := h.serve(begin)
		must.NoError(t, err)
		_, err = h.serve(nextRequest(begin, request.KindInTransaction, "INSERT old"))
		must.NoError(t, err)
		answer, err := h.serve(nextRequest(begin, request.KindWrite, "INSERT new"))
		must.NoError(t, err)
		must.Eq(t, 'I', rune(answer.TxStatus))
		must.Eq(t, 1, h.group.targets[0].count("ROLLBACK"))
		_, err = h.serve(nextRequest(begin, request.KindCommit, "COMMIT"))
		mustRefuse(t, err, request.CodeTransactionLost)
	})
}

// TestOwnerBehindDeniesAnAddedGroup checks that an owner whose configuration is older than the one under
// which a request was admitted does not answer that the service is unknown, and that one whose is not
// does.
func TestOwnerBehindDeniesAnAddedGroup(t *testing.T) {
	withHarness(t, 5*time.Millisecond, nil, func(h *harness) {
		req := h.request(request.KindWrite, "INSERT 1", 100*time.Millisecond)
		req.Group = "added"
		version := h.group.Current().Version
		req.ConfigVersion = version + 1
		_, err := h.serve(req)
		mustRefuse(t, err, request.CodeStaleConfig)
		req.ConfigVersion = version
		_, err = h.serve(req)
		mustRefuse(t, err, request.CodeUnknownService)
	})
}
