package quota_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"crocusyoke/internal/fleet"
)

// TestLateMessageIsRefused checks that a coordinator does not answer a message that arrives after a later one of the
// same process, as its sender would go by the answer, and that it answers a later one and one of another process.
func TestLateMessageIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(fleet.Customer{Name: "c", Rate: 60, Burst: 60})
		nodes := f.startAll(1)
		defer stopAll(nodes)
		time.Sleep(time.Second)
		type report struct {
			Customer string `cbor:"1,keyasint"`
		}
		send := func(run uint32, number uint64) error {
			payload, err := cbor.Marshal(map[int]any{1: "sender", 2: nodes[0].name, 3: []report{{"c"}}, 10: run, 11: number})
			must.NoError(t, err)
			_, err = nodes[0].quota.HandleShare(t.Context(), "sender", payload)
			return err
		}
		must.NoError(t, send(7, 2))
		must.ErrorContains(t, send(7, 1), "after a later one")
		must.NoError(t, send(7, 3))
		must.NoError(t, send(8, 1))
	})
}
