package route

import (
	"testing"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/region"
	"crocusyoke/internal/request"
)

// TestTransactionLeavesItsHomes guards against a statement that is sent to the transaction's owner after a change of the
// homes, in which that owner is not.
func TestTransactionLeavesItsHomes(t *testing.T) {
	f, fleet := newFakeFleet()
	serve := func(kind request.Kind, homes region.Set) request.Code {
		_, err := f.Serve(t.Context(), &request.Request{ID: request.ID{Session: "s"}, Kind: kind, HomeRegions: homes})
		if err == nil {
			return request.Code{}
		}
		return codeOf(err)
	}
	must.Eq(t, request.Code{}, serve(request.KindBegin, region.Any))
	must.Eq(t, request.Code{}, serve(request.KindInTransaction, region.NewSet([]string{"a", "b"})))
	for _, homes := range []region.Set{region.NewSet([]string{"b"}), region.None} {
		must.Eq(t, request.Code{}, serve(request.KindBegin, region.Any))
		served, ended := fleet.nodes["a"].served, fleet.nodes["a"].ended
		must.Eq(t, request.CodeTransactionLost, serve(request.KindInTransaction, homes))
		must.Eq(t, served, fleet.nodes["a"].served)
		must.Eq(t, ended+1, fleet.nodes["a"].ended)
	}
}

// TestReaderOutsideOfTheHomesIsPassedOver guards against reads that are sent to a reader outside of their homes, also
// those of a transaction whose homes have changed.
func TestReaderOutsideOfTheHomesIsPassedOver(t *testing.T) {
	f, nodes, readers := newFleetWithReader()
	serve := func(kind request.Kind, homes ...string) error {
		_, err := f.Serve(t.Context(), &request.Request{
			ID: request.ID{Session: "s"}, Kind: kind, Profile: fleet.Profile{Reads: fleet.ReadsAge}, MinPositionKnown: true,
			HomeRegions: region.NewSet(homes),
		})
		return err
	}
	must.NoError(t, serve(request.KindRead, "a"))
	must.Eq(t, 0, nodes.nodes["b"].served)
	must.NoError(t, serve(request.KindRead, "a", "b"))
	must.Eq(t, 1, nodes.nodes["b"].served)
	must.NoError(t, serve(request.KindBegin, "a", "b"))
	f.End("s")
	link := f.newLink("b", false)
	link.inTransaction = true
	f.readerLinks.Store("s", link)
	must.Eq(t, request.CodeTransactionLost, codeOf(serve(request.KindInTransaction, "a")))
	must.Eq(t, 1, nodes.nodes["b"].served)
	must.Eq(t, 0, readers.declined)
}
