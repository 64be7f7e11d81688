package route

import (
	"testing"

	"github.com/shoenig/test/must"

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
