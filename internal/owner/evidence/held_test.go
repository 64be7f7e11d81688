package evidence

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/logpos"
	"crocusyoke/internal/target"
)

// TestConfirmUnderHeldTerms checks when an answer is confirmed under held terms. A majority that
// was polled within MaxObservationAge and not held confirms it, also if the answer came after the
// polls, provided that every target was polled or no other node may order promotions. Held targets
// make it Replaced, and released ones no longer do.
func TestConfirmUnderHeldTerms(t *testing.T) {
	now := time.Unix(1000, 0)
	g := New([]string{"p", "r1", "r2"}, Options{HeldTerms: true})
	status := func(name string, term uint64) target.Status {
		s := target.Status{Target: name, Role: target.RoleReplica, Term: term, OwnTerm: 1, Last: logpos.Position{Term: 1, Index: 9}}
		if name == "p" {
			s.Role = target.RolePrimary
		}
		return s
	}
	g.Observe(now, now, status("p", 1))
	g.Observe(now, now, status("r1", 1))
	claim := Claim{Primary: "p", Term: 1, Since: now.Add(100 * time.Millisecond)}
	must.Eq(t, Wait, g.Confirm(now.Add(MaxObservationAge), claim))
	_, _, ok := g.Primary(now)
	must.False(t, ok)
	g.SetSoleOrderer(true)
	must.Eq(t, Confirmed, g.Confirm(now.Add(MaxObservationAge), claim))
	must.Eq(t, Wait, g.Confirm(now.Add(MaxObservationAge+time.Millisecond), claim))
	g.SetSoleOrderer(false)
	g.Observe(now.Add(time.Millisecond), now.Add(time.Millisecond), status("r2", 1))
	must.Eq(t, Confirmed, g.Confirm(now.Add(MaxObservationAge), claim))
	must.Eq(t, Wait, g.Confirm(now.Add(MaxObservationAge+time.Millisecond), claim))
	later := now.Add(300 * time.Millisecond)
	g.Observe(later, later, status("r1", 2))
	g.Observe(later, later, status("r2", 2))
	must.Eq(t, Replaced, g.Confirm(later, claim))
	_, _, ok = g.Primary(later)
	must.False(t, ok)
	released := later.Add(100 * time.Millisecond)
	g.Observe(released, released, status("r1", 1))
	g.Observe(released, released, status("r2", 1))
	must.Eq(t, Confirmed, g.Confirm(released, claim))
}

// TestOldPollConfirmsDuringHold guards against a write that is confirmed by polls from before an order that may have put
// the replicas on hold, also by one whose answer comes later, while the order's own answer is lost.
func TestOldPollConfirmsDuringHold(t *testing.T) {
	at := func(millis int) time.Time { return time.Unix(1000, 0).Add(time.Duration(millis) * time.Millisecond) }
	g := New([]string{"p", "r1", "r2"}, Options{HeldTerms: true})
	g.SetSoleOrderer(true)
	observe := func(sent, now int, names ...string) {
		for _, name := range names {
			role := target.RoleReplica
			if name == "p" {
				role = target.RolePrimary
			}
			g.Observe(at(sent), at(now), heldStatus(name, role, 1))
		}
	}
	claim := Claim{Primary: "p", Term: 1, Since: at(5)}
	observe(0, 1, "p", "r1", "r2")
	must.Eq(t, Confirmed, g.Confirm(at(10), claim))
	g.ForgetReplica("r1", at(10))
	must.Eq(t, Confirmed, g.Confirm(at(10), claim), must.Sprint("the primary and r2 are a majority"))
	g.ForgetReplica("r2", at(10))
	g.ForgetReplica("p", at(10))
	must.Eq(t, Wait, g.Confirm(at(10), claim))
	_, _, ok := g.Primary(at(10))
	must.False(t, ok)
	observe(9, 11, "r1", "r2")
	must.Eq(t, Wait, g.Confirm(at(11), claim), must.Sprint("polls that were under way"))
	observe(12, 13, "r1")
	must.Eq(t, Confirmed, g.Confirm(at(13), claim), must.Sprint("a poll from after the order"))
}
