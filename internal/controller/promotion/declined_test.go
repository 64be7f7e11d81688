package promotion

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestDecliningPrimaryIsReplaced guards against a promotion because the primary answers polls without its status,
// such as for want of a connection while a group moves to another owner: it runs, and acknowledges writes that
// the promotion would lose.
func TestDecliningPrimaryIsReplaced(t *testing.T) {
	for _, known := range []bool{false, true} {
		h := newHeldHarness(t)
		h.adoptsTerms = true
		if known {
			h.advance(time.Second)
		}
		h.declining = map[string]bool{"p": true}
		h.advance(DeclinedTimeout)
		must.SliceEmpty(t, h.adopted, must.Sprint(known))
		h.declining = nil
		h.advance(time.Second)
		must.SliceEmpty(t, h.adopted, must.Sprint(known))
		primary, _ := h.group.Primary()
		must.Eq(t, "p", primary)
	}
}

// TestDeclinedPollHidesFailure guards against a target that counts as alive for having declined a poll before it
// failed, or that declines for longer than any want of connections lasts and that no peer reaches.
func TestDeclinedPollHidesFailure(t *testing.T) {
	for _, known := range []bool{false, true} {
		h := newHeldHarness(t)
		h.adoptsTerms = true
		if known {
			h.advance(time.Second)
		}
		h.declining = map[string]bool{"p": true}
		h.advance(time.Second)
		h.unreachable["p"] = true
		h.advance(NoPrimaryTimeout + HeldSuspectTimeout + time.Second)
		must.Len(t, 1, h.promoted, must.Sprint(known))

		h = newHeldHarness(t)
		h.adoptsTerms = true
		h.declining = map[string]bool{"p": true}
		h.advance(DeclinedTimeout + NoPrimaryTimeout + PeerAnswerTTL + time.Second)
		must.Len(t, 1, h.promoted)
	}
}
