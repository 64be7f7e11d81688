package catalog

import (
	"fmt"
	"maps"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"crocusyoke/internal/platform"
	"crocusyoke/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, proptest.Size{Checks: 1000}) }

// TestDeltasLeadToTheSameTable plays random histories of writes, deletions, full reads and
// feeds at one node, while two others get deltas from it and from each other. A copy that has been
// followed up to a version must equal the table of the store at that version.
func TestDeltasLeadToTheSameTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var version uint64
		store := map[string]platform.Row{}
		past := map[uint64]map[string]platform.Row{0: {}}
		var history []platform.Change
		copies := []*table{newTable(), newTable(), newTable()}
		check := func() {
			for i, c := range copies {
				if c.followedVersion > 0 && !maps.EqualFunc(past[c.followedVersion], c.rows, func(a, b platform.Row) bool { return a.Version == b.Version }) {
					t.Fatalf("copy %d at version %d: %v, want %v", i, c.followedVersion, c.rows, past[c.followedVersion])
				}
			}
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				version++
				key := fmt.Sprint("k", rapid.IntRange(0, 4).Draw(t, "key"))
				row := platform.Row{Key: key, Version: version}
				deleted := rapid.Bool().Draw(t, "deleted")
				if deleted {
					delete(store, key)
				} else {
					store[key] = row
				}
				history = append(history, platform.Change{Row: row, Deleted: deleted})
				past[version] = maps.Clone(store)
			case 2:
				rows := make([]platform.Row, 0, len(store))
				for _, row := range store {
					rows = append(rows, row)
				}
				copies[0].replace(Snapshot{Rows: rows, Version: version})
			case 3:
				if copies[0].followedVersion == 0 {
					continue
				}
				var changes []platform.Change
				for _, c := range history {
					if c.Version > copies[0].followedVersion {
						changes = append(changes, c)
					}
				}
				copies[0].apply(changes, version)
			default:
				from := rapid.IntRange(0, 2).Draw(t, "from")
				to := rapid.IntRange(1, 2).Draw(t, "to")
				copies[to].applyDelta(copies[from].deltaSince(copies[to].followedVersion))
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
	old.applyDelta(full.deltaSince(0))
	must.MapLen(t, 2, old.rows)
	full.apply([]platform.Change{{Row: platform.Row{Key: "gone", Version: 3}, Deleted: true}}, 3)
	for i := range maxDeletions + 1 {
		key, version := fmt.Sprint("k", i), uint64(4+2*i)
		full.apply([]platform.Change{{Row: platform.Row{Key: key, Version: version}}}, version)
		full.apply([]platform.Change{{Row: platform.Row{Key: key, Version: version + 1}, Deleted: true}}, version+1)
	}
	old.applyDelta(full.deltaSince(old.followedVersion))
	must.MapLen(t, 1, old.rows)
	must.MapContainsKey(t, old.rows, "kept")
}
