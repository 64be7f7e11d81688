package quota

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// TestSplitPartitions checks that small customers share no partition with those whose bursts are divided, and that every
// partition is used.
func TestSplitPartitions(t *testing.T) {
	count := SplitPartitions(58)
	used := make(map[int]bool)
	for i := range 1000 {
		name := fmt.Sprint("customer-", i)
		for _, limit := range []Limit{{Rate: 5, Burst: 5}, {Rate: 400, Burst: 400}} {
			index := SplitPartitionOf(name, IsSmall(limit), count)
			must.Eq(t, !IsSmall(limit), IsDividedByDomain(index, count))
			used[index] = true
		}
	}
	must.MapLen(t, count, used)
}
