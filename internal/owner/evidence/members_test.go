package evidence

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/controller/termfloor"
	"crocusyoke/internal/logpos"
	"crocusyoke/internal/target"
)

// TestReplacedPrimaryIsBelievedAlone guards against answers of a replaced primary that are confirmed
// while it is the only target of its group that is still a member.
func TestReplacedPrimaryIsBelievedAlone(t *testing.T) {
	now := time.Unix(1000, 0)
	g := New([]string{"p", "r1", "r2"}, Options{HeldTerms: true})
	g.Observe(now, now, heldStatus("r1", target.RolePrimary, 2))
	g.Observe(now, now, heldStatus("r2", target.RoleReplica, 2))
	g.SetSoleOrderer(true)
	name, _, ok := g.Primary(now)
	must.True(t, ok)
	must.Eq(t, "r1", name)

	g.SetTargets([]string{"p"})
	later := now.Add(time.Second)
	g.Observe(later, later, heldStatus("p", target.RolePrimary, 1))
	_, _, ok = g.Primary(later)
	must.False(t, ok)
	must.Eq(t, 2, g.HighestTerm())
	must.Eq(t, Replaced, g.Confirm(later, Claim{Primary: "p", Term: 1, Since: later}))

	promoted := later.Add(time.Second)
	g.Observe(promoted, promoted, heldStatus("p", target.RolePrimary, 3))
	must.Eq(t, Confirmed, g.Confirm(promoted, Claim{Primary: "p", Term: 3, Since: promoted}))
}

// TestGroupThatWasSetUpAnewIsAccepted checks that the term of former members does not count for good.
func TestGroupThatWasSetUpAnewIsAccepted(t *testing.T) {
	now := time.Unix(1000, 0)
	g := New([]string{"old"}, Options{HeldTerms: true})
	g.Observe(now, now, heldStatus("old", target.RolePrimary, 7))
	g.SetTargets([]string{"new"})
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{termfloor.Retention - time.Second, false}, {termfloor.Retention + time.Second, true}} {
		at := now.Add(c.after)
		g.Observe(at, at, heldStatus("new", target.RolePrimary, 1))
		_, _, ok := g.Primary(at)
		must.Eq(t, c.want, ok)
	}
}

func heldStatus(name string, role target.Role, term uint64) target.Status {
	return target.Status{Target: name, Role: role, Term: term, OwnTerm: term, Last: logpos.Position{Term: term, Index: 9}}
}
