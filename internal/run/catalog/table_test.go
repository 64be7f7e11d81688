package catalog

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"crocusyoke/internal/platform"
	"crocusyoke/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, proptest.Size{Checks: 1000}) }

// TestDeltasLeadToTheSameTable plays random histories of writes, deletions, full reads, feeds and
// restores of the store at one node, while two others get deltas from it and from each other. A copy
// that has been followed up to a revision must equal the table of the store at that revision.
func TestDeltasLeadToTheSameTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := platform.Revision{Era: 1}
		store := map[string]platform.Row{}
		past := map[platform.Revision]map[string]platform.Row{now: {}}
		var history []platform.Change
		copies := []*table{newTable(), newTable(), newTable()}
		check := func() {
			for i, c := range copies {
				if c.isKnown() && !maps.EqualFunc(past[c.followed], c.rows, func(a, b platform.Row) bool { return a.Version == b.Version && string(a.Value) == string(b.Value) }) {
					t.Fatalf("copy %d at %v: %v, want %v", i, c.followed, c.rows, past[c.followed])
				}
			}
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				now.Version++
				key := fmt.Sprint("k", rapid.IntRange(0, 4).Draw(t, "key"))
				row := platform.Row{Key: key, Version: now.Version, Value: fmt.Append(nil, now)}
				deleted := rapid.Bool().Draw(t, "deleted")
				if deleted {
					delete(store, key)
				} else {
					store[key] = row
				}
				history = append(history, platform.Change{Row: row, Deleted: deleted})
				past[now] = maps.Clone(store)
			case 2:
				rows := make([]platform.Row, 0, len(store))
				for _, row := range store {
					rows = append(rows, row)
				}
				copies[0].replace(Snapshot{Rows: rows, Version: now.Version, Era: now.Era})
			case 3:
				if !copies[0].isKnown() || copies[0].followed.Era != now.Era {
					continue
				}
				var changes []platform.Change
				for _, c := range history {
					if c.Version > copies[0].followed.Version {
						changes = append(changes, c)
					}
				}
				copies[0].apply(changes, now)
			case 4:
				kept := rapid.Uint64Range(0, now.Version).Draw(t, "copy")
				store = maps.Clone(past[platform.Revision{Era: now.Era, Version: kept}])
				history = slices.DeleteFunc(history, func(c platform.Change) bool { return c.Version > kept })
				now = platform.Revision{Era: now.Era + 1, Version: kept}
				for v := range kept + 1 {
					past[platform.Revision{Era: now.Era, Version: v}] = past[platform.Revision{Era: now.Era - 1, Version: v}]
				}
			default:
				from := rapid.IntRange(0, 2).Draw(t, "from")
				to := rapid.IntRange(1, 2).Draw(t, "to")
				copies[to].applyDelta(copies[from].deltaSince(copies[to].followed))
			}
			check()
		}
	})
}

// TestForgottenDeletionsAreNotLost checks that a copy that is older than the deletions which
// the table still remembers gets the whole table.
func TestForgottenDeletionsAreNotLost(t *testing.T) {
	full, old := newTable(), newTable()
	full.replace(Snapshot{Rows: []platform.Row{{Key: "kept", Version: 1}, {Key: "gone", Version: 2}}, Version: 2})
	old.applyDelta(full.deltaSince(platform.Revision{}))
	must.MapLen(t, 2, old.rows)
	full.apply([]platform.Change{{Row: platform.Row{Key: "gone", Version: 3}, Deleted: true}}, platform.Revision{Version: 3})
	for i := range maxDeletions + 1 {
		key, version := fmt.Sprint("k", i), uint64(4+2*i)
		full.apply([]platform.Change{{Row: platform.Row{Key: key, Version: version}}}, platform.Revision{Version: version})
		full.apply([]platform.Change{{Row: platform.Row{Key: key, Version: version + 1}, Deleted: true}}, platform.Revision{Version: version + 1})
	}
	old.applyDelta(full.deltaSince(old.followed))
	must.MapLen(t, 1, old.rows)
	must.MapContainsKey(t, old.rows, "kept")
}
