package configuration

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// nodeList is the platform's list of nodes.
type nodeList struct {
	// given is the list as received. names holds the same names, sorted and without duplicates.
	given []string
	names []string
	// index maps a name to its position in names.
	index map[string]int
	// hash is the same on all nodes whose lists have the same names.
	hash uint64
}

func newList(given []string) nodeList {
	l := nodeList{
		given: slices.Clone(given),
		names: slices.Compact(slices.Sorted(slices.Values(given))),
		index: make(map[string]int, len(given)),
	}
	digest := xxhash.New()
	for i, name := range l.names {
		l.index[name] = i
		_, _ = digest.WriteString(name + "\x00")
	}
	l.hash = digest.Sum64()
	return l
}

func (l nodeList) has(name string) bool {
	_, ok := l.index[name]
	return ok
}

// majority returns the smallest number of nodes that is a majority.
func (l nodeList) majority() int { return len(l.names)/2 + 1 }
