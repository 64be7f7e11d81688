package owner

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"crocusyoke/internal/target"

	"github.com/jackc/pgx/v5/pgproto3"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/request"

	"github.com/shoenig/test/must"
)

// harness is a Manager with a fake group of targets.
type harness struct {
	*testing.T
	group   *fakeGroup
	manager *Manager
	session atomic.Uint64
}

var testProfile = fleet.Profile{
	Name:        "session",
	Reads:       fleet.ReadsSession,
	ReplicaWait: fleet.Duration(20 * time.Millisecond),
	Confirm:     fleet.ConfirmMajority,
}

// withHarness runs check in a synctest bubble, with a Manager that has found its primary. The
// fake group's replicas pull the log at intervals of lag.
func withHarness(t *testing.T, lag time.Duration, change func(*Options), check func(*harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		group := newFakeGroup(lag)
		options := Options{Self: "n1", Domain: "a", Dialer: pollableGroup{group}, Config: group}
		if change != nil {
			change(&options)
		}
		h := &harness{T: t, group: group, manager: New(options)}
		h.manager.SetOwned("ledger", true)
		time.Sleep(300 * time.Millisecond)
		check(h)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		must.NoError(t, h.manager.Drain(ctx))
		group.stop()
		time.Sleep(2 * time.Second)
		synctest.Wait()
	})
}

func (h *harness) request(kind request.Kind, text string, timeout time.Duration) *request.Request {
	return &request.Request{
		ID:               request.ID{Session: fmt.Sprintf("s%d", h.session.Add(1)), Sequence: 1},
		Customer:         "ravi",
		Group:            "ledger",
		Kind:             kind,
		Profile:          testProfile,
		MinPositionKnown: true,
		Weight:           1,
		Deadline:         time.Now().Add(timeout),
		Messages:         simpleQuery(text),
	}
}

func (h *harness) serve(req *request.Request) (*request.Response, error) {
	return h.manager.Serve(context.Background(), req)
}

// nextRequest returns the next request of req's session.
func nextRequest(req *request.Request, kind request.Kind, text string) *request.Request {
	next := *req
	next.ID.Sequence++
	next.Kind = kind
	next.Messages = simpleQuery(text)
	return &next
}

// mustRefuse fails the test unless err is a refusal with code.
func mustRefuse(t *testing.T, err error, code request.Code) {
	t.Helper()
	must.Error(t, err)
	must.Eq(t, code.Name, request.AsRefusal(err).Code.Name, must.Sprint(err))
}

// simpleQuery returns text as a Query message in wire format.
func simpleQuery(text string) []byte {
	messages, err := (&pgproto3.Query{String: text}).Encode(nil)
	if err != nil {
		panic(err)
	}
	return messages
}

// outcomeOf maps a fake target's SQLSTATE to an Outcome as the PostgreSQL dialer does.
func outcomeOf(state string) target.Outcome {
	switch state {
	case "":
		return target.Done
	case "25006":
		return target.ReadOnly
	default:
		return target.Failed
	}
}
