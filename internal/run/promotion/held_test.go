package promotion

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/controller/promotion"
	"crocusyoke/internal/target"
)

// TestHoldIsReported guards against a hold by this node's own order that its evidence learns of with a later poll only.
func TestHoldIsReported(t *testing.T) {
	for _, heldTerms := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			group := newFakeGroup()
			var held []target.Status
			var expected []string
			r := New(Options{
				Self: "n1", HeldTerms: heldTerms, Dialer: group, Config: group, Clock: clock.Wall{}, Logger: log.NewNopLogger(),
				Holding: func(_, name string) {
					must.SliceEmpty(t, held, must.Sprint("told before the order is sent"))
					expected = append(expected, name)
				},
				Held: func(name string, at time.Time, status target.Status) {
					must.Eq(t, "ledger-1", name)
					must.Eq(t, time.Now(), at)
					held = append(held, status)
				},
			})
			g := r.group("ledger-1")
			g.members = []promotion.Member{{Name: "t1", Address: "t1"}, {Name: "t2", Address: "t2"}}
			group.setDown("t1", true)
			r.adopt(t.Context(), g, promotion.Adopt{Target: "t1", Term: 9})
			r.adopt(t.Context(), g, promotion.Adopt{Target: "t2", Term: 9})
			if !heldTerms {
				must.SliceEmpty(t, held)
				must.SliceEmpty(t, expected)
				return
			}
			must.Eq(t, []string{"t1", "t2"}, expected)
			must.Len(t, 1, held)
			must.Eq(t, 9, held[0].Term)
		})
	}
}
