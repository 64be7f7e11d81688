package quota

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxShareholders is the maximum number of nodes that a customer's rate is split among.
const MaxShareholders = 32

// Share returns fractions of customer's limit, from 0 to 1. each is the fraction that every
// shareholder is entitled to. own is the fraction that node is entitled to: it equals each if
// node is a shareholder, otherwise it is 0. listed holds all nodes of the fleet.
func Share(customer, node string, listed []string) (own, each float64) {
	shareholders := listed
	if len(listed) > MaxShareholders {
		shareholders = slices.Clone(listed)
		slices.SortFunc(shareholders, func(a, b string) int {
			return cmp.Or(cmp.Compare(rank(customer, a), rank(customer, b)), cmp.Compare(a, b))
		})
		shareholders = shareholders[:MaxShareholders]
	}
	if len(shareholders) == 0 {
		return 0, 0
	}
	each = 1 / float64(len(shareholders))
	if slices.Contains(shareholders, node) {
		own = each
	}
	return own, each
}

func rank(customer, node string) uint64 { return xxhash.Sum64String(customer + "\x00" + node) }
