package catalog

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/catalog"
	"crocusyoke/internal/owner/coldstart"
)

// TestLivesFollowUsableEntries guards against an entry of another writer that tells of a target's process, and against
// what is kept of targets that have no entry.
func TestLivesFollowUsableEntries(t *testing.T) {
	now := time.Unix(100_000, 0)
	entry := catalog.Target{StartedAt: now.Add(-time.Hour), Sequence: 3, ColdLeft: time.Second, ColdLeftKnown: true}
	r := &Runner{}
	r.lives.observe(now, "a", decodedTarget{target: entry})
	must.Eq(t, coldstart.Life{}, r.TargetLife("a"))
	r.lives.observe(now, "a", decodedTarget{target: entry, usable: true})
	want := coldstart.Life{}.Observe(now, coldstart.Entry{StartedAt: entry.StartedAt, Sequence: 3, Left: time.Second, Stated: true})
	must.NotEq(t, coldstart.Life{}, want)
	must.Eq(t, want, r.TargetLife("a"))
	r.lives.retain(map[string]decodedTarget{"b": {}})
	must.Eq(t, coldstart.Life{}, r.TargetLife("a"))
}
