package route

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/logpos"
	"crocusyoke/internal/request"
)

// fakeReaders has one reader for every group.
type fakeReaders struct {
	address  string
	declined int
}

func (r *fakeReaders) Reader(string) (string, bool, bool) { return r.address, false, r.address != "" }

func (r *fakeReaders) Declined(string) { r.declined++ }

func newFleetWithReader() (*Filter, *fakeFleet, *fakeReaders) {
	f, fleet := newFakeFleet()
	readers := &fakeReaders{address: "b"}
	f.Readers = readers
	return f, fleet, readers
}

func sendTo(f *Filter, kind request.Kind, reads fleet.Reads) error {
	_, err := f.Serve(context.Background(), &request.Request{
		ID: request.ID{Session: "s"}, Kind: kind, Profile: fleet.Profile{Reads: reads}, MinPositionKnown: true,
	})
	return err
}

// TestReadsGoToTheReader checks that only reads which a replica may serve go to the reader.
func TestReadsGoToTheReader(t *testing.T) {
	f, fleetNodes, _ := newFleetWithReader()
	must.NoError(t, sendTo(f, request.KindRead, fleet.ReadsAge))
	must.Eq(t, 1, fleetNodes.nodes["b"].served)
	must.True(t, fleetNodes.nodes["b"].nearby)
	must.NoError(t, sendTo(f, request.KindWrite, fleet.ReadsAge))
	must.NoError(t, sendTo(f, request.KindRead, fleet.ReadsPrimary))
	must.NoError(t, send(f, request.KindRead))
	must.Eq(t, 1, fleetNodes.nodes["b"].served)
	must.Eq(t, 3, fleetNodes.nodes["a"].served)
	f.End("s")
	must.Eq(t, 1, fleetNodes.nodes["b"].ended)
	must.Eq(t, 1, fleetNodes.nodes["a"].ended)
}

// TestReadThatTheReaderDeclinesIsServed checks that the owner serves at once what the reader did not, and which
// refusals say that the reader has no replica.
func TestReadThatTheReaderDeclinesIsServed(t *testing.T) {
	for _, c := range []struct {
		code     request.Code
		declined int
	}{
		{request.CodeNoTarget, 1},
		{request.CodeNoOwner, 1},
		{request.CodeOverloaded, 0},
		{request.CodeOutcomeUnknown, 0},
	} {
		f, fleetNodes, readers := newFleetWithReader()
		fleetNodes.nodes["b"].err = request.Refuse(c.code, "choose", "b", "refused")
		for _, kind := range []request.Kind{request.KindRead, request.KindBeginRead} {
			must.NoError(t, sendTo(f, kind, fleet.ReadsAge), must.Sprint(c.code.Name))
		}
		must.Eq(t, 2, fleetNodes.nodes["a"].served)
		must.False(t, fleetNodes.nodes["a"].nearby)
		must.Eq(t, c.code == request.CodeNoOwner, len(fleetNodes.doubted) > 0)
		must.Eq(t, c.declined, min(readers.declined, 1), must.Sprint(c.code.Name))
	}
	f, fleetNodes, _ := newFleetWithReader()
	fleetNodes.nodes["b"].err = request.Refuse(request.CodeTimeout, "schedule", "b", "too late")
	must.Eq(t, request.CodeTimeout, codeOf(sendTo(f, request.KindRead, fleet.ReadsAge)))
}

// TestReadTransactionStaysWithItsReader guards against statements of a read-only transaction that reach another
// node than the one that holds it, and against requests that run in one that was given up.
func TestReadTransactionStaysWithItsReader(t *testing.T) {
	f, fleetNodes, readers := newFleetWithReader()
	must.NoError(t, sendTo(f, request.KindBegin, fleet.ReadsAge))
	must.NoError(t, sendTo(f, request.KindCommit, fleet.ReadsAge))
	must.Eq(t, 2, fleetNodes.nodes["a"].served)
	fleetNodes.nodes["b"].opens = true
	must.NoError(t, sendTo(f, request.KindBeginRead, fleet.ReadsAge))
	readers.address = ""
	must.NoError(t, sendTo(f, request.KindInTransaction, fleet.ReadsAge))
	must.Eq(t, 2, fleetNodes.nodes["b"].served)
	must.NoError(t, sendTo(f, request.KindRead, fleet.ReadsAge))
	must.Eq(t, 1, fleetNodes.nodes["b"].ended)
	must.Eq(t, 3, fleetNodes.nodes["a"].served)
}

// TestLostReaderLosesItsTransactions checks what a caller is told of a statement whose reader is lost.
func TestLostReaderLosesItsTransactions(t *testing.T) {
	f, fleetNodes, _ := newFleetWithReader()
	fleetNodes.nodes["b"].opens = true
	must.NoError(t, sendTo(f, request.KindBeginRead, fleet.ReadsAge))
	fleetNodes.nodes["b"].err = request.Refuse(request.CodeOutcomeUnknown, "peer", "b", "stream lost")
	must.Eq(t, request.CodeTransactionLost, codeOf(sendTo(f, request.KindInTransaction, fleet.ReadsAge)))
	must.Eq(t, 1, fleetNodes.nodes["b"].ended)
	must.Eq(t, 0, fleetNodes.nodes["a"].served)
}

// TestReadAfterAGivenUpTransaction checks that a read of a session whose owner still holds its transaction goes
// there, so that the transaction ends.
func TestReadAfterAGivenUpTransaction(t *testing.T) {
	f, fleetNodes, _ := newFleetWithReader()
	must.NoError(t, sendTo(f, request.KindBegin, fleet.ReadsAge))
	must.NoError(t, sendTo(f, request.KindRead, fleet.ReadsAge))
	must.Eq(t, 1, fleetNodes.nodes["a"].ended)
	must.Eq(t, 0, fleetNodes.nodes["b"].served)
}

// TestBeginningWithoutAnAnswerEndsTheLink guards against a read-only transaction that stays open at the reader, and gets
// the session's later reads, because its beginning was not answered and the owner has begun another one.
func TestBeginningWithoutAnAnswerEndsTheLink(t *testing.T) {
	f, fleetNodes, _ := newFleetWithReader()
	fleetNodes.nodes["b"].err = request.Refuse(request.CodeOutcomeUnknown, "peer", "b", "stream lost")
	fleetNodes.nodes["a"].opens = true
	must.NoError(t, sendTo(f, request.KindBeginRead, fleet.ReadsAge))
	must.Eq(t, 1, fleetNodes.nodes["b"].ended)
	must.NoError(t, sendTo(f, request.KindInTransaction, fleet.ReadsAge))
	must.Eq(t, 2, fleetNodes.nodes["a"].served)
	must.Eq(t, 1, fleetNodes.nodes["b"].served)
}

// TestReadsFollowTheReader checks that a session's reads go to the present reader, and what they tell of it.
func TestReadsFollowTheReader(t *testing.T) {
	f, fleetNodes, readers := newFleetWithReader()
	must.NoError(t, sendTo(f, request.KindRead, fleet.ReadsAge))
	readers.address = "a"
	must.NoError(t, sendTo(f, request.KindRead, fleet.ReadsAge))
	must.Eq(t, 1, fleetNodes.nodes["b"].served)
	must.Eq(t, 1, fleetNodes.nodes["b"].ended)
	must.True(t, fleetNodes.nodes["a"].nearby)
	readers.address = "b"
	fleetNodes.nodes["b"].err = request.Refuse(request.CodeNoTarget, "choose", "b", "behind the session's position")
	behind := &request.Request{
		ID: request.ID{Session: "s"}, Kind: request.KindRead, Profile: fleet.Profile{Reads: fleet.ReadsAge},
		MinPosition: logpos.Position{Term: 1, Index: 7}, MinPositionKnown: true,
	}
	_, err := f.Serve(t.Context(), behind)
	must.NoError(t, err)
	must.Eq(t, 0, readers.declined)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = f.Serve(ended, behind)
	must.Eq(t, request.CodeNoTarget, codeOf(err))
}
