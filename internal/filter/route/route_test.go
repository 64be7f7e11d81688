package route

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/region"
	"crocusyoke/internal/request"
)

// fakeNode is an owner that opens and ends transactions.
type fakeNode struct {
	served, ended int
	err           error
	// opens is true if a read-only transaction is opened here too.
	opens bool
	// nearby is Nearby of the last request.
	nearby bool
}

func (n *fakeNode) Serve(_ context.Context, req *request.Request) (*request.Response, error) {
	n.served++
	n.nearby = req.Nearby
	if n.err != nil {
		return nil, n.err
	}
	tx := byte('I')
	if req.Kind == request.KindBegin || n.opens && req.Kind == request.KindBeginRead || req.Kind == request.KindInTransaction {
		tx = 'T'
	}
	return &request.Response{ID: req.ID, TxStatus: tx}, nil
}

func (n *fakeNode) End(string) { n.ended++ }

// fakeFleet is a fleet of nodes whose owner moves.
type fakeFleet struct {
	nodes   map[string]*fakeNode
	owner   string
	doubted []string
}

func (f *fakeFleet) Open(address string) request.Handler { return f.nodes[address] }

func (f *fakeFleet) Owner(string, region.Set) (string, bool, bool) {
	return f.owner, f.owner == "self", f.owner != ""
}

// Allows implements Owners: the regions have the nodes' names.
func (f *fakeFleet) Allows(address string, homes region.Set) bool {
	return region.Map{address: address}.Allows(homes, address)
}

func (f *fakeFleet) Doubt(address string) { f.doubted = append(f.doubted, address) }

func newFakeFleet() (*Filter, *fakeFleet) {
	f := &fakeFleet{nodes: map[string]*fakeNode{"self": {}, "a": {}, "b": {}}, owner: "a"}
	return New(f.nodes["self"], f, f), f
}

func send(f *Filter, kind request.Kind) error {
	_, err := f.Serve(context.Background(), &request.Request{ID: request.ID{Session: "s"}, Kind: kind})
	return err
}

func codeOf(err error) request.Code { return request.AsRefusal(err).Code }

func TestTransactionStaysWithItsOwner(t *testing.T) {
	f, fleet := newFakeFleet()
	must.NoError(t, send(f, request.KindBegin))
	fleet.owner = "b"
	must.NoError(t, send(f, request.KindInTransaction))
	must.NoError(t, send(f, request.KindCommit))
	must.Eq(t, 3, fleet.nodes["a"].served)
	must.NoError(t, send(f, request.KindRead))
	must.Eq(t, 1, fleet.nodes["b"].served)
	must.Eq(t, 1, fleet.nodes["a"].ended)
	fleet.owner = ""
	must.Eq(t, request.CodeNoOwner, codeOf(send(f, request.KindWrite)))
	f.End("s")
	must.Eq(t, 1, fleet.nodes["b"].ended)
}

func TestLostOwner(t *testing.T) {
	outcomeUnknown := request.Refuse(request.CodeOutcomeUnknown, "peer", "a", "stream lost")
	notSent := request.Refuse(request.CodeNoOwner, "peer", "a", "not sent")
	for _, c := range []struct {
		begun bool
		kind  request.Kind
		err   error
		want  request.Code
	}{
		{true, request.KindInTransaction, outcomeUnknown, request.CodeTransactionLost},
		{true, request.KindInTransaction, notSent, request.CodeTransactionLost},
		{true, request.KindCommit, outcomeUnknown, request.CodeOutcomeUnknown},
		{true, request.KindCommit, notSent, request.CodeTransactionLost},
		{true, request.KindRollback, outcomeUnknown, request.CodeTransactionLost},
		{false, request.KindBegin, outcomeUnknown, request.CodeTransactionLost},
		{false, request.KindWrite, outcomeUnknown, request.CodeOutcomeUnknown},
		{false, request.KindWrite, notSent, request.CodeNoOwner},
		{false, request.KindRead, outcomeUnknown, request.CodeOutcomeUnknown},
	} {
		f, fleet := newFakeFleet()
		if c.begun {
			must.NoError(t, send(f, request.KindBegin))
		}
		fleet.nodes["a"].err = c.err
		must.Eq(t, c.want, codeOf(send(f, c.kind)), must.Sprintf("%+v", c))
		must.Eq(t, 1, fleet.nodes["a"].ended)
		must.Eq(t, request.CodeTransactionLost, codeOf(send(f, request.KindInTransaction)))
	}
}

// TestRequestRunsInAGivenUpTransaction guards against a single request that runs in the transaction that
// the owner still holds open for its session, although the caller has been told that it has ended.
func TestRequestRunsInAGivenUpTransaction(t *testing.T) {
	for _, kind := range []request.Kind{request.KindRead, request.KindWrite, request.KindBegin, request.KindBeginRead} {
		f, fleet := newFakeFleet()
		must.NoError(t, send(f, request.KindBegin))
		must.NoError(t, send(f, request.KindInTransaction))
		must.NoError(t, send(f, kind))
		must.Eq(t, 1, fleet.nodes["a"].ended)
		must.Eq(t, 3, fleet.nodes["a"].served)
	}
}

// TestFormerOwnerIsAskedAgainAndAgain guards against a node that goes on sending requests to an owner that
// has handed the group over, because it does not know yet that the owner is leaving.
func TestFormerOwnerIsAskedAgainAndAgain(t *testing.T) {
	f, fleet := newFakeFleet()
	fleet.nodes["a"].err = request.Refuse(request.CodeNoOwner, "owner", "a", "the group was handed over")
	must.Eq(t, request.CodeNoOwner, codeOf(send(f, request.KindWrite)))
	must.Eq(t, []string{"a"}, fleet.doubted)
	fleet.owner, fleet.nodes["self"].err = "self", fleet.nodes["a"].err
	must.Eq(t, request.CodeNoOwner, codeOf(send(f, request.KindWrite)))
	must.Eq(t, []string{"a"}, fleet.doubted)
}
