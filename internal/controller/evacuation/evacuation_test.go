package evacuation

import (
	"maps"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"crocusyoke/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, proptest.Size{Checks: 1000}) }

// world is a store with the rows of evacuations, and what has to hold of a Set that follows it.
type world struct {
	set    Set
	era    uint64
	rows   map[string]bool
	copied map[string]bool
	// wanted holds the domains that have to be evacuated.
	wanted map[string]bool
}

// follow passes the rows to the set and checks the set and the changes that it returns.
func (w *world) follow(t *rapid.T) {
	before := slices.Clone(w.set.Domains())
	changes := w.set.Apply(w.era, slices.Collect(maps.Keys(w.rows)))
	must.Eq(t, slices.Sorted(maps.Keys(w.wanted)), slices.Sorted(slices.Values(w.set.Domains())))
	must.True(t, slices.IsSorted(w.set.Domains()))
	after := make(map[string]bool)
	for _, domain := range before {
		after[domain] = true
	}
	for _, c := range changes {
		if c.Evacuated {
			after[c.Domain] = true
		} else {
			delete(after, c.Domain)
		}
	}
	must.Eq(t, w.set.Domains(), slices.Sorted(maps.Keys(after)), must.Sprint("changes don't lead to the set"))
}

// TestNoEvacuationEndsByARestore checks, over random orders, copies and restores of the store, that exactly
// those domains are evacuated that have a row, or had one when a restore lost it.
func TestNoEvacuationEndsByARestore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{rows: map[string]bool{}, copied: map[string]bool{}, wanted: map[string]bool{}}
		domain := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		t.Repeat(map[string]func(*rapid.T){
			"evacuate": func(t *rapid.T) {
				name := domain.Draw(t, "domain")
				w.rows[name], w.wanted[name] = true, true
				w.follow(t)
			},
			"take back": func(t *rapid.T) {
				name := domain.Draw(t, "domain")
				if w.rows[name] {
					delete(w.wanted, name)
				}
				delete(w.rows, name)
				w.follow(t)
			},
			"copy": func(*rapid.T) { w.copied = maps.Clone(w.rows) },
			"restore": func(t *rapid.T) {
				w.rows = maps.Clone(w.copied)
				w.era++
				maps.Copy(w.wanted, w.rows)
				w.follow(t)
			},
			"follow again": w.follow,
		})
	})
}
