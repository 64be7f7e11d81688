package request

import (
	"math"
	"testing"

	"crocusyoke/internal/fleet"

	"github.com/shoenig/test/must"
)

// TestPriorityOrder: the profile's priority counts first, then the customer's, whatever their values.
func TestPriorityOrder(t *testing.T) {
	last := -1
	for _, pair := range [][2]int{{0, 0}, {0, 1}, {0, math.MaxInt}, {1, 0}, {1, 5}, {2, 0}, {math.MaxInt, 0}, {math.MaxInt, 3}} {
		priority := PriorityOf(&fleet.Profile{Priority: pair[0]}, &fleet.Customer{Priority: pair[1]})
		must.Greater(t, last, priority)
		last = priority
	}
	must.Eq(t, 2, Rank(PriorityOf(&fleet.Profile{Priority: 2}, &fleet.Customer{Priority: 7})))
	must.Eq(t, PriorityStep, PriorityOf(&fleet.Profile{Priority: 1}, nil))
}
