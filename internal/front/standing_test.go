package front

import (
	"testing"

	"crocusyoke/internal/fleet"

	"github.com/shoenig/test/must"
)

// TestPriorityOnlyWhereEnabled: a request has a priority only where the settings enable priorities.
func TestPriorityOnlyWhereEnabled(t *testing.T) {
	profile, customer := &fleet.Profile{Priority: 2}, &fleet.Customer{Priority: 1, Weight: 3}
	for enabled, want := range map[bool]int{true: 2001, false: 0} {
		weight, priority := (&Server{options: Options{Priorities: enabled}}).standing(profile, customer)
		must.Eq(t, 3, weight)
		must.Eq(t, want, priority)
	}
}
