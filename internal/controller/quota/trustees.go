package quota

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxTrustees is the most nodes that a customer's rate is split over.
const MaxTrustees = 32

// Share returns the part of customer's rate, 0 to 1, that is node's by right, and that of
// any trustee. listed are all nodes of the fleet.
func Share(customer, node string, listed []string) (own, each float64) {
	trustees := listed
	if len(listed) > MaxTrustees {
		trustees = slices.Clone(listed)
		slices.SortFunc(trustees, func(a, b string) int {
			return cmp.Or(cmp.Compare(rank(customer, a), rank(customer, b)), cmp.Compare(a, b))
		})
		trustees = trustees[:MaxTrustees]
	}
	if len(trustees) == 0 {
		return 0, 0
	}
	each = 1 / float64(len(trustees))
	if slices.Contains(trustees, node) {
		own = each
	}
	return own, each
}

func rank(customer, node string) uint64 { return xxhash.Sum64String(customer + "\x00" + node) }
