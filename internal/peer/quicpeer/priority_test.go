package quicpeer

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"crocusyoke/internal/request"
)

// TestPriorityTravels: a request's priority reaches the owner, and a frame without one is no longer than before.
func TestPriorityTravels(t *testing.T) {
	req := &request.Request{ID: request.ID{Session: "s", Sequence: 1}, Group: "g", Priority: 2001}
	for _, priority := range []int{2001, 0} {
		req.Priority = priority
		context := newSessionContext(req)
		body, err := cbor.Marshal(&context)
		must.NoError(t, err)
		var fields map[int]any
		must.NoError(t, cbor.Unmarshal(body, &fields))
		_, sent := fields[10]
		must.Eq(t, priority != 0, sent)
		var received sessionContext
		must.NoError(t, cbor.Unmarshal(body, &received))
		frame := newRequestFrame(req)
		must.Eq(t, priority, frame.toRequest(&received, time.Unix(0, 0)).Priority)
	}
}
